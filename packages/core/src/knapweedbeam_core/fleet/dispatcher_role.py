"""Choice of the active dispatcher, made by each process from received heartbeats.

There is no election: endpoints refuse calls whose fencing token is lower than the
highest token they have seen. Two dispatchers that are active at once therefore waste
work but violate no guarantee. A failure domain that is partitioned off, or a deployment
whose core VMs are all down, continues with a dispatcher of its own.

An active dispatcher is kept as long as its heartbeats arrive: a change stops no running
task, but costs one heartbeat timeout. Processes that know endpoints rank before those
that don't, and core VMs before entry VMs. An active dispatcher that is to be replaced
stays active until its successor has become active.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import membership, messages

# The low bits of a fencing token identify the process that created it.
PROCESS_BITS = 20
# A dispatcher that no entry VM follows for this long gives up the role.
UNFOLLOWED_MS = 1_000
# Entry VMs that lost the active dispatcher may be outnumbered by others that still
# receive its heartbeats. The role is taken after this delay, which comes on top of the
# heartbeat timeout.
CONTEST_MS = 300
# A process that just started only listens at first, so that it does not replace a
# dispatcher that is already active.
LISTEN_MS = 600
# An entry VM that just started hears the core VMs within this time if they started with
# it; processes start and connect within some hundred milliseconds of each other.
ENTRY_LISTEN_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The dispatcher that a process follows, and its fencing token.

    `name` is empty for none; `generation` is 0 while that process is not active.
    """

    name: str
    generation: int


def build_generation(highest: int, wall_ms: int, process_number: int) -> int:
    """Return a fencing token above `highest` that no other process creates.

    The wall-clock time in seconds keeps tokens increasing even if every process has
    lost the earlier ones.
    """
    counter = max((highest >> PROCESS_BITS) + 1, wall_ms // clock.SECOND_MS)
    mask = (1 << PROCESS_BITS) - 1
    return (counter << PROCESS_BITS) | (process_number & mask)


class DispatcherRole:
    """Tracks which process dispatches, and whether this process does.

    `generation` is the fencing token of this process while it is the active dispatcher,
    otherwise 0.
    """

    def __init__(
        self,
        members: membership.Membership,
        process_number: int,
        timer: clock.Clock,
    ) -> None:
        self.members = members
        self.process_number = process_number
        self.clock = timer
        self.started_ms = timer.now_ms()
        self.generation = 0
        self.followed_ms = timer.now_ms()
        self.following = Choice("", 0)
        self.blocked_until_ms = 0
        self.last_unrequested_ms = timer.now_ms()
        self.selected = Choice("", 0)
        self.selected_for: tuple[int, messages.Presence] | None = None
        self.has_followers = False
        self.has_requests = False
        self.is_overtaken = False

    def select_dispatcher(self, own: messages.Presence) -> Choice:
        """Return the best candidate for the dispatcher role, this process included."""
        standbys = self.members.get_standbys()
        candidates = [
            presence
            for presence in (own, *self.members.get_live())
            if not presence.is_stopping
            and (presence.is_core or presence.name in standbys)
        ]
        if not candidates:
            return Choice("", 0)
        best = min(candidates, key=get_candidate_rank)
        return Choice(best.name, best.generation)

    def update(self, own: messages.Presence) -> Choice:
        """Select the dispatcher again, and claim or give up the role accordingly."""
        self.members.tick()
        now_ms = self.clock.now_ms()
        uptime_ms = now_ms - self.started_ms
        if uptime_ms < LISTEN_MS:
            return self.following
        basis = (self.members.version, own)
        if basis != self.selected_for:
            self.selected_for = basis
            self.selected = self.select_dispatcher(own)
            self.has_followers = self.is_followed()
            self.has_requests = self.is_requested()
            self.is_overtaken = self.has_higher_token()
        self.following = self.selected
        if self.following.name != own.name:
            self.step_down_for(self.following)
        elif self.generation == 0:
            if self.members.is_core or uptime_ms >= ENTRY_LISTEN_MS:
                self.claim(now_ms)
        elif self.is_overtaken:
            self.generation = 0
        elif self.has_followers:
            self.followed_ms = now_ms
        elif now_ms - self.followed_ms > UNFOLLOWED_MS:
            self.generation = 0
        if self.following.name == own.name:
            self.following = Choice(own.name, self.generation)
        return self.following

    def step_down_for(self, other: Choice) -> None:
        """Give up the role for a higher token, or if there is no candidate at all."""
        if other.generation > self.generation or not other.name:
            self.generation = 0

    def claim(self, now_ms: int) -> None:
        """Become active once all reachable entry VMs follow this process.

        If only some of them do for longer than `CONTEST_MS`, neither they nor
        this process can reach the active dispatcher, and the other entry VMs can switch
        over.
        """
        if not self.has_requests:
            self.last_unrequested_ms = now_ms
        is_contest = now_ms - self.last_unrequested_ms > CONTEST_MS
        if now_ms < self.blocked_until_ms or self.members.is_catching_up():
            return
        if not (self.has_followers or is_contest):
            return
        self.generation = self.create_token()
        self.followed_ms = now_ms

    def create_token(self) -> int:
        """Return a new fencing token, above all that this process has heard of."""
        highest = self.members.highest_generation
        token = build_generation(highest, self.clock.wall_ms(), self.process_number)
        self.members.highest_generation = token
        return token

    def is_requested(self) -> bool:
        """Return whether an entry VM follows this process and none is active.

        A process that receives heartbeats of an active dispatcher does not replace it.
        """
        live = self.members.get_live()
        if any(presence.generation for presence in live):
            return False
        name = self.members.name
        return any(
            presence.following == name for presence in live if not presence.is_core
        )

    def has_higher_token(self) -> bool:
        """Return whether another process dispatches with a higher token.

        Both were active in a partition that has ended. Endpoints refuse the lower
        token, so the process that stays needs a new one.
        """
        return any(
            presence.generation > self.generation
            for presence in self.members.get_live()
        )

    def is_followed(self) -> bool:
        """Return whether the reachable entry VMs follow this process.

        While it is active one of them is enough; before, none may follow another
        process. Without reachable entry VMs the result is true for an entry VM only.
        """
        name = self.members.name
        followers = [
            presence.following
            for presence in self.members.get_live()
            if not presence.is_core
        ]
        if not followers:
            return not self.members.is_core
        if self.generation:
            return name in followers
        return all(following in (name, "") for following in followers)

    def handle_refused_token(self, pause_ms: int) -> None:
        """Give up the role for `pause_ms`: an endpoint has seen a higher token."""
        self.generation = 0
        self.blocked_until_ms = self.clock.now_ms() + pause_ms


def get_candidate_rank(presence: messages.Presence) -> tuple[bool, bool, int, str]:
    """Return the sort key of a candidate; the lowest key is the best one."""
    return (
        not presence.is_ready,
        not presence.is_core,
        -presence.generation,
        presence.name,
    )
