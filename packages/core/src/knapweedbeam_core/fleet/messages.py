"""What the processes of a deployment tell each other about themselves."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """A heartbeat: who the sender is and what it believes.

    `name` is the address of its links, `control` that of its control interface
    (empty where it has none). `generation` is the fencing token under which it
    dispatches, 0 while it doesn't; `highest` the greatest token it ever heard of.
    `following` names the process that it wants to dispatch, `using` the one that it
    sends jobs to: these differ while an office changes hands. `leads_log` says that
    its replica surely leads the log, `has_stored` that there are stored jobs. `members`
    lists the link addresses that it knows and is left out of most heartbeats.
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
    """The sender lacks the manifest that the receiver said it holds."""

    held_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestNews:
    """A committed manifest as it was accepted, in the operator's own bytes."""

    version: int
    body: bytes


CLASSES: tuple[type, ...] = (Presence, ManifestWanted, ManifestNews)
