"""The decisions of a dispatcher: events in, orders and messages out.

Best-effort jobs only live here, in memory: such a job ends in one message to the entry
VM that holds it open. Stored jobs come from the log and end there: see `keeping`.
"""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock, effects, reasons
from knapweedbeam_core.pool import (
    advising,
    attempt_tracker,
    calls,
    endpoints,
    jobs,
    log_events,
    messages,
    placing,
    resources,
    stored_scheduler,
    task_starter,
)

Effect = effects.Send | calls.Call | calls.RecordEnd | log_events.LogEvent
Effects = list[Effect]

# How long an ended job is remembered, so that a late copy starts nothing anew.
RETENTION_MS = 15_000
MAX_ENDED_JOBS = 50_000
# A job that went on to this dispatcher from another one may still run where this
# one cannot see. By then the other one, which loses its entry VM within 0.5 s, has
# stopped it (`ORPHAN_MS`), or its leases of a second have run out.
TAKEOVER_MS = 1_800
# Announcements that a sound endpoint makes before all endpoints count as known: one may
# be lost with its link.
MIN_ANNOUNCEMENTS = 2
# What runs for an entry VM that fell silent runs on for this long, in case the job
# comes again; nothing of it is started meanwhile.
ORPHAN_GRACE_MS = 600


class Dispatcher:
    """Places the jobs of all entry VMs on the endpoints that it holds."""

    def __init__(
        self, name: str, bounds: attempt_tracker.ProtocolBounds, timer: clock.Clock
    ) -> None:
        self.name = name
        self.bounds = bounds
        self.clock = timer
        self.started_ms = timer.now_ms()
        self.fence = 0
        self.endpoints: dict[str, endpoints.Endpoint] = {}
        self.jobs: dict[str, jobs.Job] = {}
        self.ended: collections.OrderedDict[str, EndedJob] = collections.OrderedDict()
        self.tracker = attempt_tracker.AttemptTracker(self)
        self.stored_scheduler = stored_scheduler.StoredJobScheduler(self)
        self.advice_cache = advising.AdviceCache(self)
        self.task_starter = task_starter.TaskStarter(self)

    # Office.

    def set_fence(self, fence: int) -> Effects:
        """Begin to dispatch under a fencing token, or leave the office with 0."""
        if fence == self.fence:
            return []
        self.fence = fence
        self.jobs.clear()
        self.stored_scheduler.reset()
        self.advice_cache.reset()
        self.ended.clear()
        for name, known in list(self.endpoints.items()):
            fresh = endpoints.Endpoint(known.announcement, known.announced_ms)
            fresh.is_polled = known.is_polled
            fresh.speed = known.speed
            fresh.health = known.health
            self.endpoints[name] = fresh
        produced: Effects = [log_events.Office(fence, len(self.endpoints))]
        for known in self.endpoints.values():
            produced += self.poll(known)
        return produced

    def poll(self, endpoint: endpoints.Endpoint) -> Effects:
        """Keep a hold open at an endpoint, if there is none yet."""
        if not self.fence or endpoint.is_polled:
            return []
        endpoint.is_polled = True
        return [calls.StartPolling(endpoint.announcement.endpoint)]

    # Endpoints.

    def on_announcement(self, announcement: messages.EndpointNews) -> Effects:
        """Take an endpoint's word about itself."""
        now_ms = self.clock.now_ms()
        known = self.endpoints.get(announcement.endpoint)
        if known is not None and announcement.born_ms < known.announcement.born_ms:
            return []
        if known is not None and announcement.born_ms == known.announcement.born_ms:
            before = known.announcement.state
            if (
                known.apply_announcement(announcement, now_ms - announcement.age_ms)
                and before != announcement.state
            ):
                changed = log_events.EndpointChanged(
                    announcement.endpoint, str(announcement.state)
                )
                if announcement.state == messages.EndpointState.LEAVING:
                    return [changed, *self.tracker.evacuate(known)]
                return [changed]
            return self.poll(known)
        produced: Effects = []
        if known is not None:
            produced += self.lose_endpoint(known, "reborn")
        fresh = endpoints.Endpoint(announcement, now_ms - announcement.age_ms)
        if known is not None:
            fresh.is_polled = known.is_polled
        self.endpoints[announcement.endpoint] = fresh
        produced.append(log_events.EndpointChanged(announcement.endpoint, "found"))
        return produced + self.poll(fresh)

    def on_endpoint_gone(self, gone: messages.EndpointGone) -> Effects:
        """Take an endpoint's farewell."""
        known = self.endpoints.get(gone.endpoint)
        if known is None or known.announcement.born_ms > gone.born_ms > 0:
            return []
        return self.remove_endpoint(known, "left")

    def remove_endpoint(self, endpoint: endpoints.Endpoint, why: str) -> Effects:
        """Forget an endpoint for good."""
        self.endpoints.pop(endpoint.announcement.endpoint, None)
        return self.lose_endpoint(endpoint, why)

    def lose_endpoint(self, endpoint: endpoints.Endpoint, why: str) -> Effects:
        """Take all that ran on an endpoint as lost."""
        lost = list(endpoint.attempts.values())
        produced: Effects = [
            log_events.EndpointLost(endpoint.announcement.endpoint, why, len(lost))
        ]
        endpoint.is_held = False
        for attempt in lost:
            endpoint.remove(attempt)
            if attempt.owner is not None:
                self.stored_scheduler.hold_back(attempt.owner)
            produced += self.tracker.requeue_attempt(attempt, endpoint, why)
        return produced

    def list_announcements(self) -> list[messages.EndpointNews]:
        """Return the newest word of each endpoint, with its age."""
        now_ms = self.clock.now_ms()
        return [
            dataclasses.replace(known.announcement, age_ms=now_ms - known.announced_ms)
            for known in self.endpoints.values()
        ]

    def list_speeds(self) -> messages.SpeedsLearned:
        """Return what was learned of the endpoints' speeds."""
        return messages.SpeedsLearned(
            tuple(
                messages.LearnedSpeed(
                    known.announcement.endpoint,
                    known.announcement.born_ms,
                    known.speed.value,
                    known.speed.samples,
                )
                for known in self.endpoints.values()
                if known.speed.samples
            )
        )

    def on_speeds(self, learned: messages.SpeedsLearned) -> None:
        """Take what the dispatcher learned, in case this process follows it."""
        if self.fence:
            return
        for each in learned.speeds:
            known = self.endpoints.get(each.endpoint)
            if known is not None and known.announcement.born_ms == each.born_ms:
                known.speed.restore(each.speed, each.samples)

    def holds_all_endpoints(self, service: str) -> bool:
        """Say whether every endpoint of a service is held.

        One that cannot be reached may be held by another dispatcher, and so may one
        that this process has not heard of since it started.
        """
        announced_ms = self.clock.now_ms() - self.started_ms
        if announced_ms < MIN_ANNOUNCEMENTS * self.bounds.announce_ms:
            return False
        return all(
            known.is_held and not known.failed_polls
            for known in self.endpoints.values()
            if known.announcement.service == service
        )

    def has_alternative(self, endpoint: endpoints.Endpoint, task: jobs.Task) -> bool:
        """Say whether another endpoint is large enough, open and not slower."""
        now_ms = self.clock.now_ms()
        return any(
            other is not endpoint
            and other.announcement.service == endpoint.announcement.service
            and other.is_available(now_ms)
            and other.speed.value >= endpoint.speed.value
            and other.capacity.covers(task.need)
            for other in self.endpoints.values()
        )

    # Jobs.

    def on_submit(self, sender: str, submit: messages.Submit) -> Effects:
        """Take a job that an entry VM holds open."""
        if not self.fence:
            return [effects.Send(sender, messages.NotDispatching(submit.job_id, ""))]
        ended = self.ended.get(submit.job_id)
        if ended is not None and ended.outcome is not None:
            return [effects.Send(sender, ended.outcome)]
        if ended is not None and ended.hand_in and ended.hand_in == submit.hand_in:
            # A late copy of what was refused or withdrawn.
            return [effects.Send(sender, ended.refusal)] if ended.refusal else []
        known = self.jobs.get(submit.job_id)
        if known is not None:
            known.orphaned_ms = 0
            if known.entry == sender:
                return []
            known.entry = sender
            return [log_events.JobRejoined(submit.job_id, sender)]
        job = self.build_job(sender, submit, ended)
        self.jobs[job.key] = job
        if self.can_never_fit(job):
            return self.task_starter.refuse(job, reasons.Reason.NEVER_FITS, 0)
        return self.tracker.adopt_attempts(job)

    def can_never_fit(self, job: jobs.Job) -> bool:
        """Say whether a new job has a task that no endpoint of its service holds."""
        service = job.terms.service
        known = [
            e for e in self.endpoints.values() if e.announcement.service == service
        ]
        if job.was_started or not known or not self.holds_all_endpoints(service):
            return False
        return not all(placing.could_ever_fit(step, known) for step in job.steps)

    def build_job(
        self, sender: str, submit: messages.Submit, ended: EndedJob | None
    ) -> jobs.Job:
        """Return the job that a message describes."""
        now_ms = self.clock.now_ms()
        base = max(submit.attempt_base, ended.last_attempt if ended else 0)
        job = jobs.Job(
            submit.job_id,
            sender,
            submit.terms,
            submit.spec,
            submit.steps,
            now_ms - submit.age_ms,
            now_ms + submit.patience_ms,
            base,
        )
        job.was_started = base > 0
        job.hand_in = submit.hand_in
        if submit.attempt_base:
            job.not_before_ms = now_ms + TAKEOVER_MS
        return job

    def on_withdraw(self, withdraw: messages.Withdraw) -> Effects:
        """Stop a job that nobody waits for."""
        job = self.jobs.get(withdraw.job_id)
        if job is None:
            return []
        produced = self.end_job(job, None)
        self.ended[job.key].hand_in = job.hand_in
        return [log_events.JobWithdrawn(job.job_id), *produced]

    def end_job(self, job: jobs.Job, outcome: Outcome | None) -> Effects:
        """End a job: tell its entry VM, stop what still runs, remember it."""
        del self.jobs[job.key]
        last = max(task.last_attempt for tasks in job.tasks for task in tasks)
        refusal = outcome if isinstance(outcome, messages.JobRefused) else None
        self.ended[job.key] = EndedJob(
            None if refusal else outcome,
            max(last, job.attempt_base),
            self.clock.now_ms(),
            refusal,
            job.hand_in if refusal else 0,
        )
        if len(self.ended) > MAX_ENDED_JOBS:
            self.ended.popitem(last=False)
        job.is_cancelled = True
        self.advice_cache.forget(job)
        produced: Effects = []
        if outcome is not None:
            if job.entry:
                produced.append(effects.Send(job.entry, outcome))
            age_ms = self.clock.now_ms() - job.born_ms
            produced.append(
                log_events.JobEnded(job.job_id, type(outcome).__name__, age_ms, last)
            )
        return produced + self.tracker.stop_job(job)

    def on_entry_lost(self, entry: str) -> Effects:
        """Start nothing more for an entry VM that fell silent.

        What runs goes on for a while, in case it is heard again.
        """
        now_ms = self.clock.now_ms()
        for job in self.jobs.values():
            if job.entry == entry and not job.orphaned_ms:
                job.orphaned_ms = now_ms
        return []

    def on_entry_recovered(self, entry: str) -> Effects:
        """Go on with the jobs of an entry VM that sends its jobs here."""
        for job in self.jobs.values():
            if job.entry == entry:
                job.orphaned_ms = 0
        return []

    # Time.

    def tick(self) -> Effects:
        """Do what is due."""
        if not self.fence:
            return []
        now_ms = self.clock.now_ms()
        produced = self.tracker.tick(now_ms) + self.stored_scheduler.tick(now_ms)
        for job in list(self.jobs.values()):
            if job.orphaned_ms and now_ms - job.orphaned_ms > ORPHAN_GRACE_MS:
                produced += self.end_job(job, None)
        self.forget_ended(now_ms)
        return produced

    def forget_ended(self, now_ms: int) -> None:
        """Forget jobs that ended long ago."""
        while self.ended:
            oldest = next(iter(self.ended.values()))
            if now_ms - oldest.ended_ms <= RETENTION_MS:
                return
            self.ended.popitem(last=False)

    def place(self) -> Effects:
        """Start what fits, in order of urgency; refuse what is hopeless.

        The shell calls this once after the events of a turn, not after each one: it
        looks at all that waits.
        """
        return self.task_starter.place() if self.fence else []

    # What endpoints answer.

    def build_hold(self, name: str) -> calls.Hold | None:
        """Return the next hold for an endpoint, or none to stop polling it."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or not self.fence:
            if endpoint is not None:
                endpoint.is_polled = False
            return None
        return self.tracker.build_hold(endpoint)

    def has_unacked_ends(self, name: str) -> bool:
        """Say whether an endpoint lists ends that must not be acknowledged yet."""
        endpoint = self.endpoints.get(name)
        return endpoint is not None and bool(endpoint.unacked_ends)

    def build_probe(self, name: str) -> calls.Hold | None:
        """Return a look at an endpoint, or none if it is not held any more."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or not self.fence or not endpoint.is_held:
            return None
        return self.tracker.build_probe(endpoint)

    def on_probe_result(
        self, hold: calls.Hold, answer: calls.HoldResult | calls.HoldFailed
    ) -> Effects:
        """Take the end of a look; one that fails shows nothing but a higher token."""
        endpoint = self.find_endpoint(hold.target)
        if endpoint is None or hold.fence != self.fence:
            return []
        endpoint.open_probes = max(0, endpoint.open_probes - 1)
        if isinstance(answer, calls.HoldResult):
            return self.tracker.on_hold_result(endpoint, hold, answer)
        if answer.verdict == calls.Verdict.FENCED:
            return self.tracker.on_fenced(endpoint)
        return []

    def on_hold_result(self, hold: calls.Hold, answer: calls.HoldResult) -> Effects:
        """Take the lists of an endpoint."""
        endpoint = self.find_endpoint(hold.target)
        if endpoint is None or hold.fence != self.fence:
            return []
        return self.tracker.on_hold_result(endpoint, hold, answer)

    def on_hold_failed(self, hold: calls.Hold, failed: calls.HoldFailed) -> Effects:
        """Take that an endpoint gave no lists."""
        endpoint = self.find_endpoint(hold.target)
        if endpoint is None or hold.fence != self.fence:
            return []
        return self.tracker.on_hold_failed(endpoint, failed)

    def on_start_answer(self, start: calls.Start, answer: calls.Answer) -> Effects:
        """Take the end of a start."""
        endpoint = self.find_endpoint(start.target)
        if endpoint is None or start.fence != self.fence:
            return []
        return self.tracker.on_start_answer(endpoint, start, answer)

    def on_advice(
        self, asked: calls.RequestAdvice, advice: calls.Advice | None
    ) -> Effects:
        """Take which endpoints may run a step."""
        self.advice_cache.on_advice(asked, advice)
        return []

    def on_stop_answer(self, stop: calls.Stop, answer: calls.Answer) -> Effects:
        """Take the end of a stop."""
        endpoint = self.find_endpoint(stop.target)
        if endpoint is None or stop.fence != self.fence:
            return []
        return self.tracker.on_stop_answer(endpoint, stop, answer)

    def find_endpoint(self, target: calls.Target) -> endpoints.Endpoint | None:
        """Return the endpoint of an order if it is still in the same life."""
        endpoint = self.endpoints.get(target.endpoint)
        if endpoint is None or endpoint.announcement.born_ms != target.born_ms:
            return None
        return endpoint

    def get_used_share(self) -> float:
        """Return the share of the held processor room that is in use."""
        held = [e for e in self.endpoints.values() if e.is_held]
        total = sum(e.capacity.cpu_millis for e in held)
        used = sum(e.used.cpu_millis for e in held)
        return used / total if total else 0.0

    def get_free_resources(self) -> resources.Resources:
        """Return the room left on all held endpoints together."""
        left = resources.Resources()
        for endpoint in self.endpoints.values():
            if endpoint.is_held:
                left = left.plus(endpoint.free)
        return left


Outcome = messages.JobComplete | messages.JobFailed | messages.JobRefused


@dataclasses.dataclass(slots=True)
class EndedJob:
    """An ended job: its outcome, none when it was withdrawn, orphaned or refused.

    Copies of the `hand_in` that was withdrawn or refused start nothing; 0 stands for
    none. Handed in anew, the job may run.
    """

    outcome: Outcome | None
    last_attempt: int
    ended_ms: int
    refusal: messages.JobRefused | None = None
    hand_in: int = 0
