"""Decides when to probe an endpoint in addition to the hold that is open there.

Fault scenario: a share of calls gets no answer and is executed seconds later. A hold
that is lost hides an endpoint until its time-out, and a start that is lost blocks
resources and its task until a stop is confirmed. A probe is one small call that
resolves both.
"""

from __future__ import annotations

from knapweedbeam_core.pool import calls, endpoints

# Links take about a millisecond; pauses of a healthy process stay below this.
LATE_ANSWER_MS = 30
# A start that is not answered within this time may be lost.
LATE_START_MS = 60
# A dispatcher that is late itself connects, sends and reads in different turns of its
# loop, and its `waiting_clock` advances in each of them.
LATE_PROCESS_START_MS = 150
# Time between two probes of one endpoint, and how many may be open there.
PROBE_INTERVAL_MS = 40
MAX_OPEN_PROBES = 2


def mark_late_starts(
    endpoint: endpoints.Endpoint, now_ms: int, late_ms: int = 0
) -> bool:
    """Mark starts that were not answered in time as uncertain; return if there are any.

    Like all times here, `now_ms` is that of the dispatcher's `waiting_clock`. `late_ms`
    is how late the dispatcher is: it may not have read the answers yet.
    """
    limit_ms = LATE_PROCESS_START_MS if late_ms else LATE_START_MS
    is_any_late = False
    for attempt in endpoint.attempts.values():
        if attempt.state != endpoints.AttemptState.STARTING or not attempt.called_ms:
            continue
        if now_ms - attempt.called_ms > limit_ms:
            attempt.state = endpoints.AttemptState.UNCERTAIN
            is_any_late = True
    return is_any_late


def probe(endpoint: endpoints.Endpoint, now_ms: int, stop_ms: int) -> list[calls.Probe]:
    """Return a probe if the lists are needed before the open hold returns them."""
    is_late = now_ms > endpoint.answer_due_ms + LATE_ANSWER_MS
    if not is_late and not has_open_question(endpoint, now_ms, stop_ms):
        return []
    if now_ms < endpoint.probe_due_ms or endpoint.open_probes >= MAX_OPEN_PROBES:
        return []
    endpoint.probe_due_ms = now_ms + PROBE_INTERVAL_MS
    endpoint.open_probes += 1
    return [calls.Probe(endpoint.announcement.endpoint)]


def has_open_question(endpoint: endpoints.Endpoint, now_ms: int, stop_ms: int) -> bool:
    """Return whether new lists would resolve a start or a stop."""
    for attempt in endpoint.attempts.values():
        if attempt.stop_clock_ms:
            if now_ms - attempt.stop_sent_ms > stop_ms:
                return True
        elif attempt.state == endpoints.AttemptState.UNCERTAIN:
            return True
    return False
