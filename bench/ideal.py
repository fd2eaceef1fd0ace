"""The ideal response times of a trace with one central queue and full knowledge.

Messages take no time, work and speeds are known exactly, and slots differ in speed.
Two orders are tried, first come first served and shortest remaining work first; the
one with the lower mean response time is the ideal.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

from bench import trace


@dataclasses.dataclass(frozen=True, slots=True)
class Station:
    """An endpoint, reduced to its slots and its speed."""

    slots: int
    speed: float


Responses = dict[int, float]


def get_ideal(
    jobs: collections.abc.Sequence[trace.TraceJob],
    stations: collections.abc.Sequence[Station],
) -> Responses:
    """Return the ideal response time of each job in milliseconds, by job number."""
    if not jobs:
        return {}
    candidates = [serve_in_order(jobs, stations), serve_shortest(jobs, stations)]
    return min(candidates, key=lambda responses: sum(responses.values()))


def serve_in_order(
    jobs: collections.abc.Sequence[trace.TraceJob],
    stations: collections.abc.Sequence[Station],
) -> Responses:
    """Serve jobs in order of arrival, each task where it finishes first.

    The longest tasks of a job are placed first.
    """
    free = [[0.0] * station.slots for station in stations]
    responses = {}
    for job in sorted(jobs, key=lambda each: each.at_ms):
        end = job.at_ms
        for work in sorted(job.work_ms, reverse=True):
            index, finish = find_first_finish(free, stations, job.at_ms, work)
            heapq.heapreplace(free[index], finish)
            end = max(end, finish)
        responses[job.number] = end - job.at_ms
    return responses


def find_first_finish(
    free: list[list[float]],
    stations: collections.abc.Sequence[Station],
    at_ms: float,
    work: float,
) -> tuple[int, float]:
    """Return the index of the station where a task finishes first, and the time."""
    best, best_finish = 0, float("inf")
    for index, station in enumerate(stations):
        finish = max(free[index][0], at_ms) + work / station.speed
        if finish < best_finish:
            best, best_finish = index, finish
    return best, best_finish


@dataclasses.dataclass(slots=True)
class OpenJob:
    """A job in progress; its waiting tasks are sorted, the longest last."""

    job: trace.TraceJob
    waiting: list[float]
    running: int = 0
    end_ms: float = 0.0


class ShortestFirst:
    """Gives free slots, fastest first, to the job with the least remaining work."""

    def __init__(
        self,
        jobs: collections.abc.Sequence[trace.TraceJob],
        stations: collections.abc.Sequence[Station],
    ) -> None:
        self.arrivals = sorted(jobs, key=lambda each: each.at_ms, reverse=True)
        self.idle = [
            (-station.speed, index)
            for index, station in enumerate(stations)
            for _ in range(station.slots)
        ]
        heapq.heapify(self.idle)
        self.queue: list[tuple[float, int]] = []
        self.open_jobs: dict[int, OpenJob] = {}
        self.ends: list[tuple[float, int, float, int]] = []
        self.responses: Responses = {}

    def run(self) -> Responses:
        """Serve every job and return the response times."""
        while self.arrivals or self.ends:
            now = self.handle_next_event()
            self.start_tasks(now)
        return self.responses

    def handle_next_event(self) -> float:
        """Handle the next arrival or task end and return its time."""
        if self.ends and (
            not self.arrivals or self.ends[0][0] <= self.arrivals[-1].at_ms
        ):
            now, number, speed, index = heapq.heappop(self.ends)
            heapq.heappush(self.idle, (speed, index))
            self.end_task(number, now)
            return now
        job = self.arrivals.pop()
        waiting = sorted(job.work_ms)
        self.open_jobs[job.number] = OpenJob(job, waiting)
        heapq.heappush(self.queue, (job.total_ms, job.number))
        return job.at_ms

    def end_task(self, number: int, now: float) -> None:
        """Record the end of a task, and the job's response time if it was the last."""
        job = self.open_jobs[number]
        job.running -= 1
        if not job.running and not job.waiting:
            self.responses[number] = now - job.job.at_ms
            del self.open_jobs[number]

    def start_tasks(self, now: float) -> None:
        """Start waiting tasks while slots are idle.

        Speeds are negative here, so that the heap gives the fastest slot first.
        """
        while self.idle and self.queue:
            remaining, number = heapq.heappop(self.queue)
            job = self.open_jobs[number]
            speed, index = heapq.heappop(self.idle)
            work = job.waiting.pop()
            job.running += 1
            heapq.heappush(self.ends, (now - work / speed, number, speed, index))
            if job.waiting:
                heapq.heappush(self.queue, (remaining - work, number))


def serve_shortest(
    jobs: collections.abc.Sequence[trace.TraceJob],
    stations: collections.abc.Sequence[Station],
) -> Responses:
    """Serve the job with the least remaining work first, on the fastest free slot."""
    return ShortestFirst(jobs, stations).run()
