"""Numbered changes of one session, sent until they are acknowledged."""

from __future__ import annotations

import dataclasses
import typing

Key = typing.TypeVar("Key", bound=typing.Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch(typing.Generic[Key]):
    """The keys to send; they bring a receiver at `since` up to `version`."""

    since: int
    version: int
    keys: tuple[Key, ...]


class DeltaStream(typing.Generic[Key]):
    """Remembers which keys changed after the receiver's last acknowledgement.

    Cost follows the number of changes, never the number of keys. The values
    are looked up when a batch is sent, so only their latest state is.
    """

    def __init__(self) -> None:
        self.version = 0
        self.sent = 0
        self.acked = 0
        self.changed: dict[Key, int] = {}

    def mark(self, key: Key) -> None:
        """Note that the value under `key` changed."""
        self.version += 1
        self.changed.pop(key, None)
        self.changed[key] = self.version

    def has_unsent(self) -> bool:
        """Say whether there is a change that was never sent."""
        return self.version > self.sent

    def take_unsent(self) -> Batch[Key]:
        """Return what changed since the last batch."""
        return self.take_since(self.sent)

    def take_unacked(self) -> Batch[Key]:
        """Return everything that the receiver did not acknowledge."""
        return self.take_since(self.acked)

    def take_since(self, since: int) -> Batch[Key]:
        """Return what changed after `since`; changes lie in order of version."""
        keys: list[Key] = []
        for key in reversed(self.changed):
            if self.changed[key] <= since:
                break
            keys.append(key)
        self.sent = self.version
        return Batch(since, self.version, tuple(keys))

    def ack(self, version: int) -> None:
        """Forget the changes that the receiver has applied."""
        if version <= self.acked or version > self.version:
            return
        self.acked = version
        while self.changed:
            key = next(iter(self.changed))
            if self.changed[key] > version:
                break
            del self.changed[key]


@dataclasses.dataclass(slots=True)
class Applied:
    """The receiving side: up to which version nothing is missing."""

    version: int = 0

    def take(self, since: int, version: int) -> None:
        """Note a batch; one after a gap does not count until it is resent."""
        if since <= self.version < version:
            self.version = version
