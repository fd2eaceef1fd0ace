"""Decides whether tasks of a job may run where this dispatcher does not see them.

A job taken over from another dispatcher may still run on endpoints that this one does
not know or cannot reach.
"""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import job_memory, jobs, predecessors

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# The other dispatcher detects the loss of the entry VM within 1.2 s and stops the job
# after `dispatcher.ORPHAN_GRACE_MS`; otherwise its leases of 1 s expire. The entry VM
# itself needs 0.35 s or more to send the job here.
TAKEOVER_MS = 1_800
# All endpoints count as known after this many announcement intervals. One is not
# enough: an announcement may be lost with its link.
MIN_ANNOUNCEMENTS = 2


class Takeover:
    """What one dispatcher knows of the dispatchers before it and their endpoints.

    Until `uncertain_until_ms` tasks of its jobs may run on endpoints of other shards.
    """

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.predecessors = predecessors.Predecessors(owner.clock)
        self.uncertain_until_ms = 0

    def holds_all_endpoints(self, service: str) -> bool:
        """Return whether every known endpoint of a service is held.

        An endpoint that cannot be reached may be held by another dispatcher, and so
        may one whose announcement has not arrived since this process started.
        """
        now_ms = self.owner.clock.now_ms()
        uptime_ms = now_ms - self.owner.started_ms
        if uptime_ms < MIN_ANNOUNCEMENTS * self.owner.bounds.announce_ms:
            return False
        if now_ms < self.uncertain_until_ms:
            return False
        return all(
            endpoint.is_held and endpoint.is_read and not endpoint.failed_polls
            for endpoint in self.owner.iterate_service(service)
        )

    def follow(self, job: jobs.Job, former: tuple[str, ...]) -> None:
        """Let a job wait for runs that other dispatchers may have started just now."""
        job.not_before_ms = self.owner.clock.now_ms() + TAKEOVER_MS
        job.former = former or predecessors.UNKNOWN

    def restore(self, job: jobs.Job, ended: job_memory.EndedJob) -> None:
        """Let a job wait for runs that this process may have left behind.

        Those of a former term end unless they are listed; those in another shard are
        not seen here.
        """
        job.not_before_ms, job.former = ended.not_before_ms, ended.former
        if not ended.last_attempt:
            return
        if ended.shard != self.owner.shard:
            self.follow(job, predecessors.UNKNOWN)
        elif ended.fence != self.owner.fence:
            job.not_before_ms = self.owner.clock.now_ms() + TAKEOVER_MS

    def may_have_ended(self, job: jobs.Job) -> bool:
        """Return whether a held endpoint may hide the end of a stored job's task.

        Its lists are full of ends that the log does not have yet.
        """
        hiding = self.owner.endpoint_index.with_hidden_ends
        if not job.is_stored or not hiding:
            return False
        for name in list(hiding):
            endpoint = self.owner.endpoints.get(name)
            if endpoint is None or endpoint.is_read or not endpoint.is_held:
                hiding.discard(name)
        return bool(hiding)

    def may_run_elsewhere(self, job: jobs.Job) -> bool:
        """Return whether tasks of a job may run on endpoints that are not held here.

        A former dispatcher may have started them. Its leases have expired once
        `not_before_ms` has passed.
        """
        if self.may_have_ended(job):
            return True
        if self.owner.clock.now_ms() >= job.not_before_ms:
            return False
        if not self.holds_all_endpoints(job.terms.service):
            return True
        former = [name for name in job.former if name != self.owner.name]
        return self.predecessors.may_miss_endpoints(former, self.owner.endpoints.keys())
