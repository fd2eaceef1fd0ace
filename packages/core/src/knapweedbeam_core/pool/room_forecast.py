"""Forecasts when waiting tasks can start where each has to wait for another to end."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq

from knapweedbeam_core.pool import endpoints, jobs

# A task that runs longer than expected ends after this share of its expected run time.
OVERRUN_SHARE = 0.2
# A lower speed is most probably an error of estimates, on which no refusal may rest.
MIN_SPEED = 0.5


@dataclasses.dataclass(slots=True, order=True)
class Release:
    """Processor capacity that becomes free; `cpu_millis` is 0 if it will not."""

    at_ms: float
    cpu_millis: int = dataclasses.field(compare=False)


class RoomForecast:
    """When processor capacity becomes free, in the order of time."""

    def __init__(self, now_ms: float, releases: list[Release], speed: float) -> None:
        self.at_ms = now_ms
        self.releases = releases
        self.speed = max(MIN_SPEED, speed)
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
    held: collections.abc.Iterable[endpoints.Endpoint], now_ms: int, need_millis: int
) -> list[Release]:
    """Return when the attempts that run are expected to end.

    Room that is free now counts where the smallest waiting task, of `need_millis`,
    fits: then tasks wait for faster endpoints. Smaller gaps are of use to none.
    """
    releases = []
    for endpoint in held:
        free_millis = endpoint.free.cpu_millis
        if free_millis >= need_millis and endpoint.is_available(now_ms):
            releases.append(Release(now_ms, free_millis))
        speed = max(MIN_SPEED, endpoint.speed.value)
        for attempt in endpoint.attempts.values():
            if attempt.owner is None or attempt.owner.job.is_lasting:
                continue
            run_ms = attempt.owner.spec.estimate_ms / speed
            ends_ms = max(attempt.sent_ms + run_ms, now_ms + OVERRUN_SHARE * run_ms)
            releases.append(Release(ends_ms, attempt.need.cpu_millis))
    return releases
