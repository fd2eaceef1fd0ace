"""Histograms of wait, run and response times for each member and job class.

A fourth kind holds the ratio of the response time to the ideal one.
"""

from __future__ import annotations

import collections.abc
import typing

from knapweedbeam_core import histogram_series

RECORDED_WORD_BYTES = 4
SERIES_LIMIT = 2_048
CLASSES_PER_MEMBER = 16
OTHER_CLASSES = "(other)"

Kind = histogram_series.Kind
Series = histogram_series.Series


class Histograms:
    """All histograms of a process, at most `SERIES_LIMIT` of them."""

    def __init__(self) -> None:
        self.members: dict[str, dict[str, dict[Kind, typing.Any]]] = {}
        self.size = 0

    def record(self, member: str, job_class: str, kind: Kind, value: int) -> None:
        """Record one value; classes beyond `CLASSES_PER_MEMBER` share one series.

        Values out of range are clamped to its ends.
        """
        histogram = self.get_or_create(member, job_class, kind)
        if histogram is not None:
            histogram.record_value(
                min(
                    max(value, histogram_series.LOWEST_VALUE),
                    histogram_series.HIGHEST_VALUE,
                )
            )

    def get_or_create(self, member: str, job_class: str, kind: Kind) -> typing.Any:
        """Return the histogram of a series, or None if `SERIES_LIMIT` is reached."""
        classes = self.members.get(member)
        if classes is None:
            classes = self.members[member] = {}
        if job_class not in classes and len(classes) >= CLASSES_PER_MEMBER:
            job_class = OTHER_CLASSES
        kinds = classes.setdefault(job_class, {})
        histogram = kinds.get(kind)
        if histogram is None and self.size < SERIES_LIMIT:
            histogram = kinds[kind] = histogram_series.build_histogram(
                RECORDED_WORD_BYTES
            )
            self.size += 1
        return histogram

    def drop_members(self, keep: collections.abc.Container[str]) -> None:
        """Remove all members that are not in `keep`, the members of a newer bundle."""
        for member in [name for name in self.members if name not in keep]:
            classes = self.members.pop(member)
            self.size -= sum(len(kinds) for kinds in classes.values())

    def get_member(self, member: str) -> tuple[Series, ...]:
        """Return the series of one member."""
        return tuple(
            histogram_series.build_series(
                histogram_series.SeriesName(member, job_class, kind), histogram
            )
            for job_class, kinds in sorted(self.members.get(member, {}).items())
            for kind, histogram in sorted(kinds.items())
        )

    def get_members(self) -> tuple[str, ...]:
        """Return the members that have series, sorted, to read them one at a time."""
        return tuple(sorted(self.members))

    def get_all(self) -> tuple[Series, ...]:
        """Return the series of all members, for operators only."""
        return tuple(
            series
            for member in self.get_members()
            for series in self.get_member(member)
        )
