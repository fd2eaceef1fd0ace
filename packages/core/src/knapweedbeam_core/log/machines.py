"""What a replica builds from the committed entries."""

from __future__ import annotations

import typing


class StateMachine(typing.Protocol):
    """The state that the committed entries build, the same at each replica."""

    def apply(self, index: int, data: bytes) -> None:
        """Take one committed command."""

    def take_snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, state: bytes) -> None:
        """Go on from a whole state."""
