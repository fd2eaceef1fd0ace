"""The ideal response of a trace: one central queue that knows everything.

Messages cost nothing, work and speeds are known exactly, and slots differ in
speed. Two orders are tried, first come first served and shortest remaining work
first; the one with the lower mean response is the ideal.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

from bench import trace


@dataclasses.dataclass(frozen=True, slots=True)
class Station:
    """One endpoint as the ideal sees it."""

    slots: int
    speed: float


Responses = dict[int, float]


def get_ideal(
    jobs: collections.abc.Sequence[trace.TraceJob],
    stations: collections.abc.Sequence[Station],
) -> Responses:
    """Return the ideal response of each job in milliseconds, by its number."""
    if not jobs:
        return {}
    candidates = [serve_in_order(jobs, stations), serve_shortest(jobs, stations)]
    return min(candidates, key=lambda responses: sum(responses.values()))


def serve_in_order(
    jobs: collections.abc.Sequence[trace.TraceJob],
    stations: collections.abc.Sequence[Station],
) -> Responses:
    """Serve jobs as they come, each task where it finishes first."""
    free = [[0.0] * station.slots for station in stations]
    responses = {}
    for job in sorted(jobs, key=lambda each: each.at_ms):
        end = job.at_ms
        for work in sorted(job.work_ms, reverse=True):
            place, finish = find_first_finish(free, stations, job.at_ms, work)
            heapq.heapreplace(free[place], finish)
            end = max(end, finish)
        responses[job.number] = end - job.at_ms
    return responses


def find_first_finish(
    free: list[list[float]],
    stations: collections.abc.Sequence[Station],
    at_ms: float,
    work: float,
) -> tuple[int, float]:
    """Return the station where a task finishes first, and when."""
    best, best_finish = 0, float("inf")
    for place, station in enumerate(stations):
        finish = max(free[place][0], at_ms) + work / station.speed
        if finish < best_finish:
            best, best_finish = place, finish
    return best, best_finish


@dataclasses.dataclass(slots=True)
class Open:
    """A job in progress, its longest tasks first."""

    job: trace.TraceJob
    waiting: list[float]
    running: int = 0
    end_ms: float = 0.0


class ShortestFirst:
    """Gives each free slot, fastest first, to the job with the least work left."""

    def __init__(
        self,
        jobs: collections.abc.Sequence[trace.TraceJob],
        stations: collections.abc.Sequence[Station],
    ) -> None:
        self.arrivals = sorted(jobs, key=lambda each: each.at_ms, reverse=True)
        self.idle = [
            (-station.speed, place)
            for place, station in enumerate(stations)
            for _ in range(station.slots)
        ]
        heapq.heapify(self.idle)
        self.queue: list[tuple[float, int]] = []
        self.open: dict[int, Open] = {}
        self.ends: list[tuple[float, int, float, int]] = []
        self.responses: Responses = {}

    def run(self) -> Responses:
        """Serve every job and return the responses."""
        while self.arrivals or self.ends:
            now = self.take_event()
            self.fill(now)
        return self.responses

    def take_event(self) -> float:
        """Take the next arrival or end, and return its time."""
        if self.ends and (
            not self.arrivals or self.ends[0][0] <= self.arrivals[-1].at_ms
        ):
            now, number, speed, place = heapq.heappop(self.ends)
            heapq.heappush(self.idle, (speed, place))
            self.end_task(number, now)
            return now
        job = self.arrivals.pop()
        waiting = sorted(job.work_ms)
        self.open[job.number] = Open(job, waiting)
        heapq.heappush(self.queue, (job.total_ms, job.number))
        return job.at_ms

    def end_task(self, number: int, now: float) -> None:
        """Count the end of one task of a job."""
        job = self.open[number]
        job.running -= 1
        if not job.running and not job.waiting:
            self.responses[number] = now - job.job.at_ms
            del self.open[number]

    def fill(self, now: float) -> None:
        """Start tasks while a slot is free."""
        while self.idle and self.queue:
            left, number = heapq.heappop(self.queue)
            job = self.open[number]
            speed, place = heapq.heappop(self.idle)
            work = job.waiting.pop()
            job.running += 1
            heapq.heappush(self.ends, (now - work / speed, number, speed, place))
            if job.waiting:
                heapq.heappush(self.queue, (left - work, number))


def serve_shortest(
    jobs: collections.abc.Sequence[trace.TraceJob],
    stations: collections.abc.Sequence[Station],
) -> Responses:
    """Serve the job with the least work left first, on the fastest free slot."""
    return ShortestFirst(jobs, stations).run()
