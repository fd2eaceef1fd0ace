"""Orders and refuses jobs where a service is asked for more than fits.

Load: for seconds at a time 1.2 to 2.2 times the work that the endpoints can do, of
several queues and failure domains, where an endpoint holds one or two tasks. Priority
alone lets the last queue starve and lets one queue or domain that floods take the
others' room; jobs wait for room that never comes and are refused late.

A service is short of room for a while after a waiting job could not start in time with
the work that goes before it. Then, for each such job, the newest job of the class that
is furthest above its part is refused. Jobs that were started go before others, even
late: they earn nothing until their last task ends. Then classes that got less of their
part go first; within about equal classes priority decides, and then slack.
"""

from __future__ import annotations

import collections.abc
import heapq
import math
import zlib

from knapweedbeam_core.pool import jobs, queueing, room_forecast, room_shares

# A service counts as short of room for this long after a job was found to be too late.
SHORT_MS = 1_000
# A forecast looks at all attempts, so that frequent ones would take the processor.
FORECAST_INTERVAL_MS = 10

# Before the ranks of all classes.
FIRST_RANK = -1_000

Newest = dict[room_shares.RoomClass, list[tuple[int, int, jobs.Job]]]


class RoomShortage:
    """Who gets how much of the room of one service."""

    def __init__(self) -> None:
        self.shares = room_shares.RoomShares()
        self.short_until_ms = 0
        self.forecast_due_ms = 0
        self.return_due_ms: dict[room_shares.RoomClass, float] = {}

    def is_short(self, now_ms: int) -> bool:
        """Return whether more was asked for than fits, just now."""
        return now_ms < self.short_until_ms

    def sort_jobs(
        self,
        waiting: collections.abc.Iterable[jobs.Job],
        now_ms: int,
        best_speed: float,
    ) -> list[jobs.Job]:
        """Return the jobs in the order in which their tasks are placed."""
        ordered = queueing.sort_jobs(waiting, now_ms, best_speed)
        if not self.is_short(now_ms):
            return ordered

        ranks = self.shares.get_ranks(now_ms)

        def get_key(job: jobs.Job) -> tuple[int, int, int, int]:
            feasibility = queueing.get_feasibility(job, now_ms, best_speed)
            latest_start_ms = job.due_ms - job.longest_task_ms
            if feasibility == queueing.Feasibility.IN_TIME:
                if job.was_started:
                    return 1, FIRST_RANK, 0, latest_start_ms
                rank = ranks[self.shares.find(job)]
                return 1, rank, job.terms.priority, latest_start_ms
            if feasibility == queueing.Feasibility.LATE and job.was_started:
                return 0, 0, 0, latest_start_ms
            return 2 + feasibility, int(not job.was_started), 0, job.longest_task_ms

        return sorted(ordered, key=get_key)

    def choose_refusals(
        self,
        ordered: collections.abc.Iterable[jobs.Job],
        forecast: room_forecast.RoomForecast,
        now_ms: int,
        best_speed: float,
    ) -> list[jobs.Job]:
        """Return the jobs to refuse for the others to start in time.

        `ordered` are the waiting jobs in the order of their placement.
        """
        self.forecast_due_ms = now_ms + FORECAST_INTERVAL_MS
        best_speed = max(room_forecast.MIN_SPEED, best_speed)
        chosen: list[jobs.Job] = []
        newest: Newest = {}
        for number, job in enumerate(ordered):
            latest_start_ms = get_latest_start_ms(job, now_ms, best_speed)
            start_ms = forecast.plan(job)
            if now_ms > latest_start_ms:
                if is_refusable(job) and is_useless(job, start_ms, best_speed):
                    forecast.cancel(job)
                    self.shares.record_refusal(job, now_ms)
                    chosen.append(job)
                continue
            if is_refusable(job):
                entry = -job.born_ms, number, job
                heapq.heappush(newest.setdefault(self.shares.find(job), []), entry)
            if start_ms <= latest_start_ms:
                continue
            self.short_until_ms = now_ms + SHORT_MS
            victim = self.pop_victim(newest, now_ms)
            if victim is not None:
                forecast.cancel(victim)
                chosen.append(victim)
        return chosen

    def pop_victim(self, newest: Newest, now_ms: int) -> jobs.Job | None:
        """Take the newest job of the class that is furthest above its part.

        None if all of these are clearly below: they rather end late.
        """
        excess = self.shares.get_excess(now_ms)
        ranks = self.shares.get_ranks(now_ms)
        candidates = [key for key in newest if ranks[key] >= 0]
        if not candidates:
            return None
        key = max(candidates, key=lambda each: (excess[each], each))
        _, _, victim = heapq.heappop(newest[key])
        if not newest[key]:
            del newest[key]
        self.shares.record_refusal(victim, now_ms)
        return victim

    def get_return_ms(self, job: jobs.Job, now_ms: int, room_millis: float) -> int:
        """Return after how long the caller of a refused job should return.

        The callers of a class return in the order in which they were refused, at the
        pace at which its part of the room can serve them; those for whom that takes
        too long are spread over the last half of the longest time.
        `room_millis` is the processor capacity of the service.
        """
        key = self.shares.find(job)
        part = self.shares.get_parts(now_ms)[key]
        earliest_ms = float(now_ms + queueing.MIN_RETRY_AFTER_MS)
        return_ms = max(earliest_ms, self.return_due_ms.get(key, 0.0))
        wait_ms = int(return_ms) - now_ms
        if wait_ms <= queueing.MAX_RETRY_AFTER_MS:
            run_ms = job.work / max(1.0, part * room_millis)
            self.return_due_ms[key] = return_ms + run_ms
            return wait_ms
        half_ms = queueing.MAX_RETRY_AFTER_MS // 2
        return half_ms + zlib.crc32(job.job_id.encode()) % (half_ms + 1)


def is_refusable(job: jobs.Job) -> bool:
    """Return whether a job may be refused as not run."""
    return not job.was_started and not job.is_stored and not job.is_lasting


def get_latest_start_ms(job: jobs.Job, now_ms: int, best_speed: float) -> float:
    """Return when a job has to start to be in time; lasting jobs always are."""
    if job.is_lasting:
        return math.inf
    return job.due_ms - job.longest_task_ms / best_speed - queueing.TRANSIT_MS


def is_useless(job: jobs.Job, start_ms: float, best_speed: float) -> bool:
    """Return whether a job that starts then ends when its answer has no value."""
    ends_ms = start_ms + job.longest_task_ms / best_speed
    return ends_ms > min(job.give_up_ms, job.value_until_ms)
