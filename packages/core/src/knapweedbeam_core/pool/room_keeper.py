"""Finds which jobs of a service are refused for others to start in time.

It joins, for one dispatcher, what the classes of each service got with a forecast of
the service's room.
"""

from __future__ import annotations

import collections.abc

from knapweedbeam_core.pool import (
    endpoints,
    jobs,
    log_events,
    room_forecast,
    room_shortage,
)

# Returns the endpoints of a service.
Iterate = collections.abc.Callable[[str], collections.abc.Iterable[endpoints.Endpoint]]
# A job to refuse, and after how many milliseconds its caller should return.
Refusal = tuple[jobs.Job, int]


class RoomKeeper:
    """Who gets how much of the room of each service."""

    def __init__(
        self, iterate: Iterate, is_scarce: collections.abc.Callable[[str], bool]
    ) -> None:
        self.iterate = iterate
        self.is_scarce = is_scarce
        self.shortages: dict[str, room_shortage.RoomShortage] = {}

    def clear(self) -> None:
        """Forget what was asked for under a former token."""
        self.shortages.clear()

    def get(self, service: str) -> room_shortage.RoomShortage:
        """Return who gets how much of the room of a service."""
        return self.shortages.setdefault(service, room_shortage.RoomShortage())

    def find(self, service: str) -> room_shortage.RoomShortage | None:
        """Return the same where room is scarce, else None."""
        return self.get(service) if self.is_scarce(service) else None

    def record_arrival(self, job: jobs.Job) -> None:
        """Count the work of a job that arrived."""
        shares = self.get(job.terms.service).shares
        shares.record_arrival(job, job.arrived_ms)

    def build_reports(self, now_ms: int) -> list[log_events.RoomShared]:
        """Return the reports of the services that are short of room, if due."""
        return [
            report
            for service, shortage in self.shortages.items()
            for report in shortage.shares.build_report(
                service, now_ms, shortage.is_short(now_ms)
            )
        ]

    def list_held(self, service: str) -> list[endpoints.Endpoint]:
        """Return the endpoints of a service that may get tasks."""
        return [each for each in self.iterate(service) if each.is_in_service]

    def choose_refusals(
        self, service: str, waiting: list[jobs.Job], now_ms: int, best_speed: float
    ) -> list[jobs.Job]:
        """Return the jobs to refuse for the others to start in time.

        None until most endpoints are held: a successor does not know how much room
        there is.
        """
        shortage = self.get(service)
        if not waiting or now_ms < shortage.forecast_due_ms:
            return []
        held = self.list_held(service)
        if 2 * len(held) <= sum(1 for _ in self.iterate(service)):
            return []
        speed = sum(endpoint.speed.value for endpoint in held) / len(held)
        need_millis = min(job.waiting[0].need.cpu_millis for job in waiting)
        releases = room_forecast.list_releases(held, now_ms, need_millis)
        forecast = room_forecast.RoomForecast(now_ms, releases, speed)
        return shortage.choose_refusals(waiting, forecast, now_ms, best_speed)

    def build_refusals(
        self, service: str, chosen: list[jobs.Job], now_ms: int
    ) -> list[Refusal]:
        """Return chosen jobs, each with a time to return of its own."""
        if not chosen:
            return []
        shortage = self.get(service)
        room_millis = sum(
            endpoint.capacity.cpu_millis * endpoint.speed.value
            for endpoint in self.list_held(service)
        )
        return [
            (job, shortage.get_return_ms(job, now_ms, room_millis)) for job in chosen
        ]
