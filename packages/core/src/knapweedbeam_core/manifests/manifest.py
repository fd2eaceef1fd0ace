"""Data model of a manifest: its queues, services and request bounds."""

from __future__ import annotations

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The terms under which a queue runs its jobs.

    A job's objective is `slack_factor` times its work plus `allowance_ms`. The
    lowest `priority` is served first. A task may fail `max_attempts` times. If
    `advice_valid_ms` is above 0, only an external service knows which endpoints are
    allowed, and its advice is valid for that long.
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
    """Where callers submit one class of jobs, and the terms for them."""

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
    """A group of endpoints, which may enforce their own capacity."""

    name: str
    health_path: str
    connections: int
    enforces_capacity: bool
    is_standby: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBounds:
    """Upper bounds on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """One version of the configuration; `body` is as the operator submitted it."""

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
        """Return the queue that a request goes to, or None."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidManifest:
    """A refused manifest; `detail` is the reason."""

    detail: str


def find_errors(manifest: Manifest) -> collections.abc.Iterator[InvalidManifest]:
    """Return each reason why a manifest must be refused."""
    services = {service.name for service in manifest.services}
    if len(services) != len(manifest.services):
        yield InvalidManifest("two services share a name")
    addresses: set[tuple[str, str]] = set()
    for queue in manifest.queues:
        address = (queue.host, queue.path_prefix)
        if address in addresses:
            yield InvalidManifest(f"queue {queue.name} shares host and prefix")
        addresses.add(address)
        if queue.terms.service not in services:
            yield InvalidManifest(f"queue {queue.name} names an unknown service")
        if queue.timeout_ms <= 0:
            yield InvalidManifest(f"queue {queue.name} has no time-out")


def check_manifest(manifest: Manifest) -> InvalidManifest | None:
    """Return the first reason why a manifest must be refused, None if it is valid."""
    return next(find_errors(manifest), None)
