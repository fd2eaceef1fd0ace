"""Routing of proposals from operators to the leader, and of the replies back."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.control import (
    distribution,
    messages,
    proposal_processor,
    proposer,
    version_table,
)
from knapweedbeam_core.entry import parts


class ProposalRouter:
    """Sends the calls made at this node and, at the leader, decides on proposals."""

    def __init__(
        self,
        me: ids.ProcessId,
        distributor: distribution.BundleDistributor,
        versions: version_table.VersionTable,
        processor: proposal_processor.ProposalProcessor | None,
        timer: clock.Clock,
    ) -> None:
        self.me = me
        self.distributor = distributor
        self.table = versions
        self.processor = processor
        self.proposer = proposer.Proposer(timer)
        self.clock = timer
        self.next_leader_request_ms = 0

    def process_pending(self) -> parts.Effects:
        """Process queued proposals, send due attempts and expire calls."""
        produced: parts.Effects = []
        if self.processor is not None:
            produced += self.run_processor(self.processor)
        if self.proposer.calls:
            produced += self.send_attempts()
            self.proposer.expire()
        return produced

    def on_propose(
        self, sender: ids.ProcessId, attempt: messages.ProposeBundle
    ) -> parts.Effects:
        """Pass a proposal to the processor; refuse it on a node without a replica."""
        request = proposal_processor.Request(
            sender, attempt.call, attempt.attempt, attempt.text
        )
        if self.processor is None:
            refused = proposal_processor.build_decision(
                request, messages.Verdict.NO_QUORUM
            )
            return [effects.Send(sender.name, refused.proposed)]
        return self.processor.handle_request(request, attempt.term)

    def on_proposed(
        self, sender: ids.ProcessId, proposed: messages.BundleProposed
    ) -> parts.Effects:
        """Handle the leader's reply to a proposal made here."""
        if proposed.table.rows:
            self.table.store_copy(proposed.table)
        self.proposer.handle_reply(proposed)
        return []

    def run_processor(
        self, processor: proposal_processor.ProposalProcessor
    ) -> parts.Effects:
        """Process queued proposals and send the decisions."""
        produced = processor.process_queue()
        if processor.deferred:
            processor.release_deferred(self.table.get_distributed_version())
        for decision in processor.take_decisions():
            sender = decision.request.sender
            proposed = decision.proposed
            if proposed.verdict == messages.Verdict.ACCEPTED:
                proposed = dataclasses.replace(proposed, table=self.table.build())
            if sender == self.me:
                self.proposer.handle_reply(proposed)
            else:
                produced.append(effects.Send(sender.name, proposed))
        return produced

    def send_attempts(self) -> parts.Effects:
        """Send due attempts to the leader, or look for a leader."""
        leader = self.distributor.leader
        if not leader.name:
            return self.request_leader()
        sent: parts.Effects = []
        for attempt in self.proposer.build_due_attempts(leader.term):
            if leader.name == self.me.name:
                sent += self.on_propose(self.me, attempt)
                continue
            sent.append(effects.Send(leader.name, attempt))
            if not self.distributor.has_leader():
                sent += self.request_leader()
        if sent and self.processor is not None:
            sent += self.run_processor(self.processor)
        return sent

    def request_leader(self) -> parts.Effects:
        """Ask every replica who the leader is, at most every `RETRY_MS`."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_leader_request_ms:
            return []
        self.next_leader_request_ms = now_ms + proposer.RETRY_MS
        return self.distributor.request_notices(self.distributor.replicas)
