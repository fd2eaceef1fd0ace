"""Schedules stored jobs on a dispatcher as the log records them.

A dispatcher starts with them once the log has committed its fencing token, which
deposes the previous dispatcher, and works from its own replica's ledger. The log
records the end of a stored job's task before the endpoint may forget it, so that a
successor finds each end in the log or on the endpoint.

A task that ran on a lost endpoint may have ended there, and another dispatcher may
have recorded that end. So it is started again only once the log has confirmed, after
the loss, that this dispatcher is still the registered one.
"""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import (
    calls,
    endpoints,
    jobs,
    log_events,
    messages,
    predecessors,
    succession,
)
from knapweedbeam_core.stored import ledger
from knapweedbeam_core.stored import messages as stored_messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# Attempt numbers of one task reserved for each dispatcher, so that a successor's are
# higher.
ATTEMPTS_PER_TERM = 1_000
# A dispatcher without contact to the log for this long may have been replaced and stops
# its stored jobs. Electing a new leader of the log takes 1 to 2 s.
LOG_CONTACT_TIMEOUT_MS = 3_000
# Interval at which ends that the log has not confirmed are sent again.
RESEND_MS = 500
# Callers of stored jobs do not wait, so these have no deadline.
NO_DEADLINE_MS = 10**12

# Endpoint, the birth time of its incarnation, and the place of an end there.
EndKey = tuple[str, int, int]


class StoredJobScheduler:
    """Opens the ledger's jobs on a dispatcher and records the ends in the log.

    `term` is 0 until the log has committed the dispatcher's fencing token.
    `has_stored_jobs` is set while any process knows of stored jobs. `occurrences`
    counts the occurrences of each scheduled job that were opened. `lost_ms` is when an
    endpoint with stored tasks was last lost.
    """

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.term = 0
        self.has_stored_jobs = False
        self.scheduled: dict[str, ledger.Entry] = {}
        self.occurrences: dict[str, int] = {}
        self.active_since_ms = 0
        self.resend_due_ms = 0
        # Ends that the log has not confirmed; the endpoint may be gone meanwhile.
        self.unconfirmed_ends: dict[EndKey, calls.RecordEnd] = {}
        # Crashes that the log has not confirmed, by task and attempt number.
        self.unconfirmed_crashes: dict[tuple[str, int], calls.RecordCrash] = {}
        self.log_contact_ms = 0
        self.succession = succession.Succession(owner.clock)
        self.lost_ms = 0

    def reset(self) -> None:
        """Drop all state of stored jobs, as this dispatcher no longer places them.

        Crashes that it saw are kept until the log has them: nobody else knows of them.
        """
        self.term = 0
        self.active_since_ms = 0
        self.succession.reset()
        self.lost_ms = 0
        self.unconfirmed_ends.clear()
        self.scheduled.clear()
        self.occurrences.clear()

    # Changes that the log has applied.

    def on_changes(
        self, changes: list[ledger.Change], local_ledger: ledger.Ledger
    ) -> dispatcher.Effects:
        """Handle the changes that the local replica of the log has applied."""
        produced: dispatcher.Effects = []
        for change in changes:
            produced += self.on_change(change, local_ledger)
        return produced

    def on_change(
        self, change: ledger.Change, local_ledger: ledger.Ledger
    ) -> dispatcher.Effects:
        """Handle one applied change."""
        match change:
            case ledger.DispatcherRegistered(fence, term, requested_ms):
                return self.on_registered(fence, term, requested_ms, local_ledger)
            case ledger.Accepted(job_id, is_new) if is_new and self.term:
                entry = local_ledger.entries.get(job_id)
                is_open = entry is not None and entry.is_open
                return self.add(job_id, entry) if entry and is_open else []
            case ledger.Cancelled(job_id) if self.term:
                return self.close_job(job_id)
            case ledger.EndsRecorded(ends):
                return self.on_ends_recorded(ends, local_ledger)
            case ledger.CrashesRecorded(counted, is_retracted):
                return self.on_crashes_recorded(counted, is_retracted, local_ledger)
        return []

    @property
    def needs_registration(self) -> bool:
        """Return whether to request registration, or a confirmation of it."""
        is_unsure = self.succession.needs_confirmation
        return not self.term or is_unsure or self.confirmed_ms < self.lost_ms

    @property
    def confirmed_ms(self) -> int:
        """Return when the newest confirmed registration was requested."""
        return self.succession.confirmed_ms

    def hold_back(self, task: jobs.Task) -> None:
        """Hold back a stored task that may have ended on a lost endpoint.

        It may start once a registration requested after the loss is confirmed.
        """
        if task.job.is_stored:
            # 1 ms later than now, so that an earlier request does not confirm it.
            task.lost_ms = self.lost_ms = self.owner.clock.now_ms() + 1

    def may_start(self, task: jobs.Task) -> bool:
        """Return whether a task of a stored job is not held back.

        A crash under it has to be in the log before its next start.
        """
        if task.lost_ms > self.confirmed_ms or self.succession.may_be_replaced:
            return False
        return not any(
            (task.name, number) in self.unconfirmed_crashes
            for number in task.history.crashes
        )

    def on_registered(
        self, fence: int, term: int, requested_ms: int, local_ledger: ledger.Ledger
    ) -> dispatcher.Effects:
        """Handle a registration in the log.

        This dispatcher's own one opens all open jobs, a later dispatcher's one stops
        them here.
        """
        if not self.owner.fence or fence < self.owner.fence:
            return []
        if fence > self.owner.fence:
            return self.abandon("replaced")
        self.succession.confirm(requested_ms)
        if self.term == term:
            return []
        self.term = term
        self.active_since_ms = self.log_contact_ms = self.owner.clock.now_ms()
        produced: dispatcher.Effects = []
        for job in [job for job in self.owner.jobs.values() if job.is_stored]:
            entry = local_ledger.entries.get(job.job_id)
            if entry is None or not entry.is_open:
                produced += self.owner.end_job(job, None)
        open_entries = {
            job_id: entry
            for job_id, entry in local_ledger.entries.items()
            if entry.is_open
        }
        if term > 1:
            former = self.owner.takeover.predecessors.list_fresh()
            self.succession.inherit(open_entries, former or predecessors.UNKNOWN)
        for job in self.owner.jobs.values():
            if job.is_stored:
                self.succession.hold_back(job)
        for job_id, entry in open_entries.items():
            produced += self.add(job_id, entry)
        self.forget_unclaimed_ends()
        started = log_events.StoredDispatchStarted(fence, term, len(open_entries))
        return [started, *produced]

    def require_registration(self) -> None:
        """Request registration again, as a snapshot replaced changes of the log."""
        self.term = 0

    def forget_unclaimed_ends(self) -> None:
        """Let endpoints forget the ends of jobs that are not open in the ledger."""
        for endpoint in self.owner.endpoints.values():
            for place, end in list(endpoint.unacked_ends.items()):
                if not self.is_of_open_job(end):
                    del endpoint.unacked_ends[place]

    def is_of_open_job(self, end: calls.End) -> bool:
        """Return whether an end belongs to a stored job that is open."""
        job_id = jobs.get_job_id(end.task)
        job = self.owner.jobs.get(jobs.get_key(end.task))
        return job_id in self.scheduled or (job is not None and job.is_stored)

    def abandon(self, why: str) -> dispatcher.Effects:
        """Stop all stored jobs, as another dispatcher has taken them over or may have.

        `why` goes into the log event.
        """
        stored = [job for job in self.owner.jobs.values() if job.is_stored]
        if not self.term and not stored:
            return []
        self.reset()
        produced: dispatcher.Effects = [
            log_events.StoredDispatchStopped(why, len(stored))
        ]
        for job in stored:
            produced += self.owner.end_job(job, None)
        return produced

    def add(self, job_id: str, entry: ledger.Entry) -> dispatcher.Effects:
        """Open a job of the ledger, or the due occurrences of a scheduled one."""
        assert entry.job is not None
        if entry.job.repeat_count:
            self.scheduled[job_id] = entry
            self.occurrences.setdefault(job_id, 0)
            return self.add_due(job_id, entry)
        if job_id in self.owner.jobs:
            return []
        return self.open_job(entry, entry.job, 0)

    def add_due(self, job_id: str, entry: ledger.Entry) -> dispatcher.Effects:
        """Open the occurrences of a scheduled job that are due."""
        job = entry.job
        if job is None:
            return []
        produced: dispatcher.Effects = []
        wall_ms = self.owner.clock.wall_ms()
        while self.occurrences[job_id] < job.repeat_count:
            number = self.occurrences[job_id]
            if job.start_at_ms + number * job.interval_ms > wall_ms:
                break
            self.occurrences[job_id] = number + 1
            if jobs.build_key(job_id, number) not in self.owner.jobs:
                produced += self.open_job(entry, job, number)
        return produced

    def open_job(
        self,
        entry: ledger.Entry,
        stored_job: stored_messages.StoredJob,
        occurrence: int,
    ) -> dispatcher.Effects:
        """Give a job, or one occurrence, to the dispatcher unless it is all done."""
        job = self.build_job(entry, stored_job, occurrence)
        if not job.tasks_left:
            return []
        self.succession.hold_back(job)
        self.owner.add_job(job)
        return [
            *self.owner.tracker.adopt_attempts(job),
            *self.restore_suspicions(job, entry),
        ]

    def restore_suspicions(
        self, job: jobs.Job, entry: ledger.Entry
    ) -> dispatcher.Effects:
        """Take over the probable crashes that a job's former dispatchers recorded."""
        produced: dispatcher.Effects = []
        for suspicion in entry.list_suspicions():
            task = job.find_task(suspicion.crash.task)
            if task is not None:
                produced += self.restore_suspicion(task, suspicion)
        return produced

    def restore_suspicion(
        self, task: jobs.Task, suspicion: ledger.Suspicion
    ) -> dispatcher.Effects:
        """Take over a probable crash, with its age as the wall clocks tell it."""
        age_ms = max(0, self.owner.clock.wall_ms() - suspicion.wall_ms)
        return self.owner.crash_handler.restore(task, suspicion.crash, age_ms)

    def build_job(
        self,
        entry: ledger.Entry,
        stored_job: stored_messages.StoredJob,
        occurrence: int,
    ) -> jobs.Job:
        """Return a job with the ends and failures that the ledger has recorded."""
        now_ms = self.owner.clock.now_ms()
        since_ms = stored_job.start_at_ms + occurrence * stored_job.interval_ms
        if not stored_job.repeat_count:
            since_ms = entry.accepted_ms
        age_ms = max(0, self.owner.clock.wall_ms() - since_ms)
        base = (self.term - 1) * ATTEMPTS_PER_TERM
        ended_job = self.owner.ended.get(jobs.build_key(stored_job.job_id, occurrence))
        job = jobs.Job(
            stored_job.job_id,
            "",
            stored_job.terms,
            stored_job.spec,
            stored_job.steps,
            now_ms - age_ms,
            now_ms + NO_DEADLINE_MS,
            max(base, ended_job.last_attempt if ended_job is not None else 0),
            occurrence,
        )
        job.is_stored = True
        job.has_begun = entry.verdict == stored_messages.Verdict.ACTIVE
        job.was_started = job.has_begun
        self.apply_ends(job, entry)
        return job

    def apply_ends(self, job: jobs.Job, entry: ledger.Entry) -> None:
        """Apply the ends and failures of the ledger to a job's tasks."""
        for tasks in job.tasks:
            for task in tasks:
                name = jobs.TaskName(job.occurrence, task.step, task.index)
                if name.task in entry.done:
                    job.mark_done(task)
                failure_key = name.gang if task.spec.is_gang else name.task
                for number in entry.failures.get(failure_key, ()):
                    job.record_failure(task, number, self.owner.clock.now_ms())
                for number, is_early in entry.get_certain_crashes(name.task).items():
                    task.history.count(number, is_early)

    def close_job(self, job_id: str) -> dispatcher.Effects:
        """Stop a job that has ended in the ledger, with all of its occurrences."""
        self.scheduled.pop(job_id, None)
        self.occurrences.pop(job_id, None)
        produced: dispatcher.Effects = []
        for job in [job for job in self.owner.jobs.values() if job.job_id == job_id]:
            if job.is_stored:
                produced += self.owner.end_job(job, None)
        return produced

    def on_ends_recorded(
        self, ends: tuple[stored_messages.NotedEnd, ...], local_ledger: ledger.Ledger
    ) -> dispatcher.Effects:
        """Let endpoints forget the ends that the log has recorded."""
        produced: dispatcher.Effects = []
        for end in ends:
            self.unconfirmed_ends.pop((end.endpoint, end.born_ms, end.place), None)
            endpoint = self.owner.endpoints.get(end.endpoint)
            if endpoint is not None and endpoint.announcement.born_ms == end.born_ms:
                endpoint.unacked_ends.pop(end.place, None)
            entry = local_ledger.entries.get(jobs.get_job_id(end.task))
            if entry is None or not entry.is_open:
                produced += self.close_job(jobs.get_job_id(end.task))
        return produced

    # Crashes of endpoints.

    def record_crash(
        self, crash: messages.TaskCrash, is_retracted: bool = False
    ) -> dispatcher.Effects:
        """Return an effect that records a crash under a stored task in the log."""
        record = calls.RecordCrash(crash, is_retracted)
        self.unconfirmed_crashes[crash.task, crash.number] = record
        return [record]

    def on_crashes_recorded(
        self,
        counted: tuple[messages.TaskCrash, ...],
        is_retracted: bool,
        local_ledger: ledger.Ledger,
    ) -> dispatcher.Effects:
        """Update the tasks that crashes concern, and close the jobs that these end."""
        produced: dispatcher.Effects = []
        for crash in counted:
            key = (crash.task, crash.number)
            record = self.unconfirmed_crashes.get(key)
            if record == calls.RecordCrash(crash, is_retracted):
                del self.unconfirmed_crashes[key]
            job_id = jobs.get_job_id(crash.task)
            entry = local_ledger.entries.get(job_id)
            if entry is None or not entry.is_open:
                produced += self.close_job(job_id)
            elif key not in self.unconfirmed_crashes:
                # What this dispatcher has yet to record is newer.
                produced += self.update_history(crash, entry)
        return produced

    def update_history(
        self, crash: messages.TaskCrash, entry: ledger.Entry
    ) -> dispatcher.Effects:
        """Update a task by what the log holds of a crash that any dispatcher saw."""
        job = self.owner.jobs.get(jobs.get_key(crash.task))
        task = job.find_task(crash.task) if job is not None else None
        name = jobs.parse_task_name(crash.task)
        if task is None or name is None or not task.job.is_stored:
            return []
        if crash.number not in entry.crashes.get(name.task, {}):
            task.history.forget(crash.number)
            return []
        suspicion = entry.suspicions.get(name.task, {}).get(crash.number)
        if suspicion is not None:
            return self.restore_suspicion(task, suspicion)
        task.history.count(crash.number, crash.is_early)
        return []

    # Ends that endpoints list.

    def may_be_stored(self, end: calls.End) -> bool:
        """Return whether an end of an unknown job may belong to a stored job."""
        if end.kind not in (calls.EndKind.DONE, calls.EndKind.FAILED):
            return False
        if jobs.get_job_id(end.task) in self.scheduled:
            return True
        return self.has_stored_jobs and not self.term

    def record_end(
        self, endpoint: endpoints.Endpoint, end: calls.End, task: jobs.Task
    ) -> dispatcher.Effects:
        """Return an effect that records the end of a stored job's task in the log.

        The end is acknowledged to the endpoint only once the log has it.
        """
        if not task.job.is_stored or task.job.is_lasting or task.job.is_cancelled:
            return []
        if end.kind not in (calls.EndKind.DONE, calls.EndKind.FAILED):
            return []
        endpoint.keep_end(end)
        announcement = endpoint.announcement
        record = calls.RecordEnd(announcement.endpoint, announcement.born_ms, end)
        self.unconfirmed_ends[
            announcement.endpoint, announcement.born_ms, end.place
        ] = record
        return [record]

    # Time.

    def record_log_contact(self) -> None:
        """Record that the log's leader was in contact just now."""
        self.log_contact_ms = self.owner.clock.now_ms()

    def tick(self, now_ms: int) -> dispatcher.Effects:
        """Open due occurrences, resend ends, and stop without contact to the log."""
        self.succession.tick(now_ms)
        if not self.active_since_ms:
            return self.resend_crashes(now_ms)
        if now_ms - self.log_contact_ms > LOG_CONTACT_TIMEOUT_MS:
            return self.abandon("no contact with the log")
        if not self.term:
            return self.resend_crashes(now_ms)
        produced: dispatcher.Effects = []
        for job_id, entry in list(self.scheduled.items()):
            produced += self.add_due(job_id, entry)
        if now_ms >= self.resend_due_ms:
            produced += self.resend_ends()
        return produced + self.resend_crashes(now_ms)

    def resend_crashes(self, now_ms: int) -> dispatcher.Effects:
        """Return effects that record the unconfirmed crashes again, if that is due."""
        if now_ms < self.resend_due_ms:
            return []
        self.resend_due_ms = now_ms + RESEND_MS
        return [*self.unconfirmed_crashes.values()]

    def resend_ends(self) -> dispatcher.Effects:
        """Return effects that record the unconfirmed ends again."""
        unconfirmed = dict(self.unconfirmed_ends)
        for endpoint in self.owner.endpoints.values():
            announcement = endpoint.announcement
            for place, end in endpoint.unacked_ends.items():
                record = calls.RecordEnd(
                    announcement.endpoint, announcement.born_ms, end
                )
                unconfirmed.setdefault(
                    (announcement.endpoint, announcement.born_ms, place), record
                )
        return [*unconfirmed.values()]

    def count_waiting(self, queue: str) -> int:
        """Return how many stored jobs of a queue have no task that has run.

        A start that is refused, or is never carried out, begins nothing.
        """
        started_ids = {
            job.job_id
            for job in self.owner.jobs.values()
            if job.is_stored and job.has_begun
        }
        open_ids = {
            job.job_id
            for job in self.owner.jobs.values()
            if job.is_stored and job.terms.queue == queue
        }
        scheduled_ids = {
            job_id
            for job_id, entry in self.scheduled.items()
            if entry.queue == queue and not self.occurrences[job_id]
        }
        return len((open_ids | scheduled_ids) - started_ids)
