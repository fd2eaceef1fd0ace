"""The part of an entry VM that rolls out bundles and enforces limits."""

from __future__ import annotations

import collections.abc
import random
import typing

from knapweedbeam_core import clock, effects, ids, outcomes, reasons, rules
from knapweedbeam_core.bundles import compile
from knapweedbeam_core.control import (
    distribution,
    ledger,
    limit_sharing,
    messages,
    proposal_processor,
    proposal_router,
    proposer,
    version_table,
)
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter
from knapweedbeam_core.log import members, records, replica
from knapweedbeam_core.log import messages as log_messages

VOLATILE_IDENTITY: typing.Final = "volatile"


class Control:
    """Proposals, the log if there is a data folder, distribution, and limits.

    A process without peers and without a data folder keeps its log in memory.
    """

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        peers: tuple[parts.Peer, ...],
        is_replica: bool,
        restored: records.RestoredState,
        operator_keys: tuple[bytes, ...],
        needed_signatures: int,
        timer: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.clock = timer
        self.distributor = distribution.BundleDistributor(me, domain, peers, timer)
        self.table = version_table.VersionTable(self.distributor, domain, peers, timer)
        self.ledger = ledger.Ledger()
        self.initial_control_vms = self.get_initial_control_vms(peers, is_replica)
        self.replica: replica.Replica | None = None
        self.notified_term = 0
        if is_replica or not peers:
            self.replica = self.build_replica(is_replica, restored, rng)
        self.processor: proposal_processor.ProposalProcessor | None = None
        if self.replica is not None:
            self.processor = proposal_processor.ProposalProcessor(
                self.replica, self.ledger, timer, operator_keys, needed_signatures
            )
        self.limit_sharing = limit_sharing.LimitSharing(
            me, self.distributor, self.ledger, self.replica, timer
        )
        self.proposal_router = proposal_router.ProposalRouter(
            me, self.distributor, self.table, self.processor, timer
        )
        self.handlers = self.build_handlers()

    def build_replica(
        self, is_replica: bool, restored: records.RestoredState, rng: random.Random
    ) -> replica.Replica:
        """Return this node's replica, which is volatile without a data folder."""
        identity = restored.identity if is_replica else VOLATILE_IDENTITY
        return replica.Replica(
            members.ReplicaId(self.me.name, identity),
            self.initial_control_vms,
            restored,
            self.ledger,
            self.clock,
            rng,
            volatile=not is_replica,
        )

    def get_initial_control_vms(
        self, peers: tuple[parts.Peer, ...], is_replica: bool
    ) -> tuple[str, ...]:
        """Return the control VMs named by the settings."""
        names = [peer.name for peer in peers if peer.control]
        if is_replica or not peers:
            names.append(self.me.name)
        return tuple(sorted(names))

    def build_handlers(
        self,
    ) -> dict[
        type, collections.abc.Callable[[ids.ProcessId, typing.Any], parts.Effects]
    ]:
        """Return the handler of each message class about bundles and limits."""
        return {
            messages.BundleAsk: self.on_bundle_ask,
            messages.BundleNotice: self.on_notice,
            messages.BundleFetch: self.on_fetch,
            messages.BundleText: self.on_text,
            messages.ProposeBundle: self.proposal_router.on_propose,
            messages.BundleProposed: self.proposal_router.on_proposed,
            messages.InForceTable: self.on_table,
            **self.limit_sharing.handlers,
        }

    def get_message_classes(self) -> tuple[type, ...]:
        """Return the message classes that `on_message` accepts."""
        return messages.CLASSES + log_messages.CLASSES

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Handle a message; the link has authenticated its sender."""
        self.table.record_contact(sender.name)
        handler = self.handlers.get(type(message))
        if handler is not None:
            return self.process_pending(handler(sender, message))
        return self.process_pending(self.on_log_message(sender, message))

    def on_log_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Handle a message between replicas, unless its sender claims another name."""
        log_message = typing.cast(log_messages.Message, message)
        if self.replica is None or log_message.sender.name != sender.name:
            return []
        return self.replica.on_message(log_message)

    def on_bundle_ask(
        self, sender: ids.ProcessId, request: messages.BundleAsk
    ) -> parts.Effects:
        """Reply with the bundle in force; the leader also sends its table."""
        sent = self.distributor.on_bundle_ask(sender.name, request)
        if not self.is_leader():
            return sent
        self.table.record_version(sender.name, request.version)
        self.distributor.settled_version = self.table.get_settled_version()
        return sent + self.table.send_if_changed(sender.name, request.revision)

    def on_notice(
        self, sender: ids.ProcessId, notice: messages.BundleNotice
    ) -> parts.Effects:
        """Handle a notice of the bundle in force at another node."""
        return self.distributor.on_notice(sender.name, notice)

    def on_fetch(
        self, sender: ids.ProcessId, fetch: messages.BundleFetch
    ) -> parts.Effects:
        """Send the text of the bundle in force."""
        return self.distributor.on_fetch(sender.name, fetch)

    def on_text(
        self, sender: ids.ProcessId, text: messages.BundleText
    ) -> parts.Effects:
        """Put a fetched bundle in force."""
        before = self.distributor.current
        sent = self.distributor.on_text(sender.name, text)
        return self.apply_rules(before) + sent

    def on_table(
        self, sender: ids.ProcessId, leader_table: messages.InForceTable
    ) -> parts.Effects:
        """Store a copy of the leader's table."""
        if sender.name == self.distributor.leader.name:
            self.table.store_copy(leader_table)
        return []

    def on_rules(self, new: rules.Rules) -> parts.Effects:
        """Do nothing: the rules come from this part."""
        return []

    def tick(self) -> parts.Effects:
        """Run periodic work of the replica, the distribution and the limits."""
        produced: parts.Effects = []
        if self.replica is not None:
            produced += self.replica.tick()
        produced += self.distributor.tick()
        produced += self.limit_sharing.tick()
        if self.notified_term:
            produced += self.table.push_again()
        return self.process_pending(produced)

    def process_pending(self, produced: parts.Effects) -> parts.Effects:
        """Add the effects of applied commands, decisions and ended calls."""
        produced += self.update_leader()
        produced += self.apply_ledger_events()
        produced += self.proposal_router.process_pending()
        results = self.proposal_router.proposer.take_results()
        return produced + [self.build_answer(result) for result in results]

    def update_leader(self) -> parts.Effects:
        """Record the replica's leader; notify every entry VM on becoming the leader."""
        own = self.replica
        if own is None:
            return []
        term = own.wal.term
        if own.leader is None:
            self.notified_term = 0
            if self.distributor.leader.name == self.me.name:
                self.distributor.leader.name = ""
            return []
        sent = self.distributor.set_leader(term, own.leader.name)
        self.distributor.leader_contact_ms = self.clock.now_ms()
        if own.leader_state is None:
            self.notified_term = 0
        elif self.notified_term != term and own.is_caught_up:
            self.notified_term = term
            sent += self.distributor.notify(self.table.rows)
        return sent

    def apply_ledger_events(self) -> parts.Effects:
        """Handle applied claims and grants; put the newest accepted bundle in force."""
        if not self.ledger.events:
            return []
        events = self.ledger.take_events()
        new_bundles = [e.bundle for e in events if isinstance(e, ledger.BundleApplied)]
        produced: parts.Effects = []
        for event in events:
            if isinstance(event, ledger.ShareClaimed):
                produced += self.limit_sharing.on_claim_applied(event)
            if isinstance(event, ledger.TokensGranted):
                produced += self.limit_sharing.on_grant_applied(event.grant)
        if new_bundles:
            produced += self.put_in_force(new_bundles[-1])
        return produced

    def put_in_force(self, newest: ledger.RollBundle) -> parts.Effects:
        """Put a bundle in force that the log has accepted."""
        before = self.distributor.current
        self.distributor.put_in_force(newest.version, newest.digest, newest.text)
        produced = self.apply_rules(before)
        if self.is_leader():
            produced += self.table.start_push()
        elif produced:
            produced += self.distributor.acknowledge("", True)
        if self.processor is not None:
            produced += self.processor.on_applied()
        return produced

    def apply_rules(self, before: distribution.InForce | None) -> parts.Effects:
        """Apply the bundle in force and return its rules, if it replaced `before`."""
        current = self.distributor.current
        if current is None or current is before:
            return []
        if self.processor is not None and current.version >= self.ledger.version:
            self.processor.apply_bundle(current.bundle)
        if self.replica is not None:
            self.replica.targets = frozenset(
                current.bundle.control_vms or self.initial_control_vms
            )
        self.limit_sharing.apply_bundle(current.bundle)
        compiled = compile.compile_rules(current.bundle, current.digest)
        return [parts.RulesInForce(compiled)]

    def build_answer(self, ended: proposer.CallResult) -> parts.ProposalAnswered:
        """Return the answer to a call, with the versions in force."""
        result = ended.result
        if isinstance(result, outcomes.Refusal):
            return parts.ProposalAnswered(ended.call, result)
        accepted = parts.Accepted(
            result.version, result.digest, result.again, self.get_status()
        )
        return parts.ProposalAnswered(ended.call, accepted)

    def is_leader(self) -> bool:
        """Return whether this node leads and has applied all committed entries."""
        return self.replica is not None and self.replica.is_caught_up

    def propose(self, call: int, bundle: str) -> parts.Effects:
        """Propose a signed bundle; `ProposalAnswered` with `call` follows."""
        self.proposal_router.proposer.add(call, bundle)
        return self.process_pending([])

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return an accepted bundle's text; version 0 means the newest."""
        current = self.distributor.current
        if current is not None and version in (0, current.version):
            return current.text
        stored = self.ledger.texts.get(version)
        if stored is not None:
            return stored.text
        return outcomes.Refusal(reasons.Reason.NOT_FOUND, f"version {version}")

    def get_status(self) -> parts.BundleStatus:
        """Return which bundles are in force, as known to this node."""
        latest = self.table.get_latest(self.is_leader())
        rows = {row.name: row.version for row in latest.rows}
        rows[self.me.name] = self.distributor.version
        return parts.BundleStatus(
            self.distributor.version,
            self.distributor.digest,
            tuple(sorted(rows.items())),
            latest.unreachable_domains,
            self.distributor.leader.name,
        )

    def get_limiter(self) -> parts.Limiter:
        """Return the limits that the dispatcher checks."""
        return self.limit_sharing.limiter

    def get_usage(self, member: str) -> tuple[limiter.LimitUsage, ...]:
        """Return a member's limits and its usage of them at this node."""
        return self.limit_sharing.limiter.get_usage(member)

    def persisted(self, batch: int) -> parts.Effects:
        """Continue after the records of a `Persist` effect are synced to disk."""
        if self.replica is None:
            return []
        return self.process_pending(self.replica.persisted(batch))

    def hand_over(self) -> parts.Effects:
        """Stop leading, as this node cannot write for now; its replica goes on."""
        if self.replica is not None and self.replica.leader_state is not None:
            self.replica.step_down()
        return self.process_pending([])

    def persist_failed(self) -> parts.Effects:
        """Stop this node's replica because writing its data folder failed."""
        if self.replica is not None:
            self.replica.stop()
        return self.process_pending([])

    def is_ready(self) -> bool:
        """Return whether this node has a bundle and asked all reachable nodes."""
        return self.distributor.is_ready()
