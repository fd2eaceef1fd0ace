"""The validated settings of one process, as plain data."""

from __future__ import annotations

import dataclasses
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form that settings use."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Another entry VM: its name, failure domain and link address."""

    name: str
    domain: str
    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Who this process is; without a data folder no state survives here."""

    name: str
    domain: str
    data_folder: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Where the process listens."""

    callers: Address
    operators: Address
    links: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """The replicas, and the keys that sign the first bundle."""

    replicas: tuple[str, ...]
    operator_keys: tuple[bytes, ...]
    signatures: int


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """The secrets that all entry VMs of a deployment share."""

    link_key: bytes = dataclasses.field(repr=False)
    ticket_key: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform's base URL; empty where tasks cannot be stopped."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """How log lines look and the lowest level that is written."""

    format: str
    level: str


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """Where metrics go; none without an address."""

    statsd: Address | None
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The file of events for the history checker; none in production."""

    file: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """How long a graceful stop may take."""

    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The name of the placement policy."""

    policy: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what one caller, or all callers together, may send."""

    body_bytes: int
    header_bytes: int
    tasks_per_job: int
    tickets_per_call: int
    connections: int
    request_timeout_ms: int
    wait_ms: int
    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLimits:
    """Bounds on what this process holds for one member."""

    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a process learns from its settings."""

    process: Process
    listen: Listen
    peers: tuple[PeerAddress, ...]
    control: Control
    keys: Keys
    platform: Platform
    log: Log
    metrics: Metrics
    history: History
    stopping: Stopping
    dispatch: Dispatch
    caller_limits: CallerLimits
    member_limits: MemberLimits
