"""The state machine that a replica applies committed entries to."""

from __future__ import annotations

import typing


class StateMachine(typing.Protocol):
    """The state built from the committed entries, identical at each replica."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply one committed command."""

    def take_snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, state: bytes) -> None:
        """Replace the state by one that `take_snapshot` returned."""
