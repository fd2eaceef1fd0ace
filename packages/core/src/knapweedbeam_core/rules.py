"""The rules in force at a node, as compiled from the accepted bundle."""

from __future__ import annotations

import dataclasses
import enum


class Role(enum.StrEnum):
    """What the bearer of a token may do."""

    CALLER = "caller"
    ENDPOINT = "endpoint"
    PLATFORM = "platform"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRules:
    """How jobs of one service are treated; sizes are defaults for a task."""

    name: str
    repeatable: bool = False
    deadline_ms: int = 30_000
    retention_ms: int = 900_000
    cpu_millis: int = 0
    memory_mib: int = 0
    run_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRules:
    """One member; `standing` is its weight beside the other members."""

    name: str
    standing: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Bearer:
    """Who holds a token; `member` is empty for other roles than a caller."""

    role: Role
    member: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """What a millisecond of response time and a message cost, relatively."""

    response: int = 1
    messages: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Everything a node obeys; `bearers` is keyed by SHA-256 hex of the token."""

    version: int = 0
    digest: str = ""
    members: dict[str, MemberRules] = dataclasses.field(default_factory=dict)
    services: dict[str, ServiceRules] = dataclasses.field(default_factory=dict)
    bearers: dict[str, Bearer] = dataclasses.field(default_factory=dict)
    weights: Weights = dataclasses.field(default_factory=Weights)
