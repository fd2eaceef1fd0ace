"""Shares of a service's room among queues and failure domains.

A class is a queue and the failure domain of its callers. Its part of the room is
weighted by the work that it usually asks for: where all ask for more than usual, all
lose the same share, and where one does, it alone loses. Small classes and new ones are
entitled to a minimum. The classes that others leave room to may use it.
"""

from __future__ import annotations

import dataclasses
import math

from knapweedbeam_core import clock
from knapweedbeam_core.pool import jobs, log_events

# Work that was admitted within about this time counts against a class.
RECENT_MS = 3_000
# What a class usually asks for is the mean over about this time.
USUAL_MS = 60_000
# A class has at least this share of the mean weight.
MIN_WEIGHT = 0.25
# Classes differ by one rank where one got this many times as much of its part.
RANK_STEP = 1.5
MIN_EXCESS = 0.001
# Manifests may name hundreds of queues; the last class takes the jobs of all further.
MAX_CLASSES = 200
MAX_REPORTED_CLASSES = 20
REPORT_INTERVAL_MS = clock.SECOND_MS

# A queue, and a failure domain.
RoomClass = tuple[str, str]
OTHERS: RoomClass = ("", "")


class DecayingSum:
    """A sum whose items fade with a time constant."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self.value = 0.0
        self.updated_ms = 0

    def get(self, now_ms: int) -> float:
        """Return the sum."""
        if now_ms > self.updated_ms:
            self.value *= math.exp((self.updated_ms - now_ms) / self.span_ms)
            self.updated_ms = now_ms
        return self.value

    def add(self, amount: float, now_ms: int) -> None:
        """Add an item."""
        self.value = self.get(now_ms) + amount


@dataclasses.dataclass(slots=True)
class ClassLoad:
    """The load of one class: work in millicore-ms, and counts since the last report."""

    usual: DecayingSum = dataclasses.field(
        default_factory=lambda: DecayingSum(USUAL_MS)
    )
    admitted: DecayingSum = dataclasses.field(
        default_factory=lambda: DecayingSum(RECENT_MS)
    )
    arrived: int = 0
    started: int = 0
    refused: int = 0


class RoomShares:
    """The classes of one service."""

    def __init__(self) -> None:
        self.classes: dict[RoomClass, ClassLoad] = {}
        self.report_due_ms = 0

    def find(self, job: jobs.Job) -> RoomClass:
        """Return the class that a job counts for."""
        key = job.terms.queue, job.domain
        if key not in self.classes and len(self.classes) >= MAX_CLASSES:
            key = OTHERS
        if key not in self.classes:
            self.classes[key] = ClassLoad()
        return key

    def record_arrival(self, job: jobs.Job, now_ms: int) -> None:
        """Add the work of a job that arrived, which is admitted until it is refused."""
        load = self.classes[self.find(job)]
        load.usual.add(job.work, now_ms)
        load.admitted.add(job.work, now_ms)
        load.arrived += 1

    def record_first_start(self, job: jobs.Job) -> None:
        """Count a job whose first task was started."""
        self.classes[self.find(job)].started += 1

    def record_refusal(self, job: jobs.Job, now_ms: int) -> None:
        """Take back the work of a job that was refused."""
        load = self.classes[self.find(job)]
        faded = job.work * math.exp((job.arrived_ms - now_ms) / RECENT_MS)
        load.admitted.add(-faded, now_ms)
        load.refused += 1

    def get_parts(self, now_ms: int) -> dict[RoomClass, float]:
        """Return the part of the room that each class is entitled to."""
        usual = {key: load.usual.get(now_ms) for key, load in self.classes.items()}
        least = max(1.0, MIN_WEIGHT * sum(usual.values()) / max(1, len(usual)))
        weights = {key: max(least, value) for key, value in usual.items()}
        total = sum(weights.values())
        return {key: weight / total for key, weight in weights.items()}

    def get_excess(self, now_ms: int) -> dict[RoomClass, float]:
        """Return the admitted work of each class over its part; the least is due."""
        return {
            key: self.classes[key].admitted.get(now_ms) / part
            for key, part in self.get_parts(now_ms).items()
        }

    def get_ranks(self, now_ms: int) -> dict[RoomClass, int]:
        """Return the rank of each class: the lower, the less of its part it got.

        It is 0 for a class that got about its part of all that was admitted.
        """
        excess = self.get_excess(now_ms)
        admitted = sum(load.admitted.get(now_ms) for load in self.classes.values())
        total = max(1.0, admitted)
        return {
            key: round(math.log(max(MIN_EXCESS, value / total)) / math.log(RANK_STEP))
            for key, value in excess.items()
        }

    def build_report(
        self, service: str, now_ms: int, is_short: bool
    ) -> list[log_events.RoomShared]:
        """Return a report of each busy class once per interval, if room is short."""
        if now_ms < self.report_due_ms:
            return []
        self.report_due_ms = now_ms + REPORT_INTERVAL_MS
        reports: list[log_events.RoomShared] = []
        if is_short:
            parts = self.get_parts(now_ms)
            busiest = sorted(parts, key=lambda key: (-self.classes[key].arrived, key))
            reports = [
                self.build_class_report(service, key, parts[key])
                for key in busiest[:MAX_REPORTED_CLASSES]
            ]
        for load in self.classes.values():
            load.arrived = load.started = load.refused = 0
        return reports

    def build_class_report(
        self, service: str, key: RoomClass, part: float
    ) -> log_events.RoomShared:
        """Return the report of one class."""
        load = self.classes[key]
        queue, domain = key
        return log_events.RoomShared(
            service, queue, domain, round(100 * part), load.arrived, load.started,
            load.refused,
        )  # fmt: skip
