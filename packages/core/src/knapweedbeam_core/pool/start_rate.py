"""Learns how many starts a dispatcher's processor can finish, and what is beyond that.

Load: jobs arrive faster than the processor can start their tasks, while endpoints have
room. A job that waits for the processor until it is useless costs more than a refusal:
it is sent again, looked at in each placement, and makes others late.

The rate is measured, as starts answered a second, only while the processor is full: the
dispatcher is late and has held jobs back. At other times nothing is beyond it.
"""

from __future__ import annotations

import math

import xxhash

from knapweedbeam_core import clock

# The processor counts as full for this long after a late tick that held jobs back.
FULL_MS = 200
SAMPLE_MS = 100
# Weight of a sample in the running mean: a rate that changes is known after some 0.5 s.
SAMPLE_WEIGHT = 0.25
# Callers that were refused together return over this many times the backlog.
SPREAD = 3
MIN_SPREAD_MS = 2_000


class StartRate:
    """The starts a second that one dispatcher can finish.

    `per_s` is 0 until it is known; `sampled_ms` is when it was last measured.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget what was measured under a former token."""
        self.per_s = 0.0
        self.sampled_ms = 0
        self.full_until_ms = 0
        self.sample_start_ms = 0
        self.answered = 0

    def record_answer(self) -> None:
        """Count a start that was answered."""
        self.answered += 1

    def record_tick(self, now_ms: int, late_ms: int, held_back: int) -> None:
        """Record how late the last tick was and how many jobs were held back in it."""
        was_full = self.is_full(now_ms)
        if late_ms and held_back:
            self.full_until_ms = now_ms + FULL_MS
        if not was_full:
            self.sample_start_ms = now_ms
            self.answered = 0
            return
        passed_ms = now_ms - self.sample_start_ms
        if passed_ms < SAMPLE_MS:
            return
        sample = self.answered * clock.SECOND_MS / passed_ms
        is_first = not self.per_s
        self.per_s += (sample - self.per_s) * (1 if is_first else SAMPLE_WEIGHT)
        self.sampled_ms = now_ms
        self.sample_start_ms = now_ms
        self.answered = 0

    def is_full(self, now_ms: int) -> bool:
        """Return whether the processor has more to start than it can."""
        return now_ms < self.full_until_ms

    def get_wait_ms(self, tasks: int, now_ms: int) -> float:
        """Return how long it takes to start a number of tasks, 0 if it is not full."""
        if not self.is_full(now_ms) or not self.per_s:
            return 0.0
        return tasks * clock.SECOND_MS / self.per_s


def get_retry_after_ms(job_id: str, backlog_ms: float) -> int:
    """Return when a refused caller should return: after the backlog, spread by id."""
    share = xxhash.xxh32_intdigest(job_id.encode()) / 2**32
    spread_ms = max(MIN_SPREAD_MS, (SPREAD - 1) * backlog_ms)
    return math.ceil(backlog_ms + share * spread_ms)
