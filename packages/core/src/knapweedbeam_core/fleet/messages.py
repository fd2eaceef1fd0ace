"""Messages that the processes of a deployment send about themselves."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """A heartbeat with the sender's identity and state.

    `name` is the address of its links, `control` the address of its control interface
    (empty where it has none). `generation` is the fencing token under which it
    dispatches, 0 while it does not; `highest` is the highest token it knows of.
    `following` names the process that it selects as dispatcher, `using` the one that it
    sends jobs to; they differ while the dispatcher role moves to another process.
    `leads_log` is set while its replica certainly leads the log and is up to date,
    `has_stored` while it has stored jobs. `members` lists the link addresses that it
    knows, and is left out of most heartbeats.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestWanted:
    """A request for the newer manifest that the receiver has announced."""

    held_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestNews:
    """A committed manifest, with the unchanged bytes that the operator submitted."""

    version: int
    body: bytes


CLASSES: tuple[type, ...] = (Presence, ManifestWanted, ManifestNews)
