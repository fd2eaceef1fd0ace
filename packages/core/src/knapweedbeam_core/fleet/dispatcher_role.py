"""Which process dispatches: chosen by each process from the heartbeats it hears.

No vote is taken, since the endpoints themselves refuse orders under a fencing token
lower than the highest they have seen. So two dispatchers at a time cost work and
never break a promise, and a failure domain that is cut off, or a deployment whose
core VMs are all down, goes on with a dispatcher of its own.

A dispatcher in office is kept as long as it is heard: a change stops nothing that
runs but costs the time of one silence. Processes that know endpoints go before those
that don't, and core VMs before entry VMs. One in office that is to be replaced goes
on until the next one has taken the office.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import membership, messages

# The low bits of a fencing token name the process that made it.
PROCESS_BITS = 20
# A dispatcher that nobody follows for this long retires.
UNFOLLOWED_MS = 1_000
# Entry VMs that miss the one in office may still be outnumbered by others that hear it.
# After this long, beside the silence that they waited for before, the office is taken.
CONTEST_MS = 300
# A process that just started first listens, so as not to disturb one in office.
LISTEN_MS = 600


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The dispatcher that a process follows, empty for none, and its token."""

    name: str
    generation: int


def build_generation(highest: int, wall_ms: int, process_number: int) -> int:
    """Return a fencing token above `highest` that no other process makes.

    Seconds of the time of day keep tokens rising when every process forgot them.
    """
    counter = max((highest >> PROCESS_BITS) + 1, wall_ms // clock.SECOND_MS)
    mask = (1 << PROCESS_BITS) - 1
    return (counter << PROCESS_BITS) | (process_number & mask)


class DispatcherRole:
    """One process's view of who dispatches, and its own claim."""

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
        self.barred_until_ms = 0
        self.unwanted_ms = timer.now_ms()

    def choose(self, own: messages.Presence) -> Choice:
        """Return the dispatcher to follow, this process included."""
        standbys = self.members.get_standbys()
        candidates = [
            known
            for known in (own, *self.members.get_live())
            if not known.is_stopping and (known.is_core or known.name in standbys)
        ]
        if not candidates:
            return Choice("", 0)
        best = min(candidates, key=get_rank)
        return Choice(best.name, best.generation)

    def update(self, own: messages.Presence) -> Choice:
        """Choose anew; claim the office or leave it as the choice asks."""
        now_ms = self.clock.now_ms()
        if now_ms - self.started_ms < LISTEN_MS:
            return self.following
        self.following = self.choose(own)
        if self.following.name != own.name:
            self.yield_to(self.following)
        elif self.generation == 0:
            self.claim(now_ms)
        elif self.is_followed():
            self.followed_ms = now_ms
        elif now_ms - self.followed_ms > UNFOLLOWED_MS:
            self.generation = 0
        if self.following.name == own.name:
            self.following = Choice(own.name, self.generation)
        return self.following

    def yield_to(self, other: Choice) -> None:
        """Leave the office once another process has taken it."""
        if other.generation > self.generation or not other.name:
            self.generation = 0

    def claim(self, now_ms: int) -> None:
        """Take the office once all entry VMs that are heard follow this process.

        Where only some do, and for a while, the one in office is out of their reach and
        of this process's, and the others can change over.
        """
        if not self.is_wanted():
            self.unwanted_ms = now_ms
        is_contest = now_ms - self.unwanted_ms > CONTEST_MS
        if now_ms < self.barred_until_ms or not (self.is_followed() or is_contest):
            return
        highest = self.members.highest_generation
        self.generation = build_generation(
            highest, self.clock.wall_ms(), self.process_number
        )
        self.members.highest_generation = self.generation
        self.followed_ms = now_ms

    def is_wanted(self) -> bool:
        """Say whether an entry VM wants this process to dispatch, and hears no other.

        A process that hears one in office leaves the office to it.
        """
        live = self.members.get_live()
        if any(known.generation for known in live):
            return False
        name = self.members.name
        return any(p.following == name for p in live if not p.is_core)

    def is_followed(self) -> bool:
        """Say whether this process is the choice of the entry VMs that it hears."""
        name = self.members.name
        followers = [p.following for p in self.members.get_live() if not p.is_core]
        if not followers:
            return not self.members.is_core
        if self.generation:
            return name in followers
        return all(following in (name, "") for following in followers)

    def handle_refused_token(self, pause_ms: int) -> None:
        """Leave the office: an endpoint has seen a higher token."""
        self.generation = 0
        self.barred_until_ms = self.clock.now_ms() + pause_ms


def get_rank(known: messages.Presence) -> tuple[bool, bool, int, str]:
    """Return what orders candidates, the best one first."""
    return (not known.is_ready, not known.is_core, -known.generation, known.name)
