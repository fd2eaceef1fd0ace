"""Numbered changes of one session, resent until they are acknowledged."""

from __future__ import annotations

import dataclasses
import typing

Key = typing.TypeVar("Key", bound=typing.Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch(typing.Generic[Key]):
    """Keys to send, which bring a receiver from version `since` to `version`."""

    since: int
    version: int
    keys: tuple[Key, ...]


class DeltaStream(typing.Generic[Key]):
    """Tracks which keys changed since the receiver's last acknowledgement.

    The cost depends on the number of changes, not on the number of keys. Values
    are looked up when a batch is sent, so only their latest state is sent.
    """

    def __init__(self) -> None:
        self.version = 0
        self.sent = 0
        self.acked = 0
        self.changed: dict[Key, int] = {}

    def mark(self, key: Key) -> None:
        """Record that the value under `key` changed."""
        self.version += 1
        self.changed.pop(key, None)
        self.changed[key] = self.version

    def has_unsent(self) -> bool:
        """Return whether there is a change that was never sent."""
        return self.version > self.sent

    def collect_unsent(self) -> Batch[Key]:
        """Return the keys that changed since the last batch."""
        return self.collect_since(self.sent)

    def collect_unacked(self) -> Batch[Key]:
        """Return all keys that the receiver has not acknowledged."""
        return self.collect_since(self.acked)

    def collect_since(self, since: int) -> Batch[Key]:
        """Return the keys changed after `since`.

        `changed` is in order of version, so the loop stops at the first older key.
        """
        keys: list[Key] = []
        for key in reversed(self.changed):
            if self.changed[key] <= since:
                break
            keys.append(key)
        self.sent = self.version
        return Batch(since, self.version, tuple(keys))

    def ack(self, version: int) -> None:
        """Remove the changes that the receiver has applied."""
        if version <= self.acked or version > self.version:
            return
        self.acked = version
        while self.changed:
            key = next(iter(self.changed))
            if self.changed[key] > version:
                break
            del self.changed[key]


@dataclasses.dataclass(slots=True)
class DeltaReceiver:
    """Receiving side of a stream: the version up to which nothing is missing."""

    version: int = 0

    def advance(self, since: int, version: int) -> None:
        """Record a batch; one after a gap does not count until it is resent."""
        if since <= self.version < version:
            self.version = version
