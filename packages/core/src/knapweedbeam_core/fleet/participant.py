"""One process in a deployment: whom it hears, follows and sends heartbeats to."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.fleet import dispatcher_role, heartbeats, membership, messages

# An owner of a shard that is not the lead gets slow heartbeats from entry VMs. It asks
# those with open jobs earlier, as a successor waits only so long for it to stop these:
# see `takeover.TAKEOVER_MS`.
SILENT_ENTRY_MS = 800


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """What a process finds in one tick.

    `choice` is the dispatcher that it selects and `target` the process that its jobs go
    to, empty for none. `silent` are the members that became unresponsive.
    """

    choice: dispatcher_role.Choice
    target: str
    silent: tuple[membership.Member, ...]


class Participant:
    """Joins the membership, the dispatcher role and the heartbeats of one process."""

    def __init__(
        self,
        members: membership.Membership,
        role: dispatcher_role.DispatcherRole,
        timer: clock.Clock,
    ) -> None:
        self.members = members
        self.role = role
        self.heartbeats = heartbeats.Heartbeats(members, timer)
        self.target = ""

    def receive(self, message: messages.Presence | messages.Alive, sender: str) -> bool:
        """Record a heartbeat; return whether its sender was unresponsive before."""
        if isinstance(message, messages.Alive):
            return self.members.record_contact(sender, message.interval_ms)
        if message.wants_reply:
            self.heartbeats.on_question(message.name)
        return self.members.record_heartbeat(message)

    def on_link_down(self, name: str) -> None:
        """Find out soon whether an owner of a shard whose link broke still responds.

        Only entry VMs do: others hear those that matter at the fast rate.
        """
        member = self.members.members.get(name)
        if self.members.is_core or member is None or not member.is_responsive:
            return
        if member.interval_ms > membership.FAST_INTERVAL_MS:
            self.heartbeats.ask(name)

    def update(self, own: messages.Presence) -> Update:
        """Find silent members and select the dispatcher; `own` is this one's state."""
        was_selected = self.is_selected()
        choice = self.role.update(own)
        silent = self.take_silent()
        if self.is_selected() and not was_selected:
            self.heartbeats.ask_members(only_candidates=False)
        elif any(self.is_dispatcher(member) for member in silent):
            self.heartbeats.ask_members(only_candidates=True)
        self.target = choice.name if choice.generation else self.find_fallback()
        return Update(choice, self.target, silent)

    def is_selected(self) -> bool:
        """Return whether this process selects itself as dispatcher."""
        return self.role.following.name == self.members.name

    def take_silent(self) -> tuple[membership.Member, ...]:
        """Return the members that became unresponsive since the last call."""
        names = self.members.take_silent()
        known = self.members.members
        return tuple(known[name] for name in names if name in known)

    def is_dispatcher(self, member: membership.Member) -> bool:
        """Return whether a member dispatches, or has jobs of this process."""
        is_active = member.presence is not None and member.presence.generation != 0
        return is_active or member.name == self.target

    def find_fallback(self) -> str:
        """Return where jobs go while the chosen dispatcher is not active.

        The previous dispatcher may still be active. If it does not respond, jobs go to
        another entry VM that reaches a dispatcher and relays them.
        """
        is_lost = self.target and not self.members.is_live(self.target)
        if self.members.is_core or not is_lost:
            return self.target
        return self.members.find_relay() or self.target

    def ask_silent(self, names: collections.abc.Iterable[str]) -> None:
        """Ask those of the entry VMs `names` that have been silent for a while."""
        for name in names:
            member = self.members.members.get(name)
            if (
                member is None
                or not member.is_responsive
                or member.asked_ms is not None
            ):
                continue
            if self.members.get_silence_ms(member) > SILENT_ENTRY_MS:
                self.heartbeats.ask(name)

    def build_heartbeats(
        self, own: messages.Presence, has_open_jobs: bool
    ) -> list[effects.Send]:
        """Return the heartbeats that are due."""
        return self.heartbeats.build(own, has_open_jobs)
