"""Which endpoints are bad: those that fail across jobs.

A failure counts against its endpoint as far as tasks of the same class do well
elsewhere: a job that fails at every endpoint says nothing about any of them.
Of one job one failure counts at an endpoint. After the first failure an endpoint
gets one task at a time, after the second none but trials. The endpoint's keeper
grants those, one at a time over all entry VMs, after growing pauses.
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
    """How often tasks of a class fail, and at how many endpoints lately."""

    rate: service_times.MovingAverage
    endpoints: dict[str, bool]


@dataclasses.dataclass(slots=True, eq=False)
class EndpointHealth:
    """One run of an endpoint: its state, evidence and pauses."""

    endpoint: str
    incarnation: int
    state: str = CHART.start
    score: float = 0.0
    fail_rate: float = 0.0
    last_failed_job: str = ""
    is_reported: bool = False

    def apply_event(self, event: str) -> bool:
        """Move by an event; false when it changes nothing."""
        before = self.state
        self.state = CHART.advance(before, event)
        return self.state != before


class HealthTracker:
    """Judges endpoints by the ends of tasks."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointHealth] = {}
        self.classes: dict[tuple[str, str, str], ClassFailures] = {}
        self.ejected: dict[str, set[str]] = {}

    def get(self, endpoint: str, incarnation: int) -> EndpointHealth:
        """Return an endpoint's health; a new run starts healthy."""
        known = self.endpoints.get(endpoint)
        if known is None or known.incarnation < incarnation:
            if len(self.endpoints) >= MAX_ENDPOINTS:
                del self.endpoints[next(iter(self.endpoints))]
            known = EndpointHealth(endpoint, incarnation)
            self.endpoints[endpoint] = known
        return known

    def get_class_failures(self, key: tuple[str, str, str]) -> ClassFailures:
        """Return how a class fares; the oldest class gives way."""
        failures = self.classes.get(key)
        if failures is None:
            if len(self.classes) >= MAX_CLASSES:
                del self.classes[next(iter(self.classes))]
            failures = ClassFailures(service_times.MovingAverage(0.0), {})
            self.classes[key] = failures
        return failures

    def record_success(self, known: EndpointHealth, key: tuple[str, str, str]) -> bool:
        """Take a task that answered; true when the endpoint's state changed."""
        failures = self.classes.get(key)
        if failures is not None:
            failures.rate.add(0.0, CLASS_GAIN)
            failures.endpoints.pop(known.endpoint, None)
        if known.state == HEALTHY and not known.score:
            return False
        known.score *= SUCCESS_FACTOR
        known.fail_rate *= 1.0 - FAIL_GAIN
        if known.score < MIN_SCORE:
            known.score = 0.0
        return known.apply_event("good")

    def record_failure(
        self, known: EndpointHealth, key: tuple[str, str, str], job: str, count: int
    ) -> bool:
        """Take a task that failed; true when the endpoint's state changed.

        `count` is how many endpoints the service has.
        """
        if known.last_failed_job == job and known.state != TRIAL:
            return False
        known.last_failed_job = job
        weight = self.weigh_failure(known.endpoint, key)
        known.score += weight
        known.fail_rate += (1.0 - known.fail_rate) * FAIL_GAIN * weight
        if known.score < SUSPECT_SCORE and known.state != TRIAL:
            return False
        if known.score < EJECT_SCORE and known.state != TRIAL:
            return known.apply_event("fail")
        ejected = self.ejected.setdefault(key[0], set())
        if not self.may_eject(ejected, known.endpoint, count):
            return known.apply_event("fail")
        ejected.add(known.endpoint)
        return known.apply_event("fail_again")

    def weigh_failure(self, endpoint: str, key: tuple[str, str, str]) -> float:
        """Return how much a failure says about its endpoint."""
        failures = self.get_class_failures(key)
        elsewhere = len(failures.endpoints) - (endpoint in failures.endpoints)
        rate = failures.rate.value if failures.rate.count >= MIN_CLASS_SAMPLES else 0.0
        failures.rate.add(1.0, CLASS_GAIN)
        failures.endpoints[endpoint] = True
        if len(failures.endpoints) > MAX_CLASS_ENDPOINTS:
            del failures.endpoints[next(iter(failures.endpoints))]
        return (1.0 - rate) / (1 + elsewhere)

    def may_eject(self, ejected: set[str], endpoint: str, count: int) -> bool:
        """Say whether the share of ejected endpoints allows one more."""
        return endpoint in ejected or len(ejected) + 1 <= count * MAX_EJECTED_SHARE

    def apply_keeper_state(
        self, known: EndpointHealth, service: str, trial: bool
    ) -> bool:
        """Take what the keeper says; true when the endpoint's state changed."""
        changed = known.apply_event("trial_granted" if trial else "cleared")
        if changed:
            self.ejected.setdefault(service, set()).discard(known.endpoint)
        return changed


TASK_LIMITS = {HEALTHY: 1 << 60, SUSPECT: 1, EJECTED: 0, TRIAL: 1}
MESSAGE_VALUES = {
    HEALTHY: messages.Health.HEALTHY,
    SUSPECT: messages.Health.SUSPECT,
    EJECTED: messages.Health.EJECTED,
    TRIAL: messages.Health.TRIAL,
}
