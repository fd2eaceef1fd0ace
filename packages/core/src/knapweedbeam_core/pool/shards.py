"""The dispatchers of one process: one for each shard of the endpoints.

Every process that may dispatch keeps the endpoints of all shards, and dispatches on
those whose tokens it has. Events go to the shard of their endpoint or job.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import functools

from knapweedbeam_core import clock, reasons
from knapweedbeam_core.evacuations import fitting
from knapweedbeam_core.fleet import sharding
from knapweedbeam_core.pool import (
    attempt_tracker,
    calls,
    dispatcher,
    endpoints,
    job_memory,
    messages,
    room_policy,
    takeover,
)


class ShardedDispatcher:
    """Passes events to the dispatchers of the shards, of which one is usual."""

    def __init__(
        self,
        name: str,
        bounds: attempt_tracker.ProtocolBounds,
        timer: clock.Clock,
        policy: room_policy.RoomPolicy = room_policy.DEFAULT,
    ) -> None:
        self.name = name
        self.bounds = bounds
        self.clock = timer
        self.policy = policy
        self.started_ms = timer.now_ms()
        self.memory = job_memory.JobMemory(timer)
        self.evacuated: frozenset[str] = frozenset()
        self.dispatchers = [self.build_dispatcher()]

    def build_dispatcher(self) -> dispatcher.Dispatcher:
        """Return a dispatcher for one shard, without endpoints."""
        built = dispatcher.Dispatcher(
            self.name, self.bounds, self.clock, self.memory, self.policy
        )
        built.set_evacuated(self.evacuated)
        return built

    # Shards and roles.

    def set_tokens(
        self, count: int, tokens: collections.abc.Mapping[int, int]
    ) -> dispatcher.Effects:
        """Dispatch on the shards that have a token, of `count` shards.

        A process without a shard divides its endpoints in the same way, to be ready
        for one. It keeps the division while it knows of none.
        """
        produced: dispatcher.Effects = []
        if (tokens or count > 1) and count != len(self.dispatchers):
            produced += self.divide(count)
        for shard, owner in enumerate(self.dispatchers):
            produced += owner.set_fence(tokens.get(shard, 0))
        return produced

    def divide(self, count: int) -> dispatcher.Effects:
        """Divide the known endpoints into another number of shards.

        Tasks of one job may run on endpoints that now are in other shards, where they
        are stopped as unclaimed: see `takeover.TAKEOVER_MS`.
        """
        known = self.list_endpoints()
        produced: dispatcher.Effects = []
        for owner in self.dispatchers:
            produced += owner.set_fence(0)
        primary = self.dispatchers[0]
        self.dispatchers = [self.build_dispatcher() for _ in range(count)]
        now_ms = self.clock.now_ms()
        for shard, owner in enumerate(self.dispatchers):
            owner.shard = shard
            owner.started_ms = self.started_ms
            owner.takeover.uncertain_until_ms = now_ms + takeover.TAKEOVER_MS
            has_stored_jobs = primary.stored_scheduler.has_stored_jobs
            owner.stored_scheduler.has_stored_jobs = has_stored_jobs
        for endpoint in known:
            self.find(endpoint.announcement.endpoint).add_known_endpoint(endpoint)
        return produced

    def find(self, name: str) -> dispatcher.Dispatcher:
        """Return the dispatcher of the shard of an endpoint, or of a job's id."""
        return self.dispatchers[sharding.get_shard(name, len(self.dispatchers))]

    def find_shard(self, submit: messages.Submit) -> int:
        """Return the shard that a job belongs to.

        It is another one than that of its id if a task fits on no endpoint there, and
        on some endpoint elsewhere; one that is not evacuated comes first. An open job
        stays where it is.
        """
        count = len(self.dispatchers)
        home = sharding.get_shard(submit.job_id, count)
        for shard, owner in enumerate(self.dispatchers):
            if submit.job_id in owner.jobs:
                return shard
        evacuated: int | None = None
        for offset in range(count):
            shard = (home + offset) % count
            reason = fitting.find_unfit_reason(
                submit.steps, self.get_iterate(shard, submit.terms.service)
            )
            if reason is None:
                return shard
            if reason == reasons.Reason.EVACUATED and evacuated is None:
                evacuated = shard
        return home if evacuated is None else evacuated

    def get_iterate(self, shard: int, service: str) -> fitting.Iterate:
        """Return the function that lists the endpoints of a service in a shard."""
        return lambda: self.dispatchers[shard].iterate_service(service)

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Start nothing more in these failure domains, and again in all others."""
        self.evacuated = domains
        for owner in self.dispatchers:
            owner.set_evacuated(domains)

    def get_primary(self) -> dispatcher.Dispatcher:
        """Return the dispatcher of the first shard, which places stored jobs."""
        return self.dispatchers[0]

    def is_active(self) -> bool:
        """Return whether this process dispatches on some shard."""
        return any(owner.fence for owner in self.dispatchers)

    def is_active_for(self, endpoint: str) -> bool:
        """Return whether this process dispatches on an endpoint's shard."""
        return self.find(endpoint).fence != 0

    def list_active(self) -> list[dispatcher.Dispatcher]:
        """Return the dispatchers of the shards that this process dispatches on."""
        return [owner for owner in self.dispatchers if owner.fence]

    # Endpoints.

    def list_endpoints(self) -> list[endpoints.Endpoint]:
        """Return the known endpoints of all shards."""
        return [
            endpoint
            for owner in self.dispatchers
            for endpoint in owner.endpoints.values()
        ]

    def count_endpoints(self) -> int:
        """Return how many endpoints are known."""
        return sum(len(owner.endpoints) for owner in self.dispatchers)

    def on_announcement(
        self, announcement: messages.EndpointNews
    ) -> dispatcher.Effects:
        """Handle an endpoint's announcement."""
        return self.find(announcement.endpoint).on_announcement(announcement)

    def on_endpoint_gone(self, gone: messages.EndpointGone) -> dispatcher.Effects:
        """Handle that an endpoint signed off."""
        return self.find(gone.endpoint).on_endpoint_gone(gone)

    def get_birth_ms(self, endpoint: str) -> int:
        """Return when the known incarnation of an endpoint was born, 0 for none."""
        return self.find(endpoint).get_birth_ms(endpoint)

    def list_announcements(self) -> list[messages.EndpointNews]:
        """Return the newest announcement of each endpoint, with its age."""
        return [
            announcement
            for owner in self.dispatchers
            for announcement in owner.list_announcements()
        ]

    def list_speeds(self) -> messages.SpeedsLearned:
        """Return the speeds that were measured in the shards dispatched here."""
        return messages.SpeedsLearned(
            tuple(
                sample
                for owner in self.list_active()
                for sample in owner.list_speeds().speeds
            )
        )

    def on_speeds(self, sender: str, learned: messages.SpeedsLearned) -> None:
        """Store the endpoints of another dispatcher, each in its shard.

        A shard that it names no endpoint of keeps its last list: tasks may still run.
        """
        for owner in self.dispatchers:
            of_shard = tuple(
                sample
                for sample in learned.speeds
                if self.find(sample.endpoint) is owner
            )
            if of_shard:
                owner.on_speeds(sender, messages.SpeedsLearned(of_shard))

    # Jobs.

    def on_submit(self, sender: str, submit: messages.Submit) -> dispatcher.Effects:
        """Handle a job that an entry VM holds open.

        Its token is that of the shard of its id, also where it belongs to another one.
        """
        owner = self.dispatchers[self.find_shard(submit)]
        home = self.find(submit.job_id)
        if owner is not home and submit.token and submit.token == home.fence:
            submit = dataclasses.replace(submit, token=owner.fence)
        return owner.on_submit(sender, submit)

    def on_withdraw(self, withdraw: messages.Withdraw) -> dispatcher.Effects:
        """Stop a job that its caller no longer waits for."""
        return [
            effect
            for owner in self.dispatchers
            for effect in owner.on_withdraw(withdraw)
        ]

    def on_cancel(self, cancel: messages.CancelOpenJob) -> dispatcher.Effects:
        """End a job that was cancelled at another entry VM than its own."""
        return [
            effect for owner in self.dispatchers for effect in owner.on_cancel(cancel)
        ]

    def on_confirmed(self, confirmed: messages.JobConfirmed) -> dispatcher.Effects:
        """Handle that an entry VM still sends a job here."""
        return [
            effect
            for owner in self.dispatchers
            for effect in owner.on_confirmed(confirmed)
        ]

    def list_entries(self) -> set[str]:
        """Return the entry VMs that have open jobs here."""
        return {
            job.entry
            for owner in self.list_active()
            for job in owner.jobs.values()
            if job.entry
        }

    def on_entry_lost(self, entry: str) -> dispatcher.Effects:
        """Stop starting tasks for an unresponsive entry VM."""
        return [
            effect
            for owner in self.dispatchers
            for effect in owner.on_entry_lost(entry)
        ]

    def on_entry_recovered(self, entry: str) -> dispatcher.Effects:
        """Resume the jobs of an entry VM that sends jobs here."""
        return [
            effect
            for owner in self.dispatchers
            for effect in owner.on_entry_recovered(entry)
        ]

    def set_stored_jobs(self, has_stored_jobs: bool) -> None:
        """Record whether any process is known to have stored jobs."""
        for owner in self.dispatchers:
            owner.stored_scheduler.has_stored_jobs = has_stored_jobs

    def has_jobs(self) -> bool:
        """Return whether some job is open here."""
        return any(owner.jobs for owner in self.dispatchers)

    def count_queued(self) -> int:
        """Return how many jobs have waiting tasks."""
        return sum(len(owner.queue) for owner in self.dispatchers)

    # Time.

    def tick(self) -> dispatcher.Effects:
        """Run the periodic work of all shards."""
        return [effect for owner in self.dispatchers for effect in owner.tick()]

    def place(self) -> dispatcher.Effects:
        """Start the waiting tasks that fit and refuse jobs that are too late."""
        return [effect for owner in self.list_active() for effect in owner.place()]

    def get_placement_pause_ms(self) -> int:
        """Return how long the next placement should wait, 0 for not at all."""
        return max(owner.get_placement_pause_ms() for owner in self.dispatchers)

    # Calls to endpoints and their answers.

    def build_hold(self, name: str) -> calls.Hold | None:
        """Return the next hold for an endpoint, or None to stop polling it."""
        return self.find(name).build_hold(name)

    def has_unacked_ends(self, name: str) -> bool:
        """Return whether an endpoint lists ends that must not be acknowledged yet."""
        return self.find(name).has_unacked_ends(name)

    def build_probe(self, name: str) -> calls.Hold | None:
        """Return a probe of an endpoint, or None if it is no longer held."""
        return self.find(name).build_probe(name)

    def on_probe_result(
        self, hold: calls.Hold, answer: calls.HoldResult | calls.HoldFailed
    ) -> dispatcher.Effects:
        """Handle the result of a probe."""
        return self.find(hold.target.endpoint).on_probe_result(hold, answer)

    def on_hold_result(
        self, hold: calls.Hold, answer: calls.HoldResult
    ) -> dispatcher.Effects:
        """Handle the attempts and ends that an endpoint lists."""
        return self.find(hold.target.endpoint).on_hold_result(hold, answer)

    def on_hold_failed(
        self, hold: calls.Hold, failed: calls.HoldFailed
    ) -> dispatcher.Effects:
        """Handle a hold that returned no lists."""
        return self.find(hold.target.endpoint).on_hold_failed(hold, failed)

    def on_start_sent(self, start: calls.Start) -> None:
        """Record that a start is being sent, some time after it was decided."""
        self.find(start.target.endpoint).on_start_sent(start)

    def on_start_answer(
        self, start: calls.Start, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Handle the answer to a start."""
        return self.find(start.target.endpoint).on_start_answer(start, answer)

    def on_stop_answer(
        self, stop: calls.Stop, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Handle the answer to a stop."""
        return self.find(stop.target.endpoint).on_stop_answer(stop, answer)

    def on_advice(
        self, asked: calls.RequestAdvice, advice: calls.Advice | None
    ) -> dispatcher.Effects:
        """Handle the answer to a request for advice, None if there was no answer."""
        for owner in self.dispatchers:
            owner.on_advice(asked, advice)
        return []

    # Figures.

    def count_attempts(self) -> int:
        """Return how many attempts are on the endpoints."""
        return sum(owner.count_attempts() for owner in self.dispatchers)

    def take_held_back(self) -> int:
        """Return how many jobs were held back since the last call."""
        return sum(
            owner.task_starter.start_window.take_held_back()
            for owner in self.dispatchers
        )

    def take_evacuation_refusals(self) -> int:
        """Return how many jobs were refused for evacuations since the last call."""
        count = 0
        for owner in self.dispatchers:
            count += owner.evacuation_refusals
            owner.evacuation_refusals = 0
        return count

    def count_evacuated_tasks(self) -> int:
        """Return how many waiting tasks fit only where it is evacuated."""
        if not self.evacuated:
            return 0
        return sum(
            fitting.count_blocked(
                (task for job in owner.queue.values() for task in job.waiting),
                functools.partial(self.get_iterate, shard),
            )
            for shard, owner in enumerate(self.dispatchers)
        )

    def count_held_endpoints(self) -> int:
        """Return how many endpoints this process holds."""
        return sum(endpoint.is_held for endpoint in self.list_endpoints())

    def count_waiting_jobs(self) -> int:
        """Return how many jobs have tasks that wait."""
        return sum(
            bool(job.waiting)
            for owner in self.dispatchers
            for job in owner.jobs.values()
        )

    def get_used_share(self) -> float:
        """Return the used share of the processor capacity of all held endpoints.

        Those that are evacuated do not count.
        """
        held = [each for each in self.list_endpoints() if each.is_in_service]
        total = sum(each.capacity.cpu_millis for each in held)
        used = sum(each.used.cpu_millis for each in held)
        return used / total if total else 0.0
