"""The rules in force at a node, compiled from the accepted bundle."""

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
    """The rules of one service; sizes and `run_ms` are defaults for each task."""

    name: str
    repeatable: bool = False
    deadline_ms: int = 30_000
    retention_ms: int = 900_000
    cpu_millis: int = 0
    memory_mib: int = 0
    run_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRules:
    """One member; `standing` is its weight relative to the other members."""

    name: str
    standing: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Bearer:
    """The holder of a bearer token; `member` is empty unless the role is caller."""

    role: Role
    member: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Relative costs of a millisecond of response time and of a message."""

    response: int = 1
    messages: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """All rules of a node; `bearers` is keyed by the token's SHA-256 in hex."""

    version: int = 0
    digest: str = ""
    members: dict[str, MemberRules] = dataclasses.field(default_factory=dict)
    services: dict[str, ServiceRules] = dataclasses.field(default_factory=dict)
    bearers: dict[str, Bearer] = dataclasses.field(default_factory=dict)
    weights: Weights = dataclasses.field(default_factory=Weights)
