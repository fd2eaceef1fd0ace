"""Decides which members get a heartbeat, how often, and with what content.

Load: hundreds of processes that stand by. The fast rate is kept only where a loss must
be noticed within half a second: among core VMs, from a dispatcher to the processes that
follow it, and from an entry VM to the dispatcher that has its jobs. All other members
get a heartbeat a second. A heartbeat carries the sender's state only when that has
changed, on a new link or on request; every few seconds it is repeated.

When the dispatcher is lost, the members at the slow rate that matter now are asked for
a heartbeat, so that another loss at the same time is noticed just as soon.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.fleet import membership, messages

# The state is repeated in case a message was dropped from a full queue.
REPEAT_INTERVAL_MS = 5_000
# An entry VM stays at the fast rate for this long after its last open job, so that the
# rate does not change with each job.
BUSY_GRACE_MS = 1_000


class Heartbeats:
    """The heartbeats that one process sends.

    `sent` is the state in the last heartbeats, `pending` the peers that get it next,
    `questions` those of them that are asked for a reply.
    """

    def __init__(self, members: membership.Membership, timer: clock.Clock) -> None:
        self.members = members
        self.clock = timer
        self.sent: messages.Presence | None = None
        self.fast: set[str] = set()
        self.slow: set[str] = set()
        self.rates_basis: tuple[int, int, bool, str] | None = None
        self.pending: set[str] = set()
        self.questions: set[str] = set()
        self.fast_due_ms = 0
        self.slow_due_ms = 0
        self.repeat_due_ms = 0
        self.busy_until_ms = -1

    def on_link_up(self, name: str) -> None:
        """Send this process's state on a new link."""
        self.pending.add(name)

    def on_question(self, name: str) -> None:
        """Send a heartbeat to a member that asked for one."""
        self.pending.add(name)

    def ask_members(self, only_candidates: bool) -> None:
        """Ask the responsive members at the slow rate for a heartbeat.

        `only_candidates` leaves out those that cannot dispatch.
        """
        candidates = set(self.members.candidates)
        for presence in self.members.get_live():
            name = presence.name
            if only_candidates and name not in candidates:
                continue
            member = self.members.members[name]
            if member.interval_ms > membership.FAST_INTERVAL_MS:
                self.ask(name)

    def ask(self, name: str) -> None:
        """Ask a member for a heartbeat."""
        self.members.record_question(name)
        self.questions.add(name)

    def build(
        self, presence: messages.Presence, has_open_jobs: bool
    ) -> list[effects.Send]:
        """Return the heartbeats that are due; `presence` is this process's state."""
        now_ms = self.clock.now_ms()
        if has_open_jobs:
            self.busy_until_ms = now_ms + BUSY_GRACE_MS
        self.update_rates(presence, now_ms < self.busy_until_ms)
        is_repeat = now_ms >= self.repeat_due_ms
        if is_repeat or presence != self.sent:
            self.sent = presence
            self.pending |= self.fast | self.slow
            self.repeat_due_ms = now_ms + REPEAT_INTERVAL_MS
        due = self.build_due(now_ms)
        produced = self.build_states(presence)
        return produced + due

    def update_rates(self, presence: messages.Presence, is_busy: bool) -> None:
        """Find the rate of each peer; a new rate is announced at once."""
        is_dispatching = presence.generation != 0
        busy_with = presence.using if is_busy else ""
        versions = (self.members.version, self.members.link_version)
        basis = (*versions, is_dispatching, busy_with)
        if basis == self.rates_basis:
            return
        self.rates_basis = basis
        peers = self.members.get_link_peers()
        fast = {name for name in peers if self.is_fast(name, is_dispatching, busy_with)}
        self.pending |= fast ^ (self.fast & peers)
        self.fast = fast
        self.slow = peers - fast

    def is_fast(self, name: str, is_dispatching: bool, busy_with: str) -> bool:
        """Return whether a peer must notice a loss of this process soon."""
        if is_dispatching or name == busy_with:
            return True
        member = self.members.members.get(name)
        if member is None or member.presence is None:
            return False
        presence = member.presence
        own_name = self.members.name
        is_core_pair = self.members.is_core and presence.is_core
        return is_core_pair or own_name in (presence.following, presence.using)

    def build_due(self, now_ms: int) -> list[effects.Send]:
        """Return the heartbeats without state that are due."""
        produced: list[effects.Send] = []
        if now_ms >= self.fast_due_ms:
            self.fast_due_ms = now_ms + membership.FAST_INTERVAL_MS
            alive = messages.Alive(membership.FAST_INTERVAL_MS)
            names = sorted(self.fast - self.pending - self.questions)
            produced += [effects.Send(name, alive) for name in names]
        if now_ms >= self.slow_due_ms:
            self.slow_due_ms = now_ms + membership.SLOW_INTERVAL_MS
            alive = messages.Alive(membership.SLOW_INTERVAL_MS)
            names = sorted(self.slow - self.pending - self.questions)
            produced += [effects.Send(name, alive) for name in names]
        return produced

    def build_states(self, presence: messages.Presence) -> list[effects.Send]:
        """Return the heartbeats with state that are pending."""
        targets = self.pending | self.questions
        if not targets:
            return []
        fast = dataclasses.replace(presence, interval_ms=membership.FAST_INTERVAL_MS)
        slow = dataclasses.replace(fast, interval_ms=membership.SLOW_INTERVAL_MS)
        produced = []
        for name in sorted(targets):
            state = fast if name in self.fast else slow
            if name in self.questions:
                state = dataclasses.replace(state, wants_reply=True)
            produced.append(effects.Send(name, state))
        self.pending.clear()
        self.questions.clear()
        return produced
