"""The evacuations in force at one process, and the orders that operators give."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from knapweedbeam_core.evacuations import holder, machine
from knapweedbeam_core.fleet import membership
from knapweedbeam_core.pool import shards
from knapweedbeam_server.fleet import manifest_manager, replicated_log
from knapweedbeam_server.logs import catalogue, emit


class Host(typing.Protocol):
    """The parts and methods of the process that are used here."""

    log: replicated_log.ReplicatedLog | None
    members: membership.Membership
    shards: shards.ShardedDispatcher

    def run(self, produced: collections.abc.Sequence[typing.Any]) -> None:
        """Carry out effects, and place waiting tasks."""

    def get_control_address(self, name: str) -> str:
        """Return the address of a member's control API, empty if unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownDomain:
    """No failure domain with this name is known here."""


Result = (
    replicated_log.Taken
    | replicated_log.Unclear
    | manifest_manager.AtControl
    | UnknownDomain
)


class EvacuationManager:
    """Applies evacuations from the log and other processes, and proposes new ones.

    `configured` are the failure domains in this process's settings.
    """

    def __init__(self, host: Host, configured: tuple[str, ...]) -> None:
        self.host = host
        self.configured = configured
        self.holder = holder.EvacuationHolder()

    @property
    def held(self) -> machine.EvacuatedDomains:
        """Return what is in force here."""
        return self.holder.held

    def apply_committed(self) -> None:
        """Apply what the log has committed."""
        if self.host.log is not None:
            self.apply(self.host.log.machine.evacuations.stored)

    def apply(self, heard: machine.EvacuatedDomains) -> None:
        """Put evacuations in force if they are newer than the present ones."""
        if not self.holder.update(heard):
            return
        emit.emit(
            catalogue.EVACUATIONS_IN_FORCE,
            version=heard.version,
            domains=" ".join(heard.domains),
        )
        self.host.shards.set_evacuated(frozenset(heard.domains))
        self.host.run([])

    def propose(self, domain: str, is_evacuated: bool) -> Result:
        """Commit an operator's order, or return the control API that can."""
        if not self.is_known(domain):
            return UnknownDomain()
        if self.host.log is None:
            return manifest_manager.AtControl("")
        answer = self.host.log.propose_evacuation(domain, is_evacuated)
        if isinstance(answer, replicated_log.NotLeader):
            address = self.host.get_control_address(answer.name)
            return manifest_manager.AtControl(address)
        self.apply_committed()
        return answer

    def is_known(self, domain: str) -> bool:
        """Return whether settings, orders, members or endpoints name a domain."""
        if domain in self.configured or domain in self.held.domains:
            return True
        if any(member.domain == domain for member in self.host.members.get_live()):
            return True
        endpoints = self.host.shards.list_endpoints()
        return any(each.announcement.domain == domain for each in endpoints)
