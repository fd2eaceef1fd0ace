"""Settings of one process, read when it starts."""

from __future__ import annotations

import dataclasses
import pathlib

from knapweedbeam_core.fleet import sharding
from knapweedbeam_core.pool import attempt_tracker, room_policy


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings of one process of a deployment.

    `name` is the address of its links, `control` that of its control API, empty for
    an entry VM. `seeds` are addresses of links. `data_folder` is none if the process
    stores nothing. `is_first_start` means that the whole deployment starts for the
    first time, with empty data folders. With more than `endpoints_per_shard` endpoints
    for each, several processes share the work of dispatching. `tolerated_losses` is
    how many core VMs, or their disks, may be lost at the same time. `room_policy` says
    where the rules for scarce room are in force. `domains` are the failure domains of
    the deployment, as far as the settings name them.
    """

    name: str
    is_core: bool
    domain: str
    control: str
    seeds: tuple[str, ...]
    data_folder: pathlib.Path | None
    is_first_start: bool
    link_key: bytes
    endpoint_bounds: attempt_tracker.ProtocolBounds
    endpoints_per_shard: int = sharding.ENDPOINTS_PER_SHARD
    tolerated_losses: int = 1
    room_policy: room_policy.RoomPolicy = room_policy.DEFAULT
    domains: tuple[str, ...] = ()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
