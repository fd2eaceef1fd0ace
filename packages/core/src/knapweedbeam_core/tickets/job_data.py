"""How many bytes of jobs and answers a process holds, by member."""

from __future__ import annotations

import collections

import msgspec
import xxhash

from knapweedbeam_core import jobs, outcomes

MIB = 1024 * 1024
PROCESS_BYTES = 256 * MIB
MEMBER_BYTES = 128 * MIB
RECORD_BYTES = 768
ANSWER_BYTES = 64


class MemoryBudget:
    """Counts held bytes; what was taken is never cut, so room is asked first."""

    def __init__(
        self, process_bytes: int = PROCESS_BYTES, member_bytes: int = MEMBER_BYTES
    ) -> None:
        self.process_bytes = process_bytes
        self.member_bytes = member_bytes
        self.held = 0
        self.held_by: collections.Counter[str] = collections.Counter()

    def has_space(self, member: str, size: int) -> bool:
        """Say whether `size` more bytes may be taken for a member."""
        if self.held + size > self.process_bytes:
            return False
        return self.held_by[member] + size <= self.member_bytes

    def add(self, member: str, size: int) -> None:
        """Count bytes that are held from now on, or no longer when negative."""
        self.held += size
        self.held_by[member] += size
        if not self.held_by[member]:
            del self.held_by[member]


def get_outcome_bytes(outcome: outcomes.Outcome | None) -> int:
    """Return the bytes that a kept outcome takes."""
    if not isinstance(outcome, outcomes.Complete):
        return RECORD_BYTES
    answers = sum(len(answer) + ANSWER_BYTES for answer in outcome.answers)
    return RECORD_BYTES + answers


def get_job_bytes(job: jobs.Job) -> int:
    """Return the bytes that a job takes until it is settled."""
    return RECORD_BYTES + job.size_bytes + ANSWER_BYTES * len(job.tasks)


def get_submission_digest(job: jobs.Job) -> bytes:
    """Return the digest of what the caller submitted, its deadline aside."""
    tasks = [(t.payload, t.cpu_millis, t.memory_mib, t.run_ms) for t in job.tasks]
    body = msgspec.msgpack.encode((job.service, job.job_class, tasks))
    return bytes(xxhash.xxh3_128_digest(body))
