"""`knapweedctl config check`: a bundle or a manifest before it is sent."""

from __future__ import annotations

import importlib.metadata
import pathlib
import re
import typing

import msgspec

from knapweedbeam_core.bundles import compare, model, signing
from knapweedbeam_core.manifests import manifest, review
from knapweedbeam_ctl import exit_codes, failures, files, output

# Platforms register the reader of their manifests under this group.
READERS = "knapweedbeam.manifest_readers"
ExitCode = exit_codes.ExitCode


class Reader(typing.Protocol):
    """Reads the manifest of a platform, without checking that it is valid."""

    def __call__(self, body: bytes) -> manifest.Manifest | manifest.InvalidManifest:
        """Return the manifest, or why it cannot be read."""


class FindingContent(msgspec.Struct):
    """The JSON form of one finding; `line` is 0 if it concerns the whole file."""

    kind: str
    place: str
    line: int
    detail: str


def check(path: pathlib.Path, against: pathlib.Path | None, as_json: bool) -> ExitCode:
    """Print the findings about a file, and its differences from another version."""
    new = files.read_file(path)
    if isinstance(new, failures.BadFile):
        return output.print_failure(new, as_json)
    old = files.read_file(against) if against is not None else None
    if isinstance(old, failures.BadFile):
        return output.print_failure(old, as_json)
    findings = (
        review_manifests(new, old)
        if new.lstrip().startswith(b"{")
        else review_bundles(new, old)
    )
    if isinstance(findings, failures.BadFile):
        return output.print_failure(findings, as_json)
    print_findings(path, new, findings, as_json)
    return get_exit_code(findings)


def review_manifests(
    new: bytes, old: bytes | None
) -> list[review.Finding] | failures.BadFile:
    """Return the findings about a platform's manifest."""
    points = importlib.metadata.entry_points(group=READERS)
    if not points:
        return failures.BadFile(
            READERS, "no platform that reads manifests is installed"
        )
    read: Reader = next(iter(points)).load()
    decoded = []
    for body in (new, old):
        decoded.append(read(body) if body is not None else None)
        if isinstance(decoded[-1], manifest.InvalidManifest):
            which = "manifest" if body is new else "manifest to compare with"
            return [review.Finding(review.Kind.ERROR, which, decoded[-1].detail)]
    first, second = decoded
    assert isinstance(first, manifest.Manifest)
    assert not isinstance(second, manifest.InvalidManifest)
    return review.review(first, second)


def review_bundles(new: bytes, old: bytes | None) -> list[review.Finding]:
    """Return the findings about a bundle."""
    bundles = []
    for body in (new, old):
        if body is None:
            continue
        bundle = parse_bundle(body)
        if isinstance(bundle, tuple):
            which = "bundle" if body is new else "bundle to compare with"
            return [
                review.Finding(review.Kind.ERROR, error.field or which, error.detail)
                for error in bundle
            ]
        bundles.append(bundle)
    if len(bundles) < 2:
        return []
    return [
        review.Finding(
            review.Kind.CHANGE,
            change.whom,
            f"{change.what}: {change.old} -> {change.new}",
        )
        for change in compare.compare_bundles(bundles[1], bundles[0])
    ]


def parse_bundle(body: bytes) -> model.Bundle | tuple[model.BundleError, ...]:
    """Return the bundle in a file, or all of its errors."""
    text = body.decode(errors="replace")
    signed = signing.parse_signed(text)
    if isinstance(signed, model.BundleError):
        return (signed,)
    return model.parse_bundle(text)


def find_line(body: bytes, place: str) -> int:
    """Return the line on which an entry is named first, 0 if there is none."""
    name = place.partition(" ")[2]
    quoted = re.escape(msgspec.json.encode(name))
    found = re.search(rb'"name"\s*:\s*' + quoted, body) if name else None
    return body.count(b"\n", 0, found.start()) + 1 if found else 0


def print_findings(
    path: pathlib.Path, body: bytes, findings: list[review.Finding], as_json: bool
) -> None:
    """Print one line for each finding."""
    contents = [
        FindingContent(str(f.kind), f.place, find_line(body, f.place), f.detail)
        for f in findings
    ]
    if as_json:
        output.print_json({"findings": contents})
        return
    for content in contents:
        where = f"{path}:{content.line}" if content.line else str(path)
        print(f"{where}: {content.kind}: {content.place}: {content.detail}")
    if not contents:
        print("no findings")


def get_exit_code(findings: list[review.Finding]) -> ExitCode:
    """Return the exit status for the gravest finding."""
    kinds = {finding.kind for finding in findings}
    if review.Kind.ERROR in kinds:
        return ExitCode.INVALID
    if kinds & {review.Kind.NO_EFFECT, review.Kind.CONTRADICTION}:
        return ExitCode.DOUBTFUL
    return ExitCode.DIFFERS if kinds else ExitCode.OK
