"""The other processes of a deployment, as known from their heartbeats."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects, waiting_clock
from knapweedbeam_core.fleet import messages
from knapweedbeam_core.log import choosing

# A heartbeat costs about 0.1 ms of CPU time at each end.
HEARTBEAT_INTERVAL_MS = 100
# Four lost heartbeats: longer than the pauses of a healthy process.
UNRESPONSIVE_MS = 450
# Member lists change rarely, so only every tenth heartbeat carries one.
MEMBER_LIST_INTERVAL_MS = 1_000
# A process without contact for longer is removed, and found again only through seeds.
FORGET_AFTER_MS = 30_000
# Number of entry VMs that stand by to dispatch when no core VM is left.
STANDBY_ENTRY_VMS = 3


@dataclasses.dataclass(slots=True)
class Member:
    """Another process and the newest heartbeat received from it, if any.

    `added_ms` and `last_contact_ms` are by the `waiting_clock` of the membership.
    """

    name: str
    added_ms: int
    presence: messages.Presence | None = None
    last_contact_ms: int = -FORGET_AFTER_MS


class Membership:
    """The members of a deployment as one process knows them.

    `tick` must be called often, so that the silence of members is measured.
    """

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
        self.waiting_clock = waiting_clock.WaitingClock(timer)
        self.seeds = frozenset(seeds) - {name}
        self.members: dict[str, Member] = {}
        self.heartbeat_due_ms = 0
        self.member_list_due_ms = 0
        self.highest_generation = 0
        for seed in self.seeds:
            self.add_member(seed)

    def tick(self) -> None:
        """Let the time pass in which members may be silent."""
        self.waiting_clock.tick()

    def get_silence_ms(self, member: Member) -> int:
        """Return how long nothing has been heard of a member."""
        return self.waiting_clock.now_ms() - member.last_contact_ms

    def set_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Replace the seeds by those of changed settings; known members are kept."""
        self.seeds = frozenset(seeds) - {self.name}
        for seed in self.seeds:
            self.add_member(seed)

    def add_member(self, name: str) -> None:
        """Add a process that may exist, without a heartbeat so far."""
        if name != self.name and name not in self.members:
            self.members[name] = Member(name, self.waiting_clock.now_ms())

    def record_heartbeat(self, presence: messages.Presence) -> bool:
        """Record a heartbeat; return whether its sender was unresponsive before."""
        if presence.name == self.name:
            return False
        self.add_member(presence.name)
        member = self.members[presence.name]
        was_unresponsive = self.get_silence_ms(member) > UNRESPONSIVE_MS
        member.presence = presence
        member.last_contact_ms = self.waiting_clock.now_ms()
        self.highest_generation = max(
            self.highest_generation, presence.highest, presence.generation
        )
        for name in presence.members:
            self.add_member(name)
        return was_unresponsive

    def remove_stale(self) -> None:
        """Remove members without contact for `FORGET_AFTER_MS`, except the seeds."""
        now_ms = self.waiting_clock.now_ms()
        for name, member in list(self.members.items()):
            last_ms = max(member.last_contact_ms, member.added_ms)
            if name not in self.seeds and now_ms - last_ms > FORGET_AFTER_MS:
                del self.members[name]

    def get_live(self) -> list[messages.Presence]:
        """Return the newest heartbeat of each responsive member."""
        oldest_ms = self.waiting_clock.now_ms() - UNRESPONSIVE_MS
        return [
            member.presence
            for member in self.members.values()
            if member.presence is not None and member.last_contact_ms >= oldest_ms
        ]

    def is_live(self, name: str) -> bool:
        """Return whether a member is responsive."""
        member = self.members.get(name)
        return member is not None and self.get_silence_ms(member) <= UNRESPONSIVE_MS

    def is_active_dispatcher(self, name: str) -> bool:
        """Return whether a member is responsive and dispatches."""
        return any(
            presence.name == name and presence.generation
            for presence in self.get_live()
        )

    def find_log_leader(self) -> str:
        """Return the live member that leads the log, empty for none or several."""
        leaders = [presence.name for presence in self.get_live() if presence.leads_log]
        return leaders[0] if len(leaders) == 1 else ""

    def has_stored(self) -> bool:
        """Return whether some member reported stored jobs in its last heartbeat."""
        return any(
            member.presence is not None and member.presence.has_stored
            for member in self.members.values()
        )

    def find_relay(self) -> str:
        """Return an entry VM that still reaches a dispatcher, empty for none."""
        relays = [
            presence.name
            for presence in self.get_live()
            if not presence.is_core and presence.using not in ("", self.name)
        ]
        return min(relays, default="")

    def get_core_names(self) -> set[str]:
        """Return the names of the core members that have sent a heartbeat.

        Members removed by `remove_stale` are not included.
        """
        names = {
            member.name
            for member in self.members.values()
            if member.presence is not None and member.presence.is_core
        }
        return names | ({self.name} if self.is_core else set())

    def list_core_vms(self) -> list[choosing.ControlVm]:
        """Return the core members, this one included, with the time since contact.

        Members that have sent no heartbeat since this process started are left out; the
        caller counts their time from its own start.
        """
        core_vms = [
            choosing.ControlVm(member.name, self.get_silence_ms(member))
            for member in self.members.values()
            if member.presence is not None and member.presence.is_core
        ]
        if self.is_core:
            core_vms.append(choosing.ControlVm(self.name, 0))
        return core_vms

    def get_link_peers(self) -> set[str]:
        """Return the members to keep a link to.

        Core VMs and standby entry VMs link to all members, other entry VMs only to
        core and standby VMs, so that the number of links grows linearly with the
        number of VMs and not with its square.
        """
        fully_linked = self.get_core_names() | set(self.get_standbys())
        if self.is_core or self.name in fully_linked:
            return set(self.members)
        unknown = {
            member.name for member in self.members.values() if member.presence is None
        }
        return (fully_linked | self.seeds | unknown) - {self.name}

    def get_standbys(self) -> list[str]:
        """Return the entry VMs that dispatch when no core VM is left."""
        names = [
            member.name
            for member in self.members.values()
            if member.presence is not None and not member.presence.is_core
        ]
        if not self.is_core:
            names.append(self.name)
        return sorted(names)[:STANDBY_ENTRY_VMS]

    def build_heartbeats(self, presence: messages.Presence) -> list[effects.Send]:
        """Return the heartbeats that are due; `presence` is this process's state."""
        now_ms = self.clock.now_ms()
        if now_ms < self.heartbeat_due_ms:
            return []
        self.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS
        if now_ms >= self.member_list_due_ms:
            self.member_list_due_ms = now_ms + MEMBER_LIST_INTERVAL_MS
            names = tuple(sorted({*self.get_contacted_names(), self.name}))
            presence = dataclasses.replace(presence, members=names)
        return [effects.Send(name, presence) for name in sorted(self.get_link_peers())]

    def get_contacted_names(self) -> list[str]:
        """Return the names of the members that have sent a heartbeat."""
        return [
            member.name
            for member in self.members.values()
            if member.presence is not None
        ]
