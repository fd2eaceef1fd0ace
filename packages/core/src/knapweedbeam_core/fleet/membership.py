"""Which other processes are there, learned from heartbeats."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.fleet import messages
from knapweedbeam_core.log import choosing

# A heartbeat costs some 0.1 ms of processor time at each end.
HEARTBEAT_MS = 100
# Four lost heartbeats: longer than the pauses of a sound process.
UNRESPONSIVE_MS = 450
# Lists of members change rarely, so they go with every tenth heartbeat.
LISTING_MS = 1_000
# A process that is gone for longer is looked for only through the seeds.
FORGET_MS = 30_000
# Entry VMs that also stand by to dispatch when no core VM is left.
STANDBY_ENTRIES = 3


@dataclasses.dataclass(slots=True)
class Member:
    """Another process and the newest heartbeat heard from it."""

    name: str
    known_ms: int
    presence: messages.Presence | None = None
    last_contact_ms: int = -FORGET_MS


class Membership:
    """The members of a deployment as one process sees them."""

    def __init__(
        self,
        name: str,
        is_core: bool,
        seeds: collections.abc.Iterable[str],
        timer: clock.Clock,
    ) -> None:
        self.name = name
        self.is_core = is_core
        self.clock = timer
        self.seeds = frozenset(seeds) - {name}
        self.members: dict[str, Member] = {}
        self.heartbeat_due_ms = 0
        self.listing_due_ms = 0
        self.highest_generation = 0
        for seed in self.seeds:
            self.learn(seed)

    def set_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Take the seeds of changed settings beside the members already known."""
        self.seeds = frozenset(seeds) - {self.name}
        for seed in self.seeds:
            self.learn(seed)

    def learn(self, name: str) -> None:
        """Note that a process may be there."""
        if name != self.name and name not in self.members:
            self.members[name] = Member(name, self.clock.now_ms())

    def record_heartbeat(self, presence: messages.Presence) -> bool:
        """Take a heartbeat; say whether its sender was silent before."""
        if presence.name == self.name:
            return False
        self.learn(presence.name)
        member = self.members[presence.name]
        now_ms = self.clock.now_ms()
        was_silent = now_ms - member.last_contact_ms > UNRESPONSIVE_MS
        member.presence = presence
        member.last_contact_ms = now_ms
        self.highest_generation = max(
            self.highest_generation, presence.highest, presence.generation
        )
        for name in presence.members:
            self.learn(name)
        return was_silent

    def remove_stale(self) -> None:
        """Forget members that nobody has heard for long."""
        now_ms = self.clock.now_ms()
        for name, member in list(self.members.items()):
            last_ms = max(member.last_contact_ms, member.known_ms)
            if name not in self.seeds and now_ms - last_ms > FORGET_MS:
                del self.members[name]

    def get_live(self) -> list[messages.Presence]:
        """Return the newest heartbeat of each member that was heard lately."""
        oldest_ms = self.clock.now_ms() - UNRESPONSIVE_MS
        return [
            member.presence
            for member in self.members.values()
            if member.presence is not None and member.last_contact_ms >= oldest_ms
        ]

    def is_live(self, name: str) -> bool:
        """Say whether a member was heard lately."""
        member = self.members.get(name)
        return (
            member is not None
            and self.clock.now_ms() - member.last_contact_ms <= UNRESPONSIVE_MS
        )

    def is_active_dispatcher(self, name: str) -> bool:
        """Say whether a member was heard lately and dispatches."""
        return any(known.name == name and known.generation for known in self.get_live())

    def find_log_leader(self) -> str:
        """Return the live member that leads the log, empty for none."""
        leaders = [known.name for known in self.get_live() if known.leads_log]
        return leaders[0] if len(leaders) == 1 else ""

    def has_stored(self) -> bool:
        """Say whether some member knew of stored jobs when it was last heard."""
        return any(
            member.presence is not None and member.presence.has_stored
            for member in self.members.values()
        )

    def find_relay(self) -> str:
        """Return an entry VM that still reaches a dispatcher, empty for none."""
        reaching = [
            known.name
            for known in self.get_live()
            if not known.is_core and known.using not in ("", self.name)
        ]
        return min(reaching, default="")

    def get_core_names(self) -> set[str]:
        """Return the core members heard within the time that they are remembered."""
        names = {
            member.name
            for member in self.members.values()
            if member.presence is not None and member.presence.is_core
        }
        return names | ({self.name} if self.is_core else set())

    def list_core_vms(self) -> list[choosing.ControlVm]:
        """Return the core members, this one included, and how long each is silent.

        One that was not heard since this process started counts from then on.
        """
        now_ms = self.clock.now_ms()
        known = [
            choosing.ControlVm(member.name, now_ms - member.last_contact_ms)
            for member in self.members.values()
            if member.presence is not None and member.presence.is_core
        ]
        if self.is_core:
            known.append(choosing.ControlVm(self.name, 0))
        return known

    def get_link_peers(self) -> set[str]:
        """Return the members to keep a link to.

        Core VMs and standby entry VMs link to everybody, other entry VMs to core
        and standby VMs alone, so that links grow with the number of VMs, not with
        its square.
        """
        hubs = self.get_core_names() | set(self.get_standbys())
        if self.is_core or self.name in hubs:
            return set(self.members)
        unknown = {m.name for m in self.members.values() if m.presence is None}
        return (hubs | self.seeds | unknown) - {self.name}

    def get_standbys(self) -> list[str]:
        """Return the entry VMs that dispatch when no core VM is left."""
        names = [
            member.name
            for member in self.members.values()
            if member.presence is not None and not member.presence.is_core
        ]
        if not self.is_core:
            names.append(self.name)
        return sorted(names)[:STANDBY_ENTRIES]

    def build_heartbeats(self, presence: messages.Presence) -> list[effects.Send]:
        """Return the heartbeats that are due, from what this process believes."""
        now_ms = self.clock.now_ms()
        if now_ms < self.heartbeat_due_ms:
            return []
        self.heartbeat_due_ms = now_ms + HEARTBEAT_MS
        if now_ms >= self.listing_due_ms:
            self.listing_due_ms = now_ms + LISTING_MS
            known = tuple(sorted({*self.get_heard_names(), self.name}))
            presence = dataclasses.replace(presence, members=known)
        return [effects.Send(name, presence) for name in sorted(self.get_link_peers())]

    def get_heard_names(self) -> list[str]:
        """Return the members that were heard at all."""
        return [m.name for m in self.members.values() if m.presence is not None]
