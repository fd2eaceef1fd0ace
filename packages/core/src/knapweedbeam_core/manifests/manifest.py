"""What a manifest says, in the product's own words."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What a queue promises of its jobs.

    A job's objective is `slack_factor` times its work plus `allowance_ms`. The
    lowest `priority` comes first. A task may fail `max_attempts` times. Where
    `advice_valid_ms` is above 0, only a service beside the product knows which
    endpoints are allowed, and its word is good for that long.
    """

    queue: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    allowance_ms: int
    advice_valid_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Where callers hand in one class of jobs, and on which terms."""

    host: str
    path_prefix: str
    timeout_ms: int
    terms: Terms

    @property
    def name(self) -> str:
        """Return the queue's name."""
        return self.terms.queue


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints; some guard their own room."""

    name: str
    health_path: str
    connections: int
    guards_room: bool
    is_standby: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBounds:
    """What callers' requests may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """One version of the configuration; `body` holds the operator's own bytes."""

    version: int
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    bounds: RequestBounds
    body: bytes


class QueueRouter:
    """Finds the queue of a request by host and longest path prefix."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.by_host: dict[str, list[Queue]] = {}
        for queue in manifest.queues:
            self.by_host.setdefault(queue.host, []).append(queue)
        for queues in self.by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue that a request goes to, or none."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidManifest:
    """A manifest that is refused, and why."""

    detail: str


def check_manifest(manifest: Manifest) -> InvalidManifest | None:
    """Return what is wrong with a manifest, or none when it may be in force."""
    services = {service.name for service in manifest.services}
    if len(services) != len(manifest.services):
        return InvalidManifest("two services share a name")
    places: set[tuple[str, str]] = set()
    for queue in manifest.queues:
        place = (queue.host, queue.path_prefix)
        if place in places:
            return InvalidManifest(f"queue {queue.name} shares host and prefix")
        places.add(place)
        if queue.terms.service not in services:
            return InvalidManifest(f"queue {queue.name} names an unknown service")
        if queue.timeout_ms <= 0:
            return InvalidManifest(f"queue {queue.name} has no time-out")
    return None
