"""The dispatcher's decisions: takes events and returns calls, messages and log events.

Best-effort jobs live in memory only: each ends with one message to the entry VM that
holds it open. Stored jobs come from the log and end there: see `stored_scheduler`.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects, reasons, waiting_clock
from knapweedbeam_core.evacuations import fitting
from knapweedbeam_core.pool import (
    advising,
    attempt_tracker,
    calls,
    confirmations,
    crash_handler,
    crashes,
    departures,
    endpoint_index,
    endpoints,
    job_memory,
    jobs,
    load_report,
    log_events,
    messages,
    queueing,
    rebirths,
    recovery_steps,
    resources,
    room_policy,
    run_reports,
    stored_scheduler,
    takeover,
    task_starter,
)

Effect = (
    effects.Send
    | calls.Call
    | calls.RecordEnd
    | calls.RecordCrash
    | log_events.LogEvent
)
Effects = list[Effect]

# Tasks of an unresponsive entry VM keep running this long in case the job is submitted
# again. Meanwhile none of its other tasks is started.
ORPHAN_GRACE_MS = 600
# Interval at which waiting jobs are checked while a failure domain is evacuated.
EVACUATION_CHECK_MS = 100


class Dispatcher:
    """Places the jobs of all entry VMs on the endpoints that it holds."""

    def __init__(
        self,
        name: str,
        bounds: attempt_tracker.ProtocolBounds,
        timer: clock.Clock,
        memory: job_memory.JobMemory | None = None,
        policy: room_policy.RoomPolicy = room_policy.DEFAULT,
    ) -> None:
        self.name = name
        self.bounds = bounds
        self.clock = timer
        self.waiting_clock = waiting_clock.WaitingClock(timer)
        self.started_ms = timer.now_ms()
        self.fence = 0
        self.shard = 0
        self.endpoints: dict[str, endpoints.Endpoint] = {}
        self.endpoint_index = endpoint_index.EndpointIndex()
        self.jobs: dict[str, jobs.Job] = {}
        # The open jobs with waiting tasks; those without are removed by the placement.
        self.queue: dict[str, jobs.Job] = {}
        self.ended = memory or job_memory.JobMemory(timer)
        self.tracker = attempt_tracker.AttemptTracker(self)
        self.stored_scheduler = stored_scheduler.StoredJobScheduler(self)
        self.advice_cache = advising.AdviceCache(self)
        self.crash_handler = crash_handler.CrashHandler(self)
        self.takeover = takeover.Takeover(self)
        self.rebirths = rebirths.RebirthHandler(self)
        self.departures = departures.DepartureHandler(self)
        self.confirmations = confirmations.Confirmations(self)
        self.lost_entries: set[str] = set()
        self.task_starter = task_starter.TaskStarter(self)
        self.load_report = load_report.LoadReport()
        self.task_sizes = room_policy.TaskSizes(policy)
        self.recovery_steps = recovery_steps.RecoverySteps(self.started_ms)
        self.evacuation_check_due_ms = 0
        self.evacuation_refusals = 0

    # Dispatcher role.

    def set_fence(self, fence: int) -> Effects:
        """Become active with a fencing token, or stop dispatching if it is 0.

        All jobs and attempts are dropped, but for what is to be known of jobs that are
        submitted again; endpoints keep their speed and health.
        """
        if fence == self.fence:
            return []
        for job in self.jobs.values():
            self.remember(job, None)
        self.fence = fence
        self.jobs.clear()
        self.queue.clear()
        self.stored_scheduler.reset()
        self.advice_cache.reset()
        self.crash_handler.reset()
        self.confirmations.reset()
        self.lost_entries.clear()
        self.load_report.reset()
        self.task_starter.budget.reset()
        self.task_starter.reservations.clear()
        self.task_starter.room.clear()
        self.recovery_steps.reset(self.clock.now_ms())
        self.endpoint_index.attempts_by_job.clear()
        for endpoint in list(self.endpoints.values()):
            self.add_known_endpoint(endpoint)
        produced: Effects = [
            log_events.DispatcherRoleChanged(fence, len(self.endpoints), self.shard)
        ]
        for endpoint in self.endpoints.values():
            produced += self.read_with_new_token(endpoint)
        return produced

    def add_known_endpoint(self, known: endpoints.Endpoint) -> None:
        """Add an endpoint without its attempts, with its speed and health."""
        endpoint = endpoints.Endpoint(
            known.announcement, known.announced_ms, self.endpoint_index
        )
        endpoint.is_polled = known.is_polled
        endpoint.speed = known.speed
        endpoint.health = known.health
        self.endpoints[known.announcement.endpoint] = endpoint

    def read_with_new_token(self, endpoint: endpoints.Endpoint) -> Effects:
        """Read an endpoint at once.

        A poll with the former token may be open for some time yet.
        """
        if self.fence and endpoint.is_polled:
            wait_ms = self.tracker.get_wait_ms(endpoint)
            endpoint.answer_due_ms = self.waiting_clock.now_ms() + wait_ms
            return [calls.Probe(endpoint.announcement.endpoint)]
        return self.poll(endpoint)

    def poll(self, endpoint: endpoints.Endpoint) -> Effects:
        """Start polling an endpoint unless it is polled already."""
        if not self.fence or endpoint.is_polled:
            return []
        endpoint.is_polled = True
        return [calls.StartPolling(endpoint.announcement.endpoint)]

    # Endpoints.

    def on_announcement(self, announcement: messages.EndpointNews) -> Effects:
        """Handle an endpoint's announcement.

        An older incarnation is ignored; a newer one replaces the endpoint, and the
        attempts of the former incarnation are lost, unless they may run on this one.
        """
        now_ms = self.clock.now_ms()
        current = self.endpoints.get(announcement.endpoint)
        if current is not None and announcement.born_ms < current.announcement.born_ms:
            return []
        if current is not None and announcement.born_ms == current.announcement.born_ms:
            previous_state = current.announcement.state
            if (
                current.apply_announcement(announcement, now_ms - announcement.age_ms)
                and previous_state != announcement.state
            ):
                event = log_events.EndpointChanged(
                    announcement.endpoint, str(announcement.state)
                )
                if announcement.state == messages.EndpointState.LEAVING:
                    return [event, *self.tracker.evacuate(current)]
                return [event]
            return self.poll(current)
        replacement, produced = self.rebirths.replace(current, announcement)
        self.endpoints[announcement.endpoint] = replacement
        produced.append(log_events.EndpointChanged(announcement.endpoint, "found"))
        return produced + self.poll(replacement)

    def on_endpoint_gone(self, gone: messages.EndpointGone) -> Effects:
        """Handle that an endpoint signed off."""
        return self.departures.on_gone(gone)

    def get_birth_ms(self, name: str) -> int:
        """Return when the known incarnation of an endpoint was born, 0 for none."""
        endpoint = self.endpoints.get(name)
        return endpoint.announcement.born_ms if endpoint is not None else 0

    def remove_endpoint(
        self, endpoint: endpoints.Endpoint, why: str, cause: crashes.LossCause
    ) -> Effects:
        """Remove an endpoint and requeue the tasks that ran on it.

        What ran on an endpoint that is not held is unknown.
        """
        self.endpoints.pop(endpoint.announcement.endpoint, None)
        was_held = endpoint.is_held
        endpoint.mark_changed()
        produced = self.lose_endpoint(endpoint, why, cause)
        if was_held:
            self.takeover.predecessors.forget(endpoint.announcement.endpoint)
        return produced

    def lose_endpoint(
        self, endpoint: endpoints.Endpoint, why: str, cause: crashes.LossCause
    ) -> Effects:
        """Mark an endpoint as not held and requeue the tasks that ran on it.

        Unless it crashed for certain, another dispatcher may have claimed what ran.
        """
        lost = list(endpoint.attempts.values())
        produced: Effects = [run_reports.build_endpoint_lost(self, endpoint, why)]
        endpoint.is_held = False
        for attempt in lost:
            endpoint.remove(attempt)
            if attempt.owner is not None:
                self.stored_scheduler.hold_back(attempt.owner)
            produced += self.tracker.requeue_attempt(attempt, endpoint, why)
            if attempt.owner is not None and cause != crashes.LossCause.CRASHED:
                produced += self.confirmations.ask(attempt.owner.job)
        return produced + self.crash_handler.on_lost(endpoint, lost, cause)

    def list_announcements(self) -> list[messages.EndpointNews]:
        """Return the newest announcement of each endpoint, with its age."""
        now_ms = self.clock.now_ms()
        return [
            dataclasses.replace(
                endpoint.announcement, age_ms=now_ms - endpoint.announced_ms
            )
            for endpoint in self.endpoints.values()
        ]

    def list_speeds(self) -> messages.SpeedsLearned:
        """Return the endpoints that may run tasks, with their measured speeds."""
        return messages.SpeedsLearned(
            tuple(
                messages.LearnedSpeed(
                    endpoint.announcement.endpoint,
                    endpoint.announcement.born_ms,
                    endpoint.speed.value,
                    endpoint.speed.samples,
                )
                for endpoint in self.endpoints.values()
                if endpoint.is_held or endpoint.attempts
            )
        )

    def on_speeds(self, sender: str, learned: messages.SpeedsLearned) -> None:
        """Store another dispatcher's endpoints in case this process succeeds it."""
        self.takeover.predecessors.record(
            sender, (each.endpoint for each in learned.speeds)
        )
        if self.fence:
            return
        for sample in learned.speeds:
            endpoint = self.endpoints.get(sample.endpoint)
            if endpoint is None or not sample.samples:
                continue
            if endpoint.announcement.born_ms == sample.born_ms:
                endpoint.speed.restore(sample.speed, sample.samples)
                endpoint.mark_changed()

    def has_alternative(self, endpoint: endpoints.Endpoint, task: jobs.Task) -> bool:
        """Return whether an available endpoint is large enough and at least as fast."""
        return any(
            other.speed.value >= endpoint.speed.value
            for other in self.iterate_alternatives(endpoint, task)
        )

    def has_slower_alternative(
        self, endpoint: endpoints.Endpoint, task: jobs.Task, ran_ms: float
    ) -> bool:
        """Return whether a task would be overdue on a slower available endpoint too.

        A task that runs for so long most probably stands still.
        """
        return any(
            ran_ms > self.tracker.get_task_overdue_ms(other, task)
            for other in self.iterate_alternatives(endpoint, task)
        )

    def iterate_alternatives(
        self, endpoint: endpoints.Endpoint, task: jobs.Task
    ) -> collections.abc.Iterator[endpoints.Endpoint]:
        """Return the other available endpoints that are large enough for a task."""
        now_ms = self.clock.now_ms()
        return (
            other
            for other in self.iterate_service(endpoint.announcement.service)
            if other is not endpoint
            and other.is_available(now_ms)
            and other.capacity.covers(task.need)
        )

    # Jobs.

    def on_submit(self, sender: str, submit: messages.Submit) -> Effects:
        """Handle a job that an entry VM holds open.

        A copy of an ended job gets its outcome again, a copy of an open job only
        updates the entry VM that waits for it. A job that was sent to this process
        under another token is not taken: it may have been open under that one, which
        is forgotten.
        """
        if not self.fence or submit.token not in (0, self.fence):
            refused = messages.NotDispatching(submit.job_id, "", submit.hand_in)
            return [effects.Send(sender, refused)]
        self.on_entry_recovered(sender)
        ended = self.ended.get(submit.job_id)
        if ended is not None and ended.outcome is not None:
            return [effects.Send(sender, ended.outcome)]
        if ended is not None and ended.hand_in and ended.hand_in == submit.hand_in:
            # A late copy of a request that was refused or withdrawn.
            return [effects.Send(sender, ended.refusal)] if ended.refusal else []
        open_job = self.jobs.get(submit.job_id)
        if open_job is not None:
            return self.rejoin(open_job, sender, submit)
        job = self.build_job(sender, submit, ended)
        self.add_job(job)
        self.load_report.record_arrival(job)
        self.task_sizes.record(job)
        self.task_starter.room.record_arrival(job)
        return [*run_reports.report_taken(self, job), *self.take_job(job)]

    def rejoin(self, job: jobs.Job, sender: str, submit: messages.Submit) -> Effects:
        """Handle a copy of an open job, which may have been elsewhere meanwhile."""
        job.orphaned_ms = 0
        if sender != job.entry or submit.hand_in > job.hand_in:
            job.hand_in = submit.hand_in
        produced: Effects = []
        if sender != job.entry:
            job.entry = sender
            produced.append(log_events.JobRejoined(submit.job_id, sender))
        if submit.attempt_base <= job.submitted_base:
            return produced
        job.submitted_base = submit.attempt_base
        job.attempt_base = max(job.attempt_base, submit.attempt_base)
        job.was_started = True
        job.restore_crashes(submit.crashes)
        self.takeover.follow(job, submit.former)
        if job.has_task_at_fault:
            produced += self.crash_handler.fail_if_at_fault(job)
        return produced

    def take_job(self, job: jobs.Job) -> Effects:
        """Fail or refuse a new job that cannot run, or adopt its attempts."""
        if job.has_task_at_fault:
            return self.crash_handler.fail_if_at_fault(job)
        if self.can_never_fit(job):
            return self.refuse_unfit(job)
        return self.tracker.adopt_attempts(job)

    def refuse_unfit(self, job: jobs.Job) -> Effects:
        """Refuse a job that fits on no endpoint, or on none that is not evacuated."""
        service = job.terms.service
        reason = fitting.find_unfit_reason(
            job.steps, lambda: self.iterate_service(service)
        )
        if reason != reasons.Reason.EVACUATED:
            return self.task_starter.refuse(job, reasons.Reason.NEVER_FITS, 0)
        self.evacuation_refusals += 1
        return self.task_starter.refuse(job, reason, queueing.MAX_RETRY_AFTER_MS)

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Start nothing more in these failure domains, and again in all others."""
        self.endpoint_index.evacuated = domains
        self.evacuation_check_due_ms = 0

    def refuse_evacuated(self, now_ms: int) -> Effects:
        """Refuse waiting jobs that fit only where it is evacuated, if that is due.

        Stored jobs and those that may have been started wait.
        """
        if not self.endpoint_index.evacuated or now_ms < self.evacuation_check_due_ms:
            return []
        self.evacuation_check_due_ms = now_ms + EVACUATION_CHECK_MS
        produced: Effects = []
        for key, job in list(self.queue.items()):
            is_held_back = job.is_stored or job.orphaned_ms or job.question_ms
            if is_held_back or self.jobs.get(key) is not job:
                continue
            if self.takeover.may_run_elsewhere(job) or not self.can_never_fit(job):
                continue
            produced += self.refuse_unfit(job)
        return produced

    def add_job(self, job: jobs.Job) -> None:
        """Add an open job, whose tasks wait."""
        self.jobs[job.key] = job
        self.queue[job.key] = job

    def requeue(self, task: jobs.Task) -> None:
        """Let a task wait again."""
        task.job.requeue(task)
        self.queue[task.job.key] = task.job

    def can_never_fit(self, job: jobs.Job) -> bool:
        """Return whether a new job has a task that fits on no endpoint of its service.

        Evacuated ones do not count. Always false while some endpoint of the service is
        not held.
        """
        service = job.terms.service
        if job.was_started or not fitting.find_unfit_reason(
            job.steps, lambda: self.iterate_service(service)
        ):
            return False
        has_endpoints = any(True for _ in self.iterate_service(service))
        return has_endpoints and self.takeover.holds_all_endpoints(service)

    def list_endpoints_of_job(self, job_id: str) -> list[endpoints.Endpoint]:
        """Return the known endpoints that have attempts of a job."""
        names = self.endpoint_index.find_endpoints(job_id)
        return [self.endpoints[name] for name in names if name in self.endpoints]

    def iterate_service(
        self, service: str
    ) -> collections.abc.Iterator[endpoints.Endpoint]:
        """Return the endpoints of a service one after the other."""
        return (
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.announcement.service == service
        )

    def build_job(
        self,
        sender: str,
        submit: messages.Submit,
        ended: job_memory.EndedJob | None,
    ) -> jobs.Job:
        """Return the job for a submission.

        Attempt numbers continue after those of the other dispatchers that had it.
        """
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
        job.domain = submit.domain
        job.arrived_ms = now_ms
        job.submitted_base = submit.attempt_base
        job.restore_crashes(submit.crashes)
        if ended is not None:
            job.restore_crashes(ended.crashes)
        if ended is not None:
            self.takeover.restore(job, ended)
        if submit.attempt_base:
            self.takeover.follow(job, submit.former)
        return job

    def on_withdraw(self, withdraw: messages.Withdraw) -> Effects:
        """Stop a job that its caller no longer waits for.

        A later submission of the same job stays open.
        """
        job = self.jobs.get(withdraw.job_id)
        if job is None or withdraw.hand_in not in (0, job.hand_in):
            return []
        produced = self.end_job(job, None)
        ended = self.ended.get(job.key)
        if ended is not None:
            ended.hand_in = job.hand_in
        return [log_events.JobWithdrawn(job.job_id), *produced]

    def on_cancel(self, cancel: messages.CancelOpenJob) -> Effects:
        """End a best-effort job that was cancelled at another entry VM than its own.

        A copy of its submission is answered like the job itself.
        """
        job = self.jobs.get(cancel.job_id)
        cancelled_ms = self.clock.now_ms() - cancel.age_ms
        if job is None or job.is_stored or job.terms.queue != cancel.queue:
            return []
        if job.born_ms > cancelled_ms:
            return []
        answer = messages.JobCancelled(job.job_id, job.hand_in)
        produced = self.on_withdraw(messages.Withdraw(job.job_id))
        ended = self.ended.get(job.key)
        if ended is not None:
            ended.refusal = answer
        return [effects.Send(job.entry, answer), *produced]

    def end_job(self, job: jobs.Job, outcome: job_memory.Outcome | None) -> Effects:
        """End a job: notify its entry VM, stop its attempts and keep its outcome.

        `outcome` is None if nobody is to be notified.
        """
        del self.jobs[job.key]
        last = self.remember(job, outcome)
        job.is_cancelled = True
        self.load_report.record_end(job, outcome, self.clock.now_ms())
        self.advice_cache.forget(job)
        produced: Effects = []
        if outcome is not None:
            if job.entry:
                produced.append(effects.Send(job.entry, outcome))
            age_ms = self.clock.now_ms() - job.born_ms
            produced.append(
                log_events.JobEnded(job.job_id, type(outcome).__name__, age_ms, last)
            )
        if isinstance(outcome, messages.JobComplete):
            produced += self.recovery_steps.record(
                recovery_steps.Step.FIRST_JOB_COMPLETE, self.clock.now_ms()
            )
        return produced + self.tracker.stop_job(job)

    def remember(self, job: jobs.Job, outcome: job_memory.Outcome | None) -> int:
        """Keep what is to be known of a job; return its last attempt, 0 for none."""
        last = max(task.last_attempt for tasks in job.tasks for task in tasks)
        refusal = outcome if isinstance(outcome, messages.JobRefused) else None
        ended = job_memory.EndedJob(
            None if refusal else outcome,
            max(last, job.attempt_base),
            self.clock.now_ms(),
            self.fence,
            self.shard,
            refusal,
            job.hand_in if refusal else 0,
            job.list_crashes(),
            job.not_before_ms,
            job.former,
        )
        self.ended.record(job.key, ended)
        return last

    def on_confirmed(self, confirmed: messages.JobConfirmed) -> Effects:
        """Handle that an entry VM still sends a job here, whose tasks may start."""
        self.confirmations.on_confirmed(confirmed)
        return []

    def on_entry_lost(self, entry: str) -> Effects:
        """Stop starting tasks for an unresponsive entry VM.

        Running tasks continue for `ORPHAN_GRACE_MS` in case it recovers.
        """
        if entry in self.lost_entries:
            return []
        self.lost_entries.add(entry)
        now_ms = self.clock.now_ms()
        for job in self.jobs.values():
            if job.entry == entry and not job.orphaned_ms:
                job.orphaned_ms = now_ms
        return []

    def on_entry_recovered(self, entry: str) -> Effects:
        """Resume the jobs of an entry VM that uses this dispatcher."""
        if entry not in self.lost_entries:
            return []
        self.lost_entries.discard(entry)
        for job in self.jobs.values():
            if job.entry == entry:
                job.orphaned_ms = 0
        return []

    # Time.

    def tick(self) -> Effects:
        """Run periodic work: attempts, stored jobs, orphaned and ended jobs."""
        self.waiting_clock.tick()
        now_ms = self.clock.now_ms()
        self.task_starter.budget.tick(now_ms, self.waiting_clock.late_ms)
        self.ended.forget_old()
        if not self.fence:
            self.stored_scheduler.succession.tick(now_ms)
            return self.stored_scheduler.resend_crashes(now_ms)
        produced = self.confirmations.tick()
        produced += self.tracker.tick(now_ms) + self.stored_scheduler.tick(now_ms)
        self.crash_handler.tick(now_ms)
        for job in list(self.jobs.values()):
            if job.orphaned_ms and now_ms - job.orphaned_ms > ORPHAN_GRACE_MS:
                produced += self.end_job(job, None)
        produced += self.refuse_evacuated(now_ms)
        produced += self.task_starter.budget.report(
            now_ms, self.task_starter.queue_length
        )
        produced += self.load_report.build(self.queue.values(), now_ms)
        produced += self.task_starter.reservations.build(now_ms)
        produced += self.task_starter.room.build_reports(now_ms)
        return produced + self.record_recovery(now_ms)

    def record_recovery(self, now_ms: int) -> Effects:
        """Record the steps of recovery that the state of endpoints and jobs shows."""
        steps = self.recovery_steps
        if recovery_steps.Step.BACKLOG_DONE in steps.reached:
            return []
        produced: Effects = []
        held = [endpoint.is_held for endpoint in self.endpoints.values()]
        if any(held):
            produced += steps.record(recovery_steps.Step.FIRST_ENDPOINT_HELD, now_ms)
        if held and all(held):
            produced += steps.record(recovery_steps.Step.ALL_ENDPOINTS_HELD, now_ms)
        has_started = recovery_steps.Step.FIRST_TASK_STARTED in steps.reached
        if has_started and not any(job.waiting for job in self.queue.values()):
            produced += steps.record(recovery_steps.Step.BACKLOG_DONE, now_ms)
        return produced

    def place(self) -> Effects:
        """Start the waiting tasks that fit and refuse jobs that are too late.

        Goes through all waiting jobs, so the shell calls it once after the events of
        a turn of its loop and not after each event.
        """
        return self.task_starter.place() if self.fence else []

    def get_placement_pause_ms(self) -> int:
        """Return how long the next placement should wait, 0 for not at all."""
        return self.task_starter.get_pause_ms()

    # Calls to endpoints and their answers.

    def build_hold(self, name: str) -> calls.Hold | None:
        """Return the next hold for an endpoint, or None to stop polling it."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or not self.fence:
            if endpoint is not None:
                endpoint.is_polled = False
            return None
        return self.tracker.build_hold(endpoint)

    def has_unacked_ends(self, name: str) -> bool:
        """Return whether an endpoint lists ends that must not be acknowledged yet."""
        endpoint = self.endpoints.get(name)
        return endpoint is not None and bool(endpoint.unacked_ends)

    def list_endpoints_with_unacked_ends(self) -> list[endpoints.Endpoint]:
        """Return the endpoints that list ends which must not be acknowledged yet."""
        names = self.endpoint_index.with_unacked_ends
        for name in list(names):
            if not self.has_unacked_ends(name):
                names.discard(name)
        return [self.endpoints[name] for name in sorted(names)]

    def build_probe(self, name: str) -> calls.Hold | None:
        """Return a probe of an endpoint, or None if it is no longer known."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or not self.fence:
            return None
        return self.tracker.build_probe(endpoint)

    def on_probe_result(
        self, hold: calls.Hold, answer: calls.HoldResult | calls.HoldFailed
    ) -> Effects:
        """Handle the result of a probe.

        A failed probe says little unless the endpoint has a higher fencing token.
        """
        endpoint = self.find_endpoint(hold.target)
        if endpoint is None or hold.fence != self.fence:
            return []
        endpoint.open_probes = max(0, endpoint.open_probes - 1)
        if isinstance(answer, calls.HoldResult):
            return self.tracker.on_hold_result(endpoint, hold, answer)
        endpoint.is_incarnation_sure = False
        if answer.verdict == calls.Verdict.FENCED:
            return self.tracker.on_fenced(endpoint)
        return []

    def on_hold_result(self, hold: calls.Hold, answer: calls.HoldResult) -> Effects:
        """Handle the attempts and ends that an endpoint lists."""
        endpoint = self.find_endpoint(hold.target)
        if endpoint is None or hold.fence != self.fence:
            return []
        return self.tracker.on_hold_result(endpoint, hold, answer)

    def on_hold_failed(self, hold: calls.Hold, failed: calls.HoldFailed) -> Effects:
        """Handle a hold that returned no lists."""
        endpoint = self.find_endpoint(hold.target)
        if endpoint is None or hold.fence != self.fence:
            return []
        return self.tracker.on_hold_failed(endpoint, failed)

    def on_start_sent(self, start: calls.Start) -> None:
        """Record that a start is being sent, some time after it was decided."""
        endpoint = self.find_endpoint(start.target)
        if endpoint is not None and start.fence == self.fence:
            self.tracker.on_start_sent(endpoint, start)

    def on_start_answer(self, start: calls.Start, answer: calls.Answer) -> Effects:
        """Handle the answer to a start."""
        if start.fence == self.fence:
            self.task_starter.budget.on_answer(start.task, start.number)
        endpoint = self.find_endpoint(start.target)
        if endpoint is None or start.fence != self.fence:
            return []
        return self.tracker.on_start_answer(endpoint, start, answer)

    def on_advice(
        self, asked: calls.RequestAdvice, advice: calls.Advice | None
    ) -> Effects:
        """Handle the answer to a request for advice, None if there was no answer."""
        self.advice_cache.on_advice(asked, advice)
        return []

    def on_stop_answer(self, stop: calls.Stop, answer: calls.Answer) -> Effects:
        """Handle the answer to a stop."""
        endpoint = self.find_endpoint(stop.target)
        if endpoint is None or stop.fence != self.fence:
            return []
        return self.tracker.on_stop_answer(endpoint, stop, answer)

    def find_endpoint(self, target: calls.Target) -> endpoints.Endpoint | None:
        """Return the endpoint of a call if its incarnation is still the same."""
        endpoint = self.endpoints.get(target.endpoint)
        if endpoint is None or endpoint.announcement.born_ms != target.born_ms:
            return None
        return endpoint

    def get_used_share(self) -> float:
        """Return the used share of the processor capacity of all held endpoints."""
        held = [e for e in self.endpoints.values() if e.is_held]
        total = sum(e.capacity.cpu_millis for e in held)
        used = sum(e.used.cpu_millis for e in held)
        return used / total if total else 0.0

    def count_attempts(self) -> int:
        """Return how many attempts are on the endpoints."""
        return sum(len(endpoint.attempts) for endpoint in self.endpoints.values())

    def get_free_resources(self) -> resources.Resources:
        """Return the total of free resources on all held endpoints."""
        free = resources.Resources()
        for endpoint in self.endpoints.values():
            if endpoint.is_held:
                free = free.plus(endpoint.free)
        return free
