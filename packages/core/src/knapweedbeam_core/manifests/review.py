"""Reviews a manifest before it is sent, beside what makes it invalid.

Finds entries that can never have an effect, values that contradict each other, and what
differs from another version.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from knapweedbeam_core.manifests import manifest

# A job's description alone may have this size.
MIN_BODY_BYTES = 4_096
# Characters that no path of a request has, as they end it.
PATH_ENDS = frozenset("?# ")
MANIFEST = "manifest"


class Kind(enum.StrEnum):
    """What a finding means for the manifest."""

    ERROR = "error"
    NO_EFFECT = "no effect"
    CONTRADICTION = "contradiction"
    CHANGE = "change"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A finding about the entry at `place`, such as a queue by its name."""

    kind: Kind
    place: str
    detail: str


Findings = collections.abc.Iterator[Finding]


def review(
    new: manifest.Manifest, old: manifest.Manifest | None = None
) -> list[Finding]:
    """Return the findings about a manifest, and what differs from the one in force."""
    findings = [
        Finding(Kind.ERROR, MANIFEST, error.detail)
        for error in manifest.find_errors(new)
    ]
    findings += find_entries_without_effect(new)
    findings += find_contradictions(new)
    if old is not None:
        findings += find_changes(old, new)
    return findings


def find_entries_without_effect(new: manifest.Manifest) -> Findings:
    """Return the queues that no request reaches, and services that no queue uses."""
    used = {queue.terms.service for queue in new.queues}
    for service in new.services:
        if service.name not in used:
            place = f"service {service.name}"
            yield Finding(Kind.NO_EFFECT, place, "no queue sends jobs to it")
    for queue in new.queues:
        place = f"queue {queue.name}"
        if not queue.host or ":" in queue.host or queue.host != queue.host.lower():
            detail = f"host {queue.host!r}: hosts match in lower case, without a port"
            yield Finding(Kind.NO_EFFECT, place, detail)
        prefix = queue.path_prefix
        if not prefix.startswith("/") or PATH_ENDS & set(prefix):
            yield Finding(
                Kind.NO_EFFECT, place, f"no path of a request begins with {prefix!r}"
            )


def find_contradictions(new: manifest.Manifest) -> Findings:
    """Return the limits that rule out what others allow."""
    for queue in new.queues:
        yield from find_queue_contradictions(queue)
    yield from find_overlaps(new)
    standby = {service.name for service in new.services if service.is_standby}
    for queue in new.queues:
        if queue.terms.service in standby:
            detail = f"its service {queue.terms.service} is on standby: nothing runs"
            yield Finding(Kind.CONTRADICTION, f"queue {queue.name}", detail)
    for service in new.services:
        if service.connections < 1:
            place = f"service {service.name}"
            yield Finding(Kind.CONTRADICTION, place, "it allows no connection")
    bounds = new.bounds
    if bounds.body_bytes < MIN_BODY_BYTES:
        detail = f"bodies of {bounds.body_bytes} bytes hold no job of the largest kind"
        yield Finding(Kind.CONTRADICTION, "request bounds", detail)
    if bounds.header_timeout_ms <= 0 or bounds.idle_timeout_ms <= 0:
        detail = "a time-out of 0 ends each connection at once"
        yield Finding(Kind.CONTRADICTION, "request bounds", detail)


def find_queue_contradictions(queue: manifest.Queue) -> Findings:
    """Return the terms of a queue that no job can meet."""
    place = f"queue {queue.name}"
    terms = queue.terms
    if terms.max_attempts < 1:
        yield Finding(Kind.CONTRADICTION, place, "it allows no attempt of a task")
    if terms.slack_factor < 1:
        detail = f"with slack {terms.slack_factor:g} the work alone makes a job late"
        yield Finding(Kind.CONTRADICTION, place, detail)
    if 0 < queue.timeout_ms < terms.allowance_ms:
        detail = (
            f"requests end after {queue.timeout_ms} ms, "
            f"but {terms.allowance_ms} ms are allowed beside the work"
        )
        yield Finding(Kind.CONTRADICTION, place, detail)
    if terms.priority < 0:
        yield Finding(Kind.CONTRADICTION, place, "priorities begin at 0")


def find_overlaps(new: manifest.Manifest) -> Findings:
    """Return the queues that take some jobs of another one's prefix.

    The longest prefix takes a request, and a job's id follows the prefix.
    """
    for queue in new.queues:
        for other in new.queues:
            rest = other.path_prefix.removeprefix(queue.path_prefix)
            if queue.host != other.host or rest in ("", other.path_prefix):
                continue
            if len(rest) < 16 and set(rest) <= set("0123456789abcdef"):
                detail = f"jobs whose id begins with {rest} go to queue {other.name}"
                yield Finding(Kind.CONTRADICTION, f"queue {queue.name}", detail)


def find_changes(old: manifest.Manifest, new: manifest.Manifest) -> Findings:
    """Return what differs from the manifest in force."""
    if new.version <= old.version:
        detail = f"version {new.version} changes nothing: {old.version} is in force"
        yield Finding(Kind.NO_EFFECT, MANIFEST, detail)
    before, after = list_entries(old), list_entries(new)
    for place in sorted(before.keys() | after.keys()):
        if place not in after:
            yield Finding(Kind.CHANGE, place, "removed")
        elif place not in before:
            yield Finding(Kind.CHANGE, place, "added")
        else:
            for name, value in after[place].items():
                if before[place][name] != value:
                    detail = f"{name}: {before[place][name]} -> {value}"
                    yield Finding(Kind.CHANGE, place, detail)


def list_entries(of: manifest.Manifest) -> dict[str, dict[str, object]]:
    """Return the fields of each entry of a manifest."""
    entries: dict[str, dict[str, object]] = {
        "request bounds": dataclasses.asdict(of.bounds)
    }
    for queue in of.queues:
        fields = dataclasses.asdict(queue)
        fields |= fields.pop("terms")
        entries[f"queue {queue.name}"] = fields
    for service in of.services:
        entries[f"service {service.name}"] = dataclasses.asdict(service)
    return entries
