"""Checks that a leaving endpoint gets no new work after a few seconds."""

from __future__ import annotations

from bench.check import breaches, reader, view
from knapweedbeam_server import history

GRACE_MS = 3_000


def check_leaving(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each endpoint that got work long after it left."""
    first: dict[tuple[str, int], reader.Record[history.Leaving]] = {}
    for record in seen.merged.get(history.Leaving, history.Role.ENDPOINT):
        first.setdefault((record.process, record.incarnation), record)
    late: dict[tuple[str, int], list[view.Started]] = {}
    for started in seen.merged.get(history.Started, history.Role.ENDPOINT):
        run = (started.process, started.incarnation)
        left = first.get(run)
        if left is not None and started.at_ms > left.at_ms + GRACE_MS:
            late.setdefault(run, []).append(started)
    return [
        breaches.Breach(
            breaches.Promise.LEAVING,
            run[0],
            f"{len(starts)} starts, the last {starts[-1].at_ms - first[run].at_ms} ms"
            " after it said that it leaves",
            (first[run], *starts),
        )
        for run, starts in late.items()
    ]
