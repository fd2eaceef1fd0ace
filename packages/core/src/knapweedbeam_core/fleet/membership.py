"""The other processes of a deployment, as known from their heartbeats.

Every heartbeat says within what time the next one follows. A member that is silent for
longer than that, with some margin, is unresponsive.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, waiting_clock
from knapweedbeam_core.fleet import messages
from knapweedbeam_core.log import choosing

# Between processes where a loss must be noticed within half a second.
FAST_INTERVAL_MS = 100
# Between all others, which are asked for a heartbeat when a loss makes them matter.
SLOW_INTERVAL_MS = 1_000
# Four lost heartbeats at the fast rate: longer than the pauses of a healthy process.
UNRESPONSIVE_MS = 450
# A member that was asked for a heartbeat counts as unresponsive after this time.
REPLY_TIMEOUT_MS = 300
# A process that stood still hears the newest state of the others within this time.
CATCH_UP_MS = 200
CATCH_UP_INTERVAL_MS = 2_000
# A process without contact for longer is removed, and found again only through seeds.
FORGET_AFTER_MS = 30_000
# Number of entry VMs that stand by to dispatch when no core VM is left.
STANDBY_ENTRY_VMS = 3


@dataclasses.dataclass(slots=True)
class Member:
    """Another process and the newest state received from it, if any.

    All times are by the `waiting_clock` of the membership. `asked_ms` is when it was
    asked for a heartbeat that has not come; `is_responsive` is as of the last check,
    `first_heard_ms` when this incarnation of it was first heard.
    """

    name: str
    added_ms: int
    presence: messages.Presence | None = None
    last_contact_ms: int = -FORGET_AFTER_MS
    interval_ms: int = FAST_INTERVAL_MS
    asked_ms: int | None = None
    is_responsive: bool = False
    first_heard_ms: int = 0

    def get_deadline_ms(self) -> int:
        """Return the time up to which the member may be silent."""
        deadline_ms = self.last_contact_ms + get_silence_limit_ms(self.interval_ms)
        if self.asked_ms is None:
            return deadline_ms
        return min(deadline_ms, self.asked_ms + REPLY_TIMEOUT_MS)


def get_silence_limit_ms(interval_ms: int) -> int:
    """Return how long a member that sends at `interval_ms` may be silent."""
    return UNRESPONSIVE_MS + 2 * max(0, interval_ms - FAST_INTERVAL_MS)


class Membership:
    """The members of a deployment as one process knows them.

    `tick` must be called often, so that the silence of members is measured. `woke_ms`
    is when this process last went on after a pause. `version` changes whenever
    `get_live` may return something else, `link_version` whenever `get_link_peers` may.
    `candidates` are the processes that may dispatch.
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
        self.woke_ms = -CATCH_UP_INTERVAL_MS
        self.seeds: frozenset[str] = frozenset()
        self.members: dict[str, Member] = {}
        self.highest_generation = 0
        self.version = 0
        self.link_version = 0
        self.live: list[messages.Presence] = []
        self.live_version = -1
        self.is_any_stored = False
        self.stored_version = -1
        self.check_due_ms = 0
        self.became_silent: list[str] = []
        self.core_names: set[str] = {name} if is_core else set()
        self.standbys: list[str] = []
        self.candidates: tuple[str, ...] = ()
        self.set_seeds(seeds)
        self.update_roles()

    def tick(self) -> None:
        """Let the time pass in which members may be silent, and check them if due."""
        self.waiting_clock.tick()
        self.record_pause()
        if self.waiting_clock.now_ms() > self.check_due_ms:
            self.check_members()

    def record_pause(self) -> None:
        """Record that this process stood still for longer than others wait for it.

        One that is late again and again catches up only now and then.
        """
        now_ms = self.clock.now_ms()
        is_due = now_ms - self.woke_ms >= CATCH_UP_INTERVAL_MS
        if is_due and self.waiting_clock.late_ms > UNRESPONSIVE_MS:
            self.woke_ms = now_ms

    def is_catching_up(self) -> bool:
        """Return whether this process stood still, and may not know of changes since.

        What others sent meanwhile arrives first, and then their next heartbeats.
        """
        return self.clock.now_ms() - self.woke_ms < CATCH_UP_MS

    def check_members(self) -> None:
        """Find the members that became silent, and when the next one may."""
        now_ms = self.waiting_clock.now_ms()
        self.check_due_ms = now_ms + FORGET_AFTER_MS
        for member in self.members.values():
            if not member.is_responsive:
                continue
            deadline_ms = member.get_deadline_ms()
            if deadline_ms >= now_ms:
                self.check_due_ms = min(self.check_due_ms, deadline_ms)
                continue
            member.is_responsive = False
            self.became_silent.append(member.name)
            self.version += 1

    def take_silent(self) -> list[str]:
        """Return the members that became silent since the last call."""
        names, self.became_silent = self.became_silent, []
        return names

    def get_known_ms(self, name: str) -> int:
        """Return for how long the present incarnation of a member is known."""
        member = self.members.get(name)
        if member is None or member.presence is None:
            return 0
        return self.waiting_clock.now_ms() - member.first_heard_ms

    def get_silence_ms(self, member: Member) -> int:
        """Return how long nothing has been heard of a member."""
        return self.waiting_clock.now_ms() - member.last_contact_ms

    def set_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Replace the seeds by those of changed settings; known members are kept."""
        self.seeds = frozenset(seeds) - {self.name}
        self.link_version += 1
        for seed in self.seeds:
            self.add_member(seed)

    def add_member(self, name: str) -> None:
        """Add a process that may exist, without a heartbeat so far."""
        if name != self.name and name not in self.members:
            self.members[name] = Member(name, self.waiting_clock.now_ms())
            self.link_version += 1

    def record_heartbeat(self, presence: messages.Presence) -> bool:
        """Record a member's state; return whether it was unresponsive before."""
        if presence.name == self.name:
            return False
        self.add_member(presence.name)
        member = self.members[presence.name]
        is_new = member.presence is None
        if member.presence is None or (
            member.presence.incarnation != presence.incarnation
        ):
            member.first_heard_ms = self.waiting_clock.now_ms()
        if presence != member.presence:
            member.presence = presence
            self.version += 1
        if is_new:
            self.update_roles()
        tokens = [owner.token for owner in presence.shards]
        self.highest_generation = max(
            self.highest_generation, presence.highest, presence.generation, *tokens
        )
        for name in presence.members:
            self.add_member(name)
        return self.record_contact(presence.name, presence.interval_ms)

    def record_contact(self, name: str, interval_ms: int = 0) -> bool:
        """Record a message of a member; return whether it was unresponsive before.

        `interval_ms` is when its next heartbeat follows, 0 if the message says nothing.
        A member whose state is not known stays unresponsive.
        """
        member = self.members.get(name)
        if member is None or member.presence is None:
            return False
        member.last_contact_ms = self.waiting_clock.now_ms()
        member.asked_ms = None
        if interval_ms:
            member.interval_ms = interval_ms
            self.check_due_ms = min(self.check_due_ms, member.get_deadline_ms())
        if member.is_responsive:
            return False
        member.is_responsive = True
        self.check_due_ms = min(self.check_due_ms, member.get_deadline_ms())
        self.version += 1
        return True

    def record_question(self, name: str) -> None:
        """Record that a member was asked for a heartbeat."""
        member = self.members.get(name)
        if member is not None and member.asked_ms is None:
            member.asked_ms = self.waiting_clock.now_ms()
            self.check_due_ms = min(self.check_due_ms, member.get_deadline_ms())

    def remove_stale(self) -> None:
        """Remove members without contact for `FORGET_AFTER_MS`, except the seeds."""
        now_ms = self.waiting_clock.now_ms()
        stale = [
            name
            for name, member in self.members.items()
            if now_ms - max(member.last_contact_ms, member.added_ms) > FORGET_AFTER_MS
            and name not in self.seeds
        ]
        for name in stale:
            del self.members[name]
        if stale:
            self.version += 1
            self.update_roles()

    def get_live(self) -> list[messages.Presence]:
        """Return the newest state of each responsive member."""
        if self.live_version != self.version:
            self.live_version = self.version
            self.live = [
                member.presence
                for member in self.members.values()
                if member.presence is not None and member.is_responsive
            ]
        return self.live

    def is_live(self, name: str) -> bool:
        """Return whether a member is responsive."""
        member = self.members.get(name)
        return member is not None and member.is_responsive

    def get_presence(self, name: str) -> messages.Presence | None:
        """Return the newest state of a responsive member, None for all others."""
        member = self.members.get(name)
        return member.presence if member is not None and member.is_responsive else None

    def is_active_dispatcher(self, name: str) -> bool:
        """Return whether a member is responsive and dispatches."""
        presence = self.get_presence(name)
        return presence is not None and presence.generation != 0

    def find_newer_manifest(self, held_version: int) -> str:
        """Return a live member with the newest manifest, if newer than `held_version`.

        The result is empty if there is none.
        """
        newest = max(
            self.get_live(), key=lambda each: each.manifest_version, default=None
        )
        if newest is None or newest.manifest_version <= held_version:
            return ""
        return newest.name

    def find_log_leader(self) -> str:
        """Return the live member that leads the log, empty for none or several."""
        leaders = [presence.name for presence in self.get_live() if presence.leads_log]
        return leaders[0] if len(leaders) == 1 else ""

    def has_stored(self) -> bool:
        """Return whether some member reported stored jobs in its last state."""
        if self.stored_version != self.version:
            self.stored_version = self.version
            self.is_any_stored = any(
                member.presence is not None and member.presence.has_stored
                for member in self.members.values()
            )
        return self.is_any_stored

    def find_relay(self) -> str:
        """Return an entry VM that still reaches a dispatcher, empty for none."""
        relays = [
            presence.name
            for presence in self.get_live()
            if not presence.is_core and presence.using not in ("", self.name)
        ]
        return min(relays, default="")

    def update_roles(self) -> None:
        """Find the core VMs and the standby entry VMs among the contacted members."""
        contacted = [
            member.presence
            for member in self.members.values()
            if member.presence is not None
        ]
        self.core_names = {presence.name for presence in contacted if presence.is_core}
        names = [presence.name for presence in contacted if not presence.is_core]
        if self.is_core:
            self.core_names.add(self.name)
        else:
            names.append(self.name)
        self.standbys = sorted(names)[:STANDBY_ENTRY_VMS]
        self.candidates = tuple(sorted({*self.core_names, *self.standbys}))
        self.link_version += 1

    def get_core_names(self) -> set[str]:
        """Return the names of the core members that have sent a heartbeat.

        Members removed by `remove_stale` are not included.
        """
        return self.core_names

    def get_standbys(self) -> list[str]:
        """Return the entry VMs that dispatch when no core VM is left."""
        return self.standbys

    def list_core_vms(self) -> list[choosing.ControlVm]:
        """Return the core members, this one included, with the time since contact.

        Members that have sent no heartbeat since this process started are left out; the
        caller counts their time from its own start.
        """
        return [
            choosing.ControlVm(
                name,
                0 if name == self.name else self.get_silence_ms(self.members[name]),
            )
            for name in self.core_names
        ]

    def is_fully_linked(self) -> bool:
        """Return whether this process keeps a link to every member."""
        return self.is_core or self.name in self.standbys

    def get_link_peers(self) -> set[str]:
        """Return the members to keep a link to.

        Core VMs and standby entry VMs link to all members, other entry VMs only to
        core and standby VMs, so that the number of links grows linearly with the
        number of VMs and not with its square.
        """
        if self.is_fully_linked():
            return set(self.members)
        unknown = {
            member.name for member in self.members.values() if member.presence is None
        }
        peers = self.core_names | set(self.standbys) | self.seeds | unknown
        return peers - {self.name}
