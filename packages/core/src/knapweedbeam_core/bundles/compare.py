"""Comparison of two bundles: what changes, and for whom."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from knapweedbeam_core.bundles import explain, model

ABSENT: typing.Final = "-"
EVERYONE: typing.Final = "everyone"
OPERATORS: typing.Final = "operators"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference; `old` or `new` is `ABSENT` if that bundle has no such entry."""

    whom: str
    what: str
    old: str
    new: str


Entries = dict[tuple[str, str], str]


def compare_bundles(old: model.Bundle, new: model.Bundle) -> tuple[Change, ...]:
    """Return the differences, sorted by whom they affect."""
    before = build_entries(old)
    after = build_entries(new)
    return tuple(
        Change(
            whom,
            what,
            before.get((whom, what), ABSENT),
            after.get((whom, what), ABSENT),
        )
        for whom, what in sorted(before.keys() | after.keys())
        if before.get((whom, what)) != after.get((whom, what))
    )


def build_entries(bundle: model.Bundle) -> Entries:
    """Return the entries of a bundle, by whom they affect and what they are."""
    entries: Entries = {
        (OPERATORS, "signatures"): str(bundle.signatures),
        (OPERATORS, "control VMs"): join(bundle.control_vms),
        (EVERYONE, "weight of response time"): str(bundle.weights.response),
        (EVERYONE, "weight of messages"): str(bundle.weights.messages),
    }
    for operator in bundle.operators:
        entries[OPERATORS, f"key of {operator.name}"] = operator.key
    for domain in bundle.failure_domains:
        what = f"failure domain {domain.name}"
        entries[EVERYONE, what] = f"share {domain.share}: {join(domain.entry_vms)}"
    for token in bundle.tokens:
        entries[f"{token.role.value}s", f"token {token.token_sha256[:12]}"] = "allowed"
    for service in bundle.services:
        for field, value in service.model_dump(exclude={"name"}).items():
            entries[f"service {service.name}", field] = str(value)
    return entries | build_member_entries(bundle)


def build_member_entries(bundle: model.Bundle) -> Entries:
    """Return the entries of a bundle that affect its members."""
    entries: Entries = {}
    for member in bundle.members:
        whom = f"member {member.name}"
        entries[whom, "standing"] = str(member.standing)
        for digest in member.token_sha256:
            entries[whom, f"token {digest[:12]}"] = "allowed"
    for line in explain.explain_limits(bundle):
        entries[f"member {line.member}", f"limit {line.limit}"] = (
            f"{line.written} = {line.exact}"
        )
    return entries


def join(names: collections.abc.Iterable[str]) -> str:
    """Return names separated by blanks."""
    return " ".join(names)
