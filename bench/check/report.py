"""Runs all checks over a folder of histories."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import pathlib

from bench import events
from bench.check import (
    answers,
    breaches,
    bundles,
    history_index,
    leaving,
    limits,
    reader,
    starts,
    stops,
)
from knapweedbeam_server import history

Check = collections.abc.Callable[[history_index.HistoryIndex], list[breaches.Breach]]
CHECKS: tuple[Check, ...] = (
    starts.check_single_starts,
    answers.check_complete,
    answers.check_ownership,
    starts.check_not_run,
    starts.check_at_most_once,
    leaving.check_leaving,
    stops.check_stops,
    bundles.check_bundles,
    limits.check_limits,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The breaches that the checks found, and how much they covered.

    `torn` counts incomplete lines, and `over_slots` the times at which an endpoint ran
    more tasks than it has slots.
    """

    found: tuple[breaches.Breach, ...]
    records: int
    torn: int
    tasks_started: int
    over_slots: int

    def count(self, promise: breaches.Promise) -> int:
        """Return the number of breaches of one promise."""
        return sum(breach.promise == promise for breach in self.found)

    def get_counts(self) -> dict[str, int]:
        """Return the number of breaches of each promise, zeros included."""
        return {
            promise.name.lower(): self.count(promise) for promise in breaches.Promise
        }


def check_folder(folder: pathlib.Path) -> Report:
    """Check the histories of a folder."""
    return check_history(reader.read_history(folder))


def check_history(merged: reader.History) -> Report:
    """Check a merged history."""
    index = history_index.HistoryIndex(merged)
    found = [breach for check in CHECKS for breach in check(index)]
    return Report(
        tuple(found),
        len(merged.records),
        merged.torn,
        len(merged.get(history.Started, history.Role.ENDPOINT)),
        len(merged.get(events.OverSlots)),
    )
