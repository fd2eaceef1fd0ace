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
        """Return the address in the form that settings files use."""
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
    """The identity of this process; without a data folder it stores no state."""

    name: str
    domain: str
    data_folder: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """The listening addresses of the process."""

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
    """The platform's base URL; if empty, running tasks cannot be stopped."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """The format of log lines and the lowest level that is written."""

    format: str
    level: str


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """The statsd server and metric prefix; without an address no metrics are sent."""

    statsd: Address | None
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The file of events for the history checker; None in production."""

    file: pathlib.Path | None


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """The maximum duration of a graceful stop."""

    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The name of the placement policy."""

    policy: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what one caller, or all callers together, may send."""

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
    """Limits on what this process holds for one member."""

    memory_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one process."""

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
