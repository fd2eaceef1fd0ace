"""Forecasts when waiting tasks can start where each has to wait for another to end."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

from knapweedbeam_core.pool import endpoints, jobs

# A task that runs longer than expected ends after this share of its expected run time.
OVERRUN_SHARE = 0.2


@dataclasses.dataclass(slots=True, order=True)
class Release:
    """Processor capacity that becomes free; `cpu_millis` is 0 if it will not."""

    at_ms: float
    cpu_millis: int = dataclasses.field(compare=False)


class RoomForecast:
    """When processor capacity becomes free, in the order of time.

    Room that is free now counts for nothing: what waits did not fit there.
    """

    def __init__(self, now_ms: float, releases: list[Release], speed: float) -> None:
        self.at_ms = now_ms
        self.releases = releases
        self.speed = speed
        self.free_millis = 0
        self.planned: dict[str, Release] = {}
        heapq.heapify(releases)

    def plan(self, job: jobs.Job) -> float:
        """Give a job the next room, and return when its last waiting task starts."""
        need = sum(task.need.cpu_millis for task in job.waiting)
        while self.free_millis < need and self.releases:
            release = heapq.heappop(self.releases)
            self.at_ms = max(self.at_ms, release.at_ms)
            self.free_millis += release.cpu_millis
        self.free_millis -= need
        end_ms = self.at_ms + job.longest_task_ms / self.speed
        planned = Release(end_ms, need)
        self.planned[job.key] = planned
        heapq.heappush(self.releases, planned)
        return self.at_ms

    def cancel(self, job: jobs.Job) -> None:
        """Give back the room of a job that was planned."""
        planned = self.planned.pop(job.key)
        self.free_millis += planned.cpu_millis
        planned.cpu_millis = 0


def list_releases(
    held: collections.abc.Iterable[endpoints.Endpoint], now_ms: int
) -> list[Release]:
    """Return when the attempts that run are expected to end."""
    releases = []
    for endpoint in held:
        for attempt in endpoint.attempts.values():
            if attempt.owner is None or attempt.owner.job.is_lasting:
                continue
            run_ms = endpoint.speed.get_run_ms(attempt.owner.spec.estimate_ms)
            ends_ms = max(attempt.sent_ms + run_ms, now_ms + OVERRUN_SHARE * run_ms)
            releases.append(Release(ends_ms, attempt.need.cpu_millis))
    return releases
