"""The endpoints that a dispatcher knows, and the attempts on each."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.pool import (
    calls,
    clocks,
    contact,
    crashes,
    endpoint_index,
    health,
    jobs,
    messages,
    resources,
    speeds,
)


class AttemptState(enum.Enum):
    """The state of an attempt as far as its dispatcher knows."""

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "doubtful"  # no answer: it may run, or start late
    UNCLAIMED = "strange"  # runs, but its job has not been submitted here yet


@dataclasses.dataclass(slots=True)
class Attempt:
    """One start of a task on an endpoint.

    `task` is the task's full name and `owner` the task itself, None if its job is not
    known here. `until_ms` is the time on the endpoint's clock after which it refuses
    the start. By the dispatcher's `waiting_clock`, `called_ms` is when the start was
    sent or, if another dispatcher sent it, when the attempt was first listed, 0 while
    it is not sent, and `stop_sent_ms` is when the last stop was decided, 0 for none;
    `stop_clock_ms` is the endpoint's clock when it accepted the stop, 0 until then.
    `began_clock_ms` is that clock when the endpoint accepted the start or first listed
    the attempt as running. `is_suspect` tells that an endpoint crashed under an earlier
    attempt of the task, `is_listed` that this incarnation has listed this one as
    running. `former_loss` is set while it is not known whether the start reached the
    former incarnation or this one.
    """

    task: str
    number: int
    owner: jobs.Task | None
    need: resources.Resources
    state: AttemptState
    sent_ms: int
    until_ms: int = 0
    called_ms: int = 0
    is_unwanted: bool = False
    stop_sent_ms: int = 0
    stop_clock_ms: int = 0
    began_clock_ms: int = 0
    is_overdue: bool = False
    is_suspect: bool = False
    is_listed: bool = False
    former_loss: crashes.Loss | None = None

    def mark_begun(self) -> None:
        """Record that the attempt runs or ran, so that its job has begun."""
        if self.owner is not None:
            self.owner.job.has_begun = True


def build_target(announcement: messages.EndpointNews) -> calls.Target:
    """Return the target of calls to an endpoint's incarnation."""
    return calls.Target(
        announcement.endpoint, announcement.born_ms, announcement.address
    )


class Endpoint:
    """One incarnation of an endpoint.

    `last_seen_end` is the place of the newest end that was handled. `unacked_ends` are
    ends that must not be acknowledged yet, by place: the log has to record them first,
    or it is not known whether it has to. `list_clock_ms` is the endpoint's clock in its
    newest lists. By the dispatcher's `waiting_clock`, `listed_ms` is when these
    arrived, and the answer to the open hold is due at `answer_due_ms`.
    `signed_off_ms` is when a sign-off was handled, 0 for none or a stale one.
    `is_incarnation_sure` is false once a call failed, until this incarnation answers
    again: the next one may have started meanwhile. `was_replaced` tells that it has.
    `is_read` tells that a list held all ends of this incarnation: those of attempts
    that this dispatcher did not start are known from then on.
    """

    def __init__(
        self,
        announcement: messages.EndpointNews,
        announced_ms: int,
        index: endpoint_index.EndpointIndex,
    ) -> None:
        self.announcement = announcement
        self.target = build_target(announcement)
        self.index = index
        self.announced_ms = announced_ms
        self.capacity = resources.Resources(
            announcement.cpu_millis, announcement.memory_mib, announcement.gpus
        )
        self.used = resources.Resources()
        self.free = self.capacity
        self.unclaimed_count = 0
        self.attempts: dict[str, Attempt] = {}
        self.is_held = False
        self.is_polled = False
        self.failed_polls = 0
        self.contact = contact.Contact()
        self.list_clock_ms = -1
        self.listed_ms = 0
        self.answer_due_ms = 0
        self.probe_due_ms = 0
        self.open_probes = 0
        self.last_seen_end = 0
        self.unacked_ends: dict[int, calls.End] = {}
        self.isolated_until_ms = 0
        self.signed_off_ms = 0
        self.is_incarnation_sure = True
        self.was_replaced = False
        self.is_read = False
        self.lease_until_ms = 0
        self.reading: clocks.Reading | None = None
        self.speed = speeds.Speed()
        self.health = health.Health()
        self.mark_changed()

    def mark_changed(self) -> None:
        """Record that the speed or the free resources changed."""
        self.index.mark_changed(self.announcement.endpoint)

    @property
    def acked_end(self) -> int:
        """Return the place up to which the endpoint may forget its ends.

        It is 0 if the next incarnation may answer, which counts its ends anew.
        """
        if not self.is_incarnation_sure:
            return 0
        return min(self.unacked_ends) - 1 if self.unacked_ends else self.last_seen_end

    @property
    def has_unclaimed(self) -> bool:
        """Return whether attempts run here whose required resources are unknown."""
        return self.unclaimed_count > 0

    @property
    def is_evacuated(self) -> bool:
        """Return whether the endpoint's failure domain is evacuated."""
        return self.announcement.domain in self.index.evacuated

    @property
    def is_in_service(self) -> bool:
        """Return whether the endpoint is held and may get tasks, now or later."""
        return self.is_held and not self.is_evacuated

    def apply_announcement(
        self, announcement: messages.EndpointNews, announced_ms: int
    ) -> bool:
        """Apply an announcement of this incarnation; return whether it was newer."""
        if announcement.sequence <= self.announcement.sequence:
            return False
        self.announcement = announcement
        self.target = build_target(announcement)
        self.announced_ms = announced_ms
        self.capacity = resources.Resources(
            announcement.cpu_millis, announcement.memory_mib, announcement.gpus
        )
        self.free = self.capacity.minus(self.used)
        self.mark_changed()
        return True

    def record_list(self, may_hide_ends: bool) -> None:
        """Record that lists arrived, which may not hold all ends."""
        if not may_hide_ends:
            self.is_read = True
        elif not self.is_read:
            self.index.with_hidden_ends.add(self.announcement.endpoint)

    def keep_end(self, end: calls.End) -> None:
        """Keep an end that must not be acknowledged yet."""
        self.unacked_ends[end.place] = end
        self.index.with_unacked_ends.add(self.announcement.endpoint)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt and assign its resources."""
        if attempt.task not in self.attempts:
            job_id = jobs.get_job_id(attempt.task)
            self.index.add_attempt(self.announcement.endpoint, job_id)
        self.attempts[attempt.task] = attempt
        self.unclaimed_count += attempt.state == AttemptState.UNCLAIMED
        self.used = self.used.plus(attempt.need)
        self.free = self.capacity.minus(self.used)

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt and release its resources."""
        if self.attempts.pop(attempt.task, None) is not None:
            job_id = jobs.get_job_id(attempt.task)
            self.index.remove_attempt(self.announcement.endpoint, job_id)
            self.unclaimed_count -= attempt.state == AttemptState.UNCLAIMED
            if attempt.is_suspect:
                self.isolated_until_ms = 0
            self.used = self.used.minus(attempt.need)
            self.free = self.capacity.minus(self.used)

    def get_estimate_ms(
        self, step: messages.SubmittedStep, remote_factor: float
    ) -> float:
        """Return a task's estimate here, which is longer away from its data's rack."""
        is_remote = step.data_rack and step.data_rack != self.announcement.rack
        return step.estimate_ms * (remote_factor if is_remote else 1.0)

    def record_reading(self, reading: clocks.Reading | None) -> None:
        """Keep a reading of the endpoint's clock if it is newer."""
        if reading is None:
            return
        if self.reading is None or reading.received_ms >= self.reading.received_ms:
            self.reading = reading

    def are_leases_expired(self, now_ms: int) -> bool:
        """Return whether all leases granted here have certainly expired."""
        if self.reading is None:
            return False
        return self.reading.get_earliest_ms(now_ms) > self.lease_until_ms

    def is_available(self, now_ms: int) -> bool:
        """Return whether new tasks may be placed here.

        On probation an endpoint gets one task at a time. Unclaimed attempts block it,
        as their resources are unknown, and so does a suspect until `isolated_until_ms`.
        None are placed in an evacuated failure domain.
        """
        return (
            self.is_held
            and not self.signed_off_ms
            and now_ms >= self.isolated_until_ms
            and not self.failed_polls
            and self.announcement.state == messages.EndpointState.UP
            and not self.health.is_cooling_down(now_ms)
            and not (self.health.is_on_probation and self.attempts)
            and not self.has_unclaimed
            and not self.is_evacuated
        )
