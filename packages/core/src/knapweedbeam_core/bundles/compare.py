"""Name what a new bundle changes, and for whom."""

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
    """One difference; a side that has nothing reads `ABSENT`."""

    whom: str
    what: str
    old: str
    new: str


Facts = dict[tuple[str, str], str]


def compare_bundles(old: model.Bundle, new: model.Bundle) -> tuple[Change, ...]:
    """Return the differences, sorted by whom they touch."""
    before = build_facts(old)
    after = build_facts(new)
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


def build_facts(bundle: model.Bundle) -> Facts:
    """Return everything that a bundle states, by whom it touches and what it is."""
    facts: Facts = {
        (OPERATORS, "signatures"): str(bundle.signatures),
        (OPERATORS, "control VMs"): join(bundle.control_vms),
        (EVERYONE, "weight of response time"): str(bundle.weights.response),
        (EVERYONE, "weight of messages"): str(bundle.weights.messages),
    }
    for operator in bundle.operators:
        facts[OPERATORS, f"key of {operator.name}"] = operator.key
    for domain in bundle.failure_domains:
        what = f"failure domain {domain.name}"
        facts[EVERYONE, what] = f"share {domain.share}: {join(domain.entry_vms)}"
    for token in bundle.tokens:
        facts[f"{token.role.value}s", f"token {token.token_sha256[:12]}"] = "allowed"
    for service in bundle.services:
        for field, value in service.model_dump(exclude={"name"}).items():
            facts[f"service {service.name}", field] = str(value)
    return facts | build_member_facts(bundle)


def build_member_facts(bundle: model.Bundle) -> Facts:
    """Return what a bundle states for its members."""
    facts: Facts = {}
    for member in bundle.members:
        whom = f"member {member.name}"
        facts[whom, "standing"] = str(member.standing)
        for digest in member.token_sha256:
            facts[whom, f"token {digest[:12]}"] = "allowed"
    for line in explain.explain_limits(bundle):
        facts[f"member {line.member}", f"limit {line.limit}"] = (
            f"{line.written} = {line.exact}"
        )
    return facts


def join(names: collections.abc.Iterable[str]) -> str:
    """Return names as one text."""
    return " ".join(names)
