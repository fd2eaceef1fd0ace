"""Checks that a leaving endpoint gets no new work after a few seconds."""

from __future__ import annotations

from bench.check import breaches, history_index, reader
from knapweedbeam_server import history

GRACE_MS = 3_000


def check_leaving(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each endpoint with a start over `GRACE_MS` after leaving."""
    first_leaving: dict[tuple[str, int], reader.Record[history.Leaving]] = {}
    for record in index.merged.get(history.Leaving, history.Role.ENDPOINT):
        first_leaving.setdefault((record.process, record.incarnation), record)
    late_starts: dict[tuple[str, int], list[history_index.Started]] = {}
    for started in index.merged.get(history.Started, history.Role.ENDPOINT):
        incarnation = (started.process, started.incarnation)
        leaving = first_leaving.get(incarnation)
        if leaving is not None and started.at_ms > leaving.at_ms + GRACE_MS:
            late_starts.setdefault(incarnation, []).append(started)
    return [
        breaches.Breach(
            breaches.Promise.LEAVING,
            incarnation[0],
            f"{len(starts)} starts, the last "
            f"{starts[-1].at_ms - first_leaving[incarnation].at_ms} ms"
            " after it announced that it is leaving",
            (first_leaving[incarnation], *starts),
        )
        for incarnation, starts in late_starts.items()
    ]
