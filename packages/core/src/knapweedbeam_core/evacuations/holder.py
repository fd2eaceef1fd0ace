"""The evacuated failure domains as one process knows them."""

from __future__ import annotations

from knapweedbeam_core.evacuations import machine


class EvacuationHolder:
    """Keeps the newest version from the log or from other processes, in any order."""

    def __init__(self) -> None:
        self.held = machine.NO_EVACUATIONS

    def update(self, heard: machine.EvacuatedDomains) -> bool:
        """Keep a version if it is newer; return whether it was."""
        if heard.version <= self.held.version:
            return False
        self.held = heard
        return True
