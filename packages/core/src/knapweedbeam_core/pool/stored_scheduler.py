"""The stored jobs of a dispatcher: it places them as the log has them.

A dispatcher begins with them once the log has its token, which ends the say of the one
before it, and works from its own replica's ledger. The log has an end of a stored job's
task before the endpoint may forget it; whoever comes next finds it in one of the two.

What ran on an endpoint that was lost may have ended there, and another dispatcher may
have had that kept. So it is started again only once the log has confirmed, after the
loss, that this dispatcher is still the one.
"""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import calls, endpoints, jobs, log_events
from knapweedbeam_core.stored import ledger
from knapweedbeam_core.stored import messages as stored_messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# Attempts of one task that one dispatcher may use before the next one's numbers begin.
ATTEMPTS_PER_TERM = 1_000
# A dispatcher that hears nothing of the log for this long may have been replaced: it
# stops its stored jobs. An election of a new leader takes 1 to 2 s.
LOG_CONTACT_TIMEOUT_MS = 3_000
# What a replaced dispatcher may still run where its successor cannot see: it stops by
# `OUT_OF_TOUCH_MS`, counted from when its leader lost its own lease (0.8 s), and then
# its leases of a second run out.
TAKEOVER_MS = 5_500
# Ends that the log didn't confirm are sent to it again.
RESEND_MS = 500
# Callers of stored jobs do not wait for them.
NO_DEADLINE_MS = 10**12

# Endpoint, its birth, and the place of an end there.
EndKey = tuple[str, int, int]


class StoredJobScheduler:
    """Brings the ledger's jobs to a dispatcher, and its ends to the log.

    `term` is 0 until the log has the dispatcher's token. `are_there_stored` says that
    some process knows of stored jobs.
    """

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.term = 0
        self.has_stored_jobs = False
        self.scheduled: dict[str, ledger.Entry] = {}
        self.occurrences: dict[str, int] = {}
        self.active_since_ms = 0
        self.resend_due_ms = 0
        # Ends that the log doesn't have yet; their endpoint may be gone meanwhile.
        self.unconfirmed_ends: dict[EndKey, calls.RecordEnd] = {}
        self.log_contact_ms = 0
        self.confirmed_ms = 0
        self.lost_ms = 0

    def reset(self) -> None:
        """Forget the stored jobs: another dispatcher places them, or nobody yet."""
        self.term = 0
        self.active_since_ms = 0
        self.confirmed_ms = 0
        self.lost_ms = 0
        self.unconfirmed_ends.clear()
        self.scheduled.clear()
        self.occurrences.clear()

    # What the log says.

    def on_changes(
        self, changes: list[ledger.Change], known: ledger.Ledger
    ) -> dispatcher.Effects:
        """Take what the log applied."""
        produced: dispatcher.Effects = []
        for change in changes:
            produced += self.on_change(change, known)
        return produced

    def on_change(
        self, change: ledger.Change, known: ledger.Ledger
    ) -> dispatcher.Effects:
        """Take one change."""
        match change:
            case ledger.DispatcherRegistered(fence, term, asked_ms):
                return self.on_registered(fence, term, asked_ms, known)
            case ledger.Accepted(job_id, is_new) if is_new and self.term:
                entry = known.entries.get(job_id)
                is_open = entry is not None and entry.is_open
                return self.add(job_id, entry) if entry and is_open else []
            case ledger.Cancelled(job_id) if self.term:
                return self.close_job(job_id)
            case ledger.EndsRecorded(ends):
                return self.on_ends_recorded(ends, known)
        return []

    @property
    def needs_registration(self) -> bool:
        """Say whether the log is to be asked for the office, or for a confirmation."""
        return not self.term or self.confirmed_ms < self.lost_ms

    def hold_back(self, task: jobs.Task) -> None:
        """Hold a task back that may have ended on an endpoint that was lost."""
        if task.job.is_stored:
            # One more than now: a confirmation that was asked for before counts not.
            task.lost_ms = self.lost_ms = self.owner.clock.now_ms() + 1

    def may_start(self, task: jobs.Task) -> bool:
        """Say whether a task of a stored job is not held back."""
        return task.lost_ms <= self.confirmed_ms

    def on_registered(
        self, fence: int, term: int, asked_ms: int, known: ledger.Ledger
    ) -> dispatcher.Effects:
        """Begin to place all open jobs; leave them to a later dispatcher."""
        if not self.owner.fence or fence < self.owner.fence:
            return []
        if fence > self.owner.fence:
            return self.abandon("replaced")
        self.confirmed_ms = max(self.confirmed_ms, asked_ms)
        if self.term == term:
            return []
        self.term = term
        self.active_since_ms = self.log_contact_ms = self.owner.clock.now_ms()
        produced: dispatcher.Effects = []
        for job in [job for job in self.owner.jobs.values() if job.is_stored]:
            entry = known.entries.get(job.job_id)
            if entry is None or not entry.is_open:
                produced += self.owner.end_job(job, None)
        for job_id, entry in known.entries.items():
            if entry.is_open:
                produced += self.add(job_id, entry)
        if term > 1:
            # An earlier dispatcher may run tasks of these where this one cannot see.
            for job in self.owner.jobs.values():
                if job.is_stored:
                    job.not_before_ms = self.active_since_ms + TAKEOVER_MS
        self.forget_unclaimed_ends()
        count = sum(entry.is_open for entry in known.entries.values())
        return [log_events.StoredOffice(fence, term, count), *produced]

    def require_registration(self) -> None:
        """Ask for the office again: a snapshot came, and changes were missed."""
        self.term = 0

    def forget_unclaimed_ends(self) -> None:
        """Let endpoints forget ends of jobs that the ledger doesn't hold open."""
        for endpoint in self.owner.endpoints.values():
            for place, end in list(endpoint.unacked_ends.items()):
                if not self.is_of_open_job(end):
                    del endpoint.unacked_ends[place]

    def is_of_open_job(self, end: calls.End) -> bool:
        """Say whether an end belongs to a stored job that is open."""
        job_id = jobs.get_job_id(end.task)
        known = self.owner.jobs.get(jobs.get_key(end.task))
        return job_id in self.scheduled or (known is not None and known.is_stored)

    def abandon(self, why: str) -> dispatcher.Effects:
        """Stop all stored jobs: another dispatcher has them, or may have."""
        stored = [job for job in self.owner.jobs.values() if job.is_stored]
        if not self.term and not stored:
            return []
        self.reset()
        produced: dispatcher.Effects = [log_events.StoredLeft(why, len(stored))]
        for job in stored:
            produced += self.owner.end_job(job, None)
        return produced

    def add(self, job_id: str, entry: ledger.Entry) -> dispatcher.Effects:
        """Take an open job up; a scheduled one when its occurrences are due."""
        assert entry.job is not None
        if entry.job.repeat_count:
            self.scheduled[job_id] = entry
            self.occurrences.setdefault(job_id, 0)
            return self.add_due(job_id, entry)
        if job_id in self.owner.jobs:
            return []
        return self.open_job(entry, entry.job, 0)

    def add_due(self, job_id: str, entry: ledger.Entry) -> dispatcher.Effects:
        """Begin the occurrences whose time has come."""
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
        self, entry: ledger.Entry, kept: stored_messages.StoredJob, occurrence: int
    ) -> dispatcher.Effects:
        """Hand a job, or one occurrence, to the dispatcher with what has ended."""
        job = self.build_job(entry, kept, occurrence)
        if not job.tasks_left:
            return []
        self.owner.jobs[job.key] = job
        return self.owner.tracker.adopt_attempts(job)

    def build_job(
        self, entry: ledger.Entry, kept: stored_messages.StoredJob, occurrence: int
    ) -> jobs.Job:
        """Return a job as the ledger has it."""
        now_ms = self.owner.clock.now_ms()
        since_ms = kept.start_at_ms + occurrence * kept.interval_ms
        if not kept.repeat_count:
            since_ms = entry.accepted_ms
        age_ms = max(0, self.owner.clock.wall_ms() - since_ms)
        base = (self.term - 1) * ATTEMPTS_PER_TERM
        ended = self.owner.ended.get(jobs.build_key(kept.job_id, occurrence))
        job = jobs.Job(
            kept.job_id,
            "",
            kept.terms,
            kept.spec,
            kept.steps,
            now_ms - age_ms,
            now_ms + NO_DEADLINE_MS,
            max(base, ended.last_attempt if ended is not None else 0),
            occurrence,
        )
        job.is_stored = True
        job.was_started = entry.verdict == stored_messages.Verdict.ACTIVE
        self.apply_ends(job, entry)
        return job

    def apply_ends(self, job: jobs.Job, entry: ledger.Entry) -> None:
        """Note what the ledger knows of a job's tasks."""
        for tasks in job.tasks:
            for task in tasks:
                name = jobs.TaskName(job.occurrence, task.step, task.index)
                if name.task in entry.done:
                    job.mark_done(task)
                failed = name.gang if task.spec.is_gang else name.task
                for number in entry.failures.get(failed, ()):
                    job.record_failure(task, number)

    def close_job(self, job_id: str) -> dispatcher.Effects:
        """Stop a job that was cancelled or failed, with all of its occurrences."""
        self.scheduled.pop(job_id, None)
        self.occurrences.pop(job_id, None)
        produced: dispatcher.Effects = []
        for job in [job for job in self.owner.jobs.values() if job.job_id == job_id]:
            if job.is_stored:
                produced += self.owner.end_job(job, None)
        return produced

    def on_ends_recorded(
        self, ends: tuple[stored_messages.NotedEnd, ...], known: ledger.Ledger
    ) -> dispatcher.Effects:
        """Let endpoints forget ends that the log has."""
        produced: dispatcher.Effects = []
        for end in ends:
            self.unconfirmed_ends.pop((end.endpoint, end.born_ms, end.place), None)
            endpoint = self.owner.endpoints.get(end.endpoint)
            if endpoint is not None and endpoint.announcement.born_ms == end.born_ms:
                endpoint.unacked_ends.pop(end.place, None)
            entry = known.entries.get(jobs.get_job_id(end.task))
            if entry is None or not entry.is_open:
                produced += self.close_job(jobs.get_job_id(end.task))
        return produced

    # What endpoints say.

    def may_be_stored(self, end: calls.End) -> bool:
        """Say whether an end of a job that isn't known may belong to a stored one."""
        if end.kind not in (calls.EndKind.DONE, calls.EndKind.FAILED):
            return False
        if jobs.get_job_id(end.task) in self.scheduled:
            return True
        return self.has_stored_jobs and not self.term

    def record_end(
        self, endpoint: endpoints.Endpoint, end: calls.End, task: jobs.Task
    ) -> dispatcher.Effects:
        """Have the log keep the end of a stored job's task."""
        if not task.job.is_stored or task.job.is_lasting or task.job.is_cancelled:
            return []
        if end.kind not in (calls.EndKind.DONE, calls.EndKind.FAILED):
            return []
        endpoint.unacked_ends[end.place] = end
        announcement = endpoint.announcement
        noted = calls.RecordEnd(announcement.endpoint, announcement.born_ms, end)
        self.unconfirmed_ends[
            announcement.endpoint, announcement.born_ms, end.place
        ] = noted
        return [noted]

    # Time.

    def record_log_contact(self) -> None:
        """Note that the log's leader was heard just now."""
        self.log_contact_ms = self.owner.clock.now_ms()

    def tick(self, now_ms: int) -> dispatcher.Effects:
        """Begin what is due, send ends again, and stop when out of touch."""
        if not self.active_since_ms:
            return []
        if now_ms - self.log_contact_ms > LOG_CONTACT_TIMEOUT_MS:
            return self.abandon("out of touch with the log")
        if not self.term:
            return []
        produced: dispatcher.Effects = []
        for job_id, entry in list(self.scheduled.items()):
            produced += self.add_due(job_id, entry)
        if now_ms >= self.resend_due_ms:
            self.resend_due_ms = now_ms + RESEND_MS
            produced += self.resend_ends()
        return produced

    def resend_ends(self) -> dispatcher.Effects:
        """Send the log the ends that it did not confirm."""
        again = dict(self.unconfirmed_ends)
        for endpoint in self.owner.endpoints.values():
            announcement = endpoint.announcement
            for place, end in endpoint.unacked_ends.items():
                noted = calls.RecordEnd(
                    announcement.endpoint, announcement.born_ms, end
                )
                again.setdefault(
                    (announcement.endpoint, announcement.born_ms, place), noted
                )
        return [*again.values()]

    def count_waiting(self, queue: str) -> int:
        """Return how many stored jobs of a queue have not begun."""
        begun = {
            job.job_id
            for job in self.owner.jobs.values()
            if job.is_stored and job.was_started
        }
        open_ids = {
            job.job_id
            for job in self.owner.jobs.values()
            if job.is_stored and job.terms.queue == queue
        }
        later = {
            job_id
            for job_id, entry in self.scheduled.items()
            if entry.queue == queue and not self.occurrences[job_id]
        }
        return len((open_ids | later) - begun)
