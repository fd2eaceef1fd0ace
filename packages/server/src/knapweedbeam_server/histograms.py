"""Histograms for each member and class: wait, run, response, response to ideal."""

from __future__ import annotations

import base64
import collections.abc
import dataclasses
import enum
import struct
import typing
import zlib

import hdrh.codec
import hdrh.histogram

from knapweedbeam_core import clock, outcomes, reasons

LOWEST = 1
HIGHEST = clock.HOUR_MS
SIGNIFICANT_DIGITS = 2
RECORDED_WORD_BYTES = 4
MERGED_WORD_BYTES = 8
SERIES_LIMIT = 2_048
CLASSES_PER_MEMBER = 16
OTHER_CLASSES = "(other)"
ENCODED_LIMIT_CHARACTERS = 2**16
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
COOKIE_HEADER_BYTES = 8
PAYLOAD_HEADER = struct.Struct(">IIIIQQd")
DECODE_ERRORS = (
    hdrh.codec.HdrCookieException,
    hdrh.codec.HdrLengthException,
    hdrh.codec.HdrHistogramSettingsException,
    ValueError,
    RuntimeError,
    ArithmeticError,
    IndexError,
    MemoryError,
    OverflowError,
    TypeError,
    struct.error,
    zlib.error,
)


class Kind(enum.StrEnum):
    """What a histogram counts; `IDEAL_RATIO` is in thousandths, the others in ms."""

    WAIT = "wait_ms"
    RUN = "run_ms"
    RESPONSE = "response_ms"
    IDEAL_RATIO = "ideal_ratio_thousandths"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Name:
    """Which series a value belongs to."""

    member: str
    job_class: str
    kind: Kind


@dataclasses.dataclass(frozen=True, slots=True)
class Percentile:
    """The value that `percent` of all values do not pass."""

    percent: float
    value: int


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """One histogram; `encoded` is HdrHistogram's compressed form in base64."""

    member: str
    job_class: str
    kind: Kind
    count: int
    lowest: int
    highest: int
    percentiles: tuple[Percentile, ...]
    encoded: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The body of `GET /v1/histograms`."""

    series: tuple[Series, ...]


def build_histogram(word_bytes: int) -> typing.Any:
    """Return an empty histogram with the bounds that all of them share."""
    return hdrh.histogram.HdrHistogram(
        LOWEST, HIGHEST, SIGNIFICANT_DIGITS, word_size=word_bytes
    )


def build_series(name: Name, histogram: typing.Any) -> Series:
    """Return the form of one histogram that goes to readers."""
    found = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    percentiles = tuple(Percentile(at, found[at]) for at in PERCENTILES)
    return Series(
        name.member,
        name.job_class,
        name.kind,
        histogram.get_total_count(),
        histogram.get_min_value(),
        histogram.get_max_value(),
        percentiles,
        histogram.encode().decode("ascii"),
    )


class Histograms:
    """All histograms of a process, at most `SERIES_LIMIT` of them."""

    def __init__(self) -> None:
        self.members: dict[str, dict[str, dict[Kind, typing.Any]]] = {}
        self.size = 0

    def record(self, member: str, job_class: str, kind: Kind, value: int) -> None:
        """Count one value; classes beyond a member's limit share one series."""
        histogram = self.find(member, job_class, kind)
        if histogram is not None:
            histogram.record_value(min(max(value, LOWEST), HIGHEST))

    def find(self, member: str, job_class: str, kind: Kind) -> typing.Any:
        """Return the histogram to record in, or none at the limit of series."""
        classes = self.members.get(member)
        if classes is None:
            classes = self.members[member] = {}
        if job_class not in classes and len(classes) >= CLASSES_PER_MEMBER:
            job_class = OTHER_CLASSES
        kinds = classes.setdefault(job_class, {})
        histogram = kinds.get(kind)
        if histogram is None and self.size < SERIES_LIMIT:
            histogram = kinds[kind] = build_histogram(RECORDED_WORD_BYTES)
            self.size += 1
        return histogram

    def drop_members(self, keep: collections.abc.Container[str]) -> None:
        """Forget the members that a newer bundle does not have."""
        for member in [name for name in self.members if name not in keep]:
            classes = self.members.pop(member)
            self.size -= sum(len(kinds) for kinds in classes.values())

    def get_member(self, member: str) -> tuple[Series, ...]:
        """Return the series of one member."""
        return tuple(
            build_series(Name(member, job_class, kind), histogram)
            for job_class, kinds in sorted(self.members.get(member, {}).items())
            for kind, histogram in sorted(kinds.items())
        )

    def get_members(self) -> tuple[str, ...]:
        """Return the members that have series, for readers that go one by one."""
        return tuple(sorted(self.members))

    def get_all(self) -> tuple[Series, ...]:
        """Return the series of all members, for operators only."""
        return tuple(
            series
            for member in self.get_members()
            for series in self.get_member(member)
        )


def has_shared_bounds(encoded: str) -> bool:
    """Say whether a compressed form has the bounds that all of them share.

    The library would allocate whatever the header asks for. Raises `ValueError`,
    `zlib.error` or `struct.error` on other bytes.
    """
    packed = base64.b64decode(encoded, validate=True)[COOKIE_HEADER_BYTES:]
    header = zlib.decompressobj().decompress(packed, PAYLOAD_HEADER.size)
    bounds = PAYLOAD_HEADER.unpack(header)[3:6]
    return bounds == (SIGNIFICANT_DIGITS, LOWEST, HIGHEST)


def decode(encoded: str) -> typing.Any:
    """Return the histogram that a compressed form holds, or a refusal."""
    if len(encoded) > ENCODED_LIMIT_CHARACTERS:
        return outcomes.Refusal(reasons.Reason.TOO_LARGE, "histogram")
    try:
        if not has_shared_bounds(encoded):
            return outcomes.Refusal(reasons.Reason.INVALID, "histogram of other bounds")
        return hdrh.histogram.HdrHistogram.decode(encoded)
    except DECODE_ERRORS as error:
        return outcomes.Refusal(reasons.Reason.INVALID, f"histogram: {error}")


def merge(
    forms: collections.abc.Iterable[Series],
) -> tuple[Series, ...] | outcomes.Refusal:
    """Return one series for each name over several processes' series."""
    merged: dict[Name, typing.Any] = {}
    for form in forms:
        histogram = decode(form.encoded)
        if isinstance(histogram, outcomes.Refusal):
            return histogram
        name = Name(form.member, form.job_class, form.kind)
        if name not in merged:
            merged[name] = build_histogram(MERGED_WORD_BYTES)
        merged[name].add(histogram)
    return tuple(build_series(name, merged[name]) for name in sorted(merged))
