"""Messages that the processes of a deployment send about themselves."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ShardOwner:
    """The process that dispatches on one shard of the endpoints.

    `incarnation` is that process's own, `token` the fencing token for the shard.
    """

    name: str
    incarnation: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """A heartbeat with the sender's identity and state.

    `name` is the address of its links, `control` the address of its control interface
    (empty where it has none). `generation` is the fencing token under which it
    dispatches, 0 while it does not; `highest` is the highest token it knows of.
    `following` names the process that it selects as dispatcher, `using` the one that it
    sends jobs to; they differ while the dispatcher role moves to another process.
    `leads_log` is set while its replica certainly leads the log and is up to date,
    `has_stored` while it has stored jobs. `members` lists the link addresses of the
    core VMs and of the standby entry VMs that it knows. The next heartbeat on this link
    follows within `interval_ms`; `wants_reply` asks the receiver for one at once.

    `incarnation` differs after each restart of the sender. `shards` names the owner of
    each shard while the sender is the active dispatcher and shares its work; it is
    empty while it dispatches alone. `refused` are the sender's tokens for shards whose
    endpoints have seen higher ones, or whose term has ended, and `refused_shards` these
    shards in the same order. `is_overloaded` tells that the sender dispatches and its
    processor is full.

    `evacuated` are the evacuated failure domains, `evacuation_version` their version.
    """

    name: str
    is_core: bool
    domain: str
    control: str
    is_ready: bool
    is_stopping: bool
    generation: int
    highest: int
    following: str
    using: str
    manifest_version: int
    leads_log: bool = False
    has_stored: bool = False
    members: tuple[str, ...] = ()
    interval_ms: int = 100
    wants_reply: bool = False
    incarnation: int = 0
    shards: tuple[ShardOwner, ...] = ()
    refused: tuple[int, ...] = ()
    is_overloaded: bool = False
    evacuation_version: int = 0
    evacuated: tuple[str, ...] = ()
    refused_shards: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Alive:
    """A heartbeat of a sender whose state is as in its last `Presence` on this link."""

    interval_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestWanted:
    """A request for the newer manifest that the receiver has announced."""

    held_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestNews:
    """A committed manifest: the bytes that the operator submitted, compressed."""

    version: int
    packed: bytes


CLASSES: tuple[type, ...] = (Presence, Alive, ManifestWanted, ManifestNews)
