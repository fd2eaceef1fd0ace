"""Decides where the jobs of an entry VM go: to the lead, or to owners of shards.

While the lead is replaced, jobs go on to the owners that it named last. Jobs of an
owner that does not respond go to the lead, which passes them on.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.fleet import membership, participant, sharding


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A process that jobs go to.

    `token` is the fencing token under which the process dispatches, 0 if that is not
    known or it only passes jobs on.
    """

    name: str
    token: int = 0


class JobRoutes:
    """The dispatchers that one process uses.

    `lead` is the dispatcher that it follows, `table` the division of that one.
    """

    def __init__(self, members: membership.Membership) -> None:
        self.members = members
        self.lead = Target("")
        self.table: sharding.Table = ()

    def update(self, update: participant.Update, own_table: sharding.Table) -> bool:
        """Follow the dispatcher of an update; return whether it is another one.

        `own_table` is the division that this process decided on as the lead.
        """
        choice = update.choice
        if choice.generation and choice.name == self.members.name:
            self.table = own_table
        elif choice.generation:
            presence = self.members.get_presence(choice.name)
            if presence is not None and presence.generation:
                self.table = presence.shards
        is_other = update.target != self.lead.name
        if choice.generation and choice.name == update.target:
            self.lead = Target(update.target, choice.generation)
        elif is_other:
            self.lead = Target(update.target)
        return is_other

    def list_targets(self) -> tuple[Target, ...]:
        """Return where the jobs of each shard go, nothing without a division."""
        return tuple(
            Target(owner.name, owner.token) if self.is_usable(owner.name) else self.lead
            for owner in self.table
        )

    def get_primary(self) -> str:
        """Return the dispatcher of the first shard, which places stored jobs."""
        targets = self.list_targets()
        return targets[0].name if targets else self.lead.name

    def is_usable(self, name: str) -> bool:
        """Return whether jobs may be sent to a process."""
        return name == self.members.name or self.members.is_live(name)

    def is_owner(self, name: str) -> bool:
        """Return whether a live process owns a shard."""
        is_named = any(owner.name == name for owner in self.table)
        return is_named and self.members.is_live(name)
