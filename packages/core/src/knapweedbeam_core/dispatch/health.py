"""Detection of failing endpoints from the ends of tasks.

A failure counts against its endpoint to the degree that tasks of the same class
succeed elsewhere: a job that fails at every endpoint is no evidence against any
of them. Each job counts at most one failure per endpoint. After the first
failure an endpoint gets one task at a time, after the second only trials. The
endpoint's keeper grants trials one at a time over all entry VMs, with growing
pauses between them.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.charts import chart
from knapweedbeam_core.dispatch import service_times
from knapweedbeam_core.slots import messages

CHART = chart.load_chart("knapweedbeam_core.dispatch", "endpoint_health.toml")
HEALTHY = "healthy"
SUSPECT = "suspect"
EJECTED = "ejected"
TRIAL = "trial"

EJECT_SCORE = 1.6
SUSPECT_SCORE = 0.6
SUCCESS_FACTOR = 0.5
MIN_SCORE = 0.01
MAX_CLASS_ENDPOINTS = 16
MAX_EJECTED_SHARE = 0.5
CLASS_GAIN = 0.1
MAX_CLASSES = 4_096
MAX_ENDPOINTS = 16_384
FAIL_GAIN = 0.05
MIN_CLASS_SAMPLES = 3


@dataclasses.dataclass(slots=True)
class ClassFailures:
    """The failure rate of a class, and the endpoints where it failed lately."""

    rate: service_times.MovingAverage
    endpoints: dict[str, bool]


@dataclasses.dataclass(slots=True, eq=False)
class EndpointHealth:
    """The health state of one incarnation of an endpoint, and its evidence.

    `is_reported` says that the keeper knows of a state other than healthy.
    """

    endpoint: str
    incarnation: int
    state: str = CHART.start
    score: float = 0.0
    fail_rate: float = 0.0
    last_failed_job: str = ""
    is_reported: bool = False

    def apply_event(self, event: str) -> bool:
        """Apply a chart event; return False if the state stays the same."""
        before = self.state
        self.state = CHART.get_next_state(before, event)
        return self.state != before


class HealthTracker:
    """Tracks the health of endpoints by the ends of tasks."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointHealth] = {}
        self.classes: dict[tuple[str, str, str], ClassFailures] = {}
        self.ejected: dict[str, set[str]] = {}

    def get(self, endpoint: str, incarnation: int) -> EndpointHealth:
        """Return an endpoint's health; a new incarnation starts healthy.

        The oldest entry is evicted if there are `MAX_ENDPOINTS`.
        """
        endpoint_health = self.endpoints.get(endpoint)
        if endpoint_health is None or endpoint_health.incarnation < incarnation:
            if len(self.endpoints) >= MAX_ENDPOINTS:
                del self.endpoints[next(iter(self.endpoints))]
            endpoint_health = EndpointHealth(endpoint, incarnation)
            self.endpoints[endpoint] = endpoint_health
        return endpoint_health

    def get_class_failures(self, key: tuple[str, str, str]) -> ClassFailures:
        """Return the failures of a class, evicting the oldest class if full."""
        failures = self.classes.get(key)
        if failures is None:
            if len(self.classes) >= MAX_CLASSES:
                del self.classes[next(iter(self.classes))]
            failures = ClassFailures(service_times.MovingAverage(0.0), {})
            self.classes[key] = failures
        return failures

    def record_success(
        self, endpoint_health: EndpointHealth, key: tuple[str, str, str]
    ) -> bool:
        """Record a success; return whether the endpoint's state changed."""
        failures = self.classes.get(key)
        if failures is not None:
            failures.rate.add(0.0, CLASS_GAIN)
            failures.endpoints.pop(endpoint_health.endpoint, None)
        if endpoint_health.state == HEALTHY and not endpoint_health.score:
            return False
        endpoint_health.score *= SUCCESS_FACTOR
        endpoint_health.fail_rate *= 1.0 - FAIL_GAIN
        if endpoint_health.score < MIN_SCORE:
            endpoint_health.score = 0.0
        return endpoint_health.apply_event("good")

    def record_failure(
        self,
        endpoint_health: EndpointHealth,
        key: tuple[str, str, str],
        job: str,
        count: int,
    ) -> bool:
        """Record a failure; return whether the endpoint's state changed.

        `count` is the number of endpoints of the service.
        """
        if endpoint_health.last_failed_job == job and endpoint_health.state != TRIAL:
            return False
        endpoint_health.last_failed_job = job
        weight = self.weigh_failure(endpoint_health.endpoint, key)
        endpoint_health.score += weight
        endpoint_health.fail_rate += (
            (1.0 - endpoint_health.fail_rate) * FAIL_GAIN * weight
        )
        if endpoint_health.score < SUSPECT_SCORE and endpoint_health.state != TRIAL:
            return False
        if endpoint_health.score < EJECT_SCORE and endpoint_health.state != TRIAL:
            return endpoint_health.apply_event("fail")
        ejected = self.ejected.setdefault(key[0], set())
        if not self.may_eject(ejected, endpoint_health.endpoint, count):
            return endpoint_health.apply_event("fail")
        ejected.add(endpoint_health.endpoint)
        return endpoint_health.apply_event("fail_again")

    def weigh_failure(self, endpoint: str, key: tuple[str, str, str]) -> float:
        """Record a failure of a class and return its weight as evidence.

        The weight is between 0 and 1. It falls with the failure rate of the class
        and with the number of other endpoints where it failed.
        """
        failures = self.get_class_failures(key)
        elsewhere = len(failures.endpoints) - (endpoint in failures.endpoints)
        rate = failures.rate.value if failures.rate.count >= MIN_CLASS_SAMPLES else 0.0
        failures.rate.add(1.0, CLASS_GAIN)
        failures.endpoints[endpoint] = True
        if len(failures.endpoints) > MAX_CLASS_ENDPOINTS:
            del failures.endpoints[next(iter(failures.endpoints))]
        return (1.0 - rate) / (1 + elsewhere)

    def may_eject(self, ejected: set[str], endpoint: str, count: int) -> bool:
        """Return whether the share of ejected endpoints allows one more."""
        return endpoint in ejected or len(ejected) + 1 <= count * MAX_EJECTED_SHARE

    def apply_keeper_state(
        self, endpoint_health: EndpointHealth, service: str, trial: bool
    ) -> bool:
        """Apply the keeper's decision; return whether the endpoint's state changed."""
        changed = endpoint_health.apply_event("trial_granted" if trial else "cleared")
        if changed:
            self.ejected.setdefault(service, set()).discard(endpoint_health.endpoint)
        return changed


TASK_LIMITS = {HEALTHY: 1 << 60, SUSPECT: 1, EJECTED: 0, TRIAL: 1}
MESSAGE_VALUES = {
    HEALTHY: messages.Health.HEALTHY,
    SUSPECT: messages.Health.SUSPECT,
    EJECTED: messages.Health.EJECTED,
    TRIAL: messages.Health.TRIAL,
}
