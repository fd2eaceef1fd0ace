"""Proposals on their way: from operators to the leader, and back as answers."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.control import (
    deciding,
    messages,
    proposing,
    spreading,
    table,
)
from knapweedbeam_core.entry import parts


class Rolling:
    """The calls made at this node, and the decisions where it leads."""

    def __init__(
        self,
        me: ids.ProcessId,
        spread: spreading.Spread,
        held: table.Table,
        decider: deciding.Decider | None,
        timer: clock.Clock,
    ) -> None:
        self.me = me
        self.spread = spread
        self.table = held
        self.decider = decider
        self.proposer = proposing.Proposer(timer)
        self.clock = timer
        self.leader_asks_ms = 0

    def go_on(self) -> parts.Effects:
        """Decide and send what can be."""
        produced: parts.Effects = []
        if self.decider is not None:
            produced += self.run_decider(self.decider)
        if self.proposer.calls:
            produced += self.send_attempts()
            self.proposer.expire()
        return produced

    def on_propose(
        self, sender: ids.ProcessId, attempt: messages.ProposeBundle
    ) -> parts.Effects:
        """Decide on a proposal, if this is the leader."""
        request = deciding.Request(sender, attempt.call, attempt.attempt, attempt.text)
        if self.decider is None:
            refused = deciding.decide(request, messages.Verdict.NO_QUORUM)
            return [effects.Send(sender.name, refused.proposed)]
        return self.decider.take(request, attempt.term)

    def on_proposed(
        self, sender: ids.ProcessId, proposed: messages.BundleProposed
    ) -> parts.Effects:
        """Take the leader's answer to a proposal made here."""
        if proposed.table.rows:
            self.table.keep(proposed.table)
        self.proposer.take(proposed)
        return []

    def run_decider(self, decider: deciding.Decider) -> parts.Effects:
        """Go on deciding, and send what is decided."""
        produced = decider.step()
        if decider.spreading:
            decider.release(self.table.get_spread_version())
        for decision in decider.take_decisions():
            sender = decision.request.sender
            proposed = decision.proposed
            if proposed.verdict == messages.Verdict.ACCEPTED:
                proposed = dataclasses.replace(proposed, table=self.table.build())
            if sender == self.me:
                self.proposer.take(proposed)
            else:
                produced.append(effects.Send(sender.name, proposed))
        return produced

    def send_attempts(self) -> parts.Effects:
        """Send due proposals to the leader, or look for one."""
        leader = self.spread.leader
        if not leader.name:
            return self.look_for_leader()
        sent: parts.Effects = []
        for attempt in self.proposer.get_due(leader.term):
            if leader.name == self.me.name:
                sent += self.on_propose(self.me, attempt)
                continue
            sent.append(effects.Send(leader.name, attempt))
            if not self.spread.has_leader():
                sent += self.look_for_leader()
        if sent and self.decider is not None:
            sent += self.run_decider(self.decider)
        return sent

    def look_for_leader(self) -> parts.Effects:
        """Ask every replica who leads, a few times a second at most."""
        now_ms = self.clock.now_ms()
        if now_ms < self.leader_asks_ms:
            return []
        self.leader_asks_ms = now_ms + proposing.RETRY_MS
        return self.spread.ask(self.spread.replicas)
