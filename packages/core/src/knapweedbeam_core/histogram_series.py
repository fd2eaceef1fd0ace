"""Serialised histograms, one for each series, and their merging."""

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

LOWEST_VALUE = 1
HIGHEST_VALUE = clock.HOUR_MS
SIGNIFICANT_DIGITS = 2
MAX_ENCODED_CHARACTERS = 2**16
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
    """What a histogram measures; `IDEAL_RATIO` is in thousandths, the rest in ms."""

    WAIT = "wait_ms"
    RUN = "run_ms"
    RESPONSE = "response_ms"
    IDEAL_RATIO = "ideal_ratio_thousandths"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class SeriesName:
    """The key of the series that a value belongs to."""

    member: str
    job_class: str
    kind: Kind


@dataclasses.dataclass(frozen=True, slots=True)
class Percentile:
    """The value that `percent` of all values do not exceed."""

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


def build_histogram(word_bytes: int) -> typing.Any:
    """Return an empty histogram with the shared bounds."""
    return hdrh.histogram.HdrHistogram(
        LOWEST_VALUE, HIGHEST_VALUE, SIGNIFICANT_DIGITS, word_size=word_bytes
    )


def build_series(name: SeriesName, histogram: typing.Any) -> Series:
    """Return the serialised form of a histogram."""
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    percentiles = tuple(Percentile(at, values.get(at, 0)) for at in PERCENTILES)
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


def has_shared_bounds(encoded: str) -> bool:
    """Return whether an encoded histogram has the shared bounds.

    The library would allocate whatever the header requests. Raises `ValueError`,
    `zlib.error` or `struct.error` on malformed bytes.
    """
    packed = base64.b64decode(encoded, validate=True)[COOKIE_HEADER_BYTES:]
    header = zlib.decompressobj().decompress(packed, PAYLOAD_HEADER.size)
    bounds = PAYLOAD_HEADER.unpack(header)[3:6]
    return bounds == (SIGNIFICANT_DIGITS, LOWEST_VALUE, HIGHEST_VALUE)


def decode(encoded: str) -> typing.Any:
    """Return the decoded histogram, or a refusal."""
    if len(encoded) > MAX_ENCODED_CHARACTERS:
        return outcomes.Refusal(reasons.Reason.TOO_LARGE, "histogram")
    try:
        if not has_shared_bounds(encoded):
            return outcomes.Refusal(
                reasons.Reason.INVALID, "histogram with different bounds"
            )
        return hdrh.histogram.HdrHistogram.decode(encoded)
    except DECODE_ERRORS as error:
        return outcomes.Refusal(reasons.Reason.INVALID, f"histogram: {error}")


def merge(
    all_series: collections.abc.Iterable[Series],
) -> tuple[Series, ...] | outcomes.Refusal:
    """Merge the series of several processes into one for each name.

    Empty histograms are skipped, as the library's `add` takes their lowest value as 0.
    """
    merged: dict[SeriesName, typing.Any] = {}
    for series in all_series:
        histogram = decode(series.encoded)
        if isinstance(histogram, outcomes.Refusal):
            return histogram
        name = SeriesName(series.member, series.job_class, series.kind)
        earlier = merged.get(name)
        if earlier is None or not earlier.get_total_count():
            merged[name] = histogram
        elif histogram.get_total_count():
            earlier.add(histogram)
    return tuple(build_series(name, merged[name]) for name in sorted(merged))
