"""Sizes and digests of jobs, and the limits on the bytes that a process holds."""

from __future__ import annotations

import collections

import msgspec
import xxhash

from knapweedbeam_core import jobs, outcomes

MIB = 1024 * 1024
PROCESS_BYTES = 256 * MIB
MEMBER_BYTES = 128 * MIB
RECORD_OVERHEAD_BYTES = 768
ANSWER_OVERHEAD_BYTES = 64


class MemoryBudget:
    """Counts the bytes held in the process and per member.

    Nothing that was accepted is evicted, so the budget is checked beforehand.
    """

    def __init__(
        self, process_bytes: int = PROCESS_BYTES, member_bytes: int = MEMBER_BYTES
    ) -> None:
        self.process_bytes = process_bytes
        self.member_bytes = member_bytes
        self.used_bytes = 0
        self.used_by_member: collections.Counter[str] = collections.Counter()

    def has_space(self, member: str, size: int) -> bool:
        """Return whether `size` more bytes may be held for a member."""
        if self.used_bytes + size > self.process_bytes:
            return False
        return self.used_by_member[member] + size <= self.member_bytes

    def add(self, member: str, size: int) -> None:
        """Add `size` bytes to the usage of a member; a negative size releases them."""
        self.used_bytes += size
        self.used_by_member[member] += size
        if not self.used_by_member[member]:
            del self.used_by_member[member]


def get_outcome_bytes(outcome: outcomes.Outcome | None) -> int:
    """Return the bytes that a stored outcome occupies."""
    if not isinstance(outcome, outcomes.Complete):
        return RECORD_OVERHEAD_BYTES
    answers = sum(len(answer) + ANSWER_OVERHEAD_BYTES for answer in outcome.answers)
    return RECORD_OVERHEAD_BYTES + answers


def get_job_bytes(job: jobs.Job) -> int:
    """Return the bytes that a job occupies until it is settled."""
    return (
        RECORD_OVERHEAD_BYTES + job.size_bytes + ANSWER_OVERHEAD_BYTES * len(job.tasks)
    )


def get_submission_digest(job: jobs.Job) -> bytes:
    """Return the digest of a submission without its deadline."""
    tasks = [(t.payload, t.cpu_millis, t.memory_mib, t.run_ms) for t in job.tasks]
    body = msgspec.msgpack.encode((job.service, job.job_class, tasks))
    return bytes(xxhash.xxh3_128_digest(body))
