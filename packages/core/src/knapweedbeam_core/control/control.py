"""The part of an entry VM that rolls bundles and keeps limits."""

from __future__ import annotations

import collections.abc
import random
import typing

from knapweedbeam_core import clock, effects, ids, outcomes, reasons, rules
from knapweedbeam_core.bundles import compile
from knapweedbeam_core.control import (
    deciding,
    ledger,
    messages,
    proposing,
    rolling,
    sharing,
    spreading,
    table,
)
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter
from knapweedbeam_core.log import members, records, replica
from knapweedbeam_core.log import messages as log_messages

VOLATILE_IDENTITY: typing.Final = "volatile"


class Control:
    """Proposals, the log where there is a data folder, spread, and limits.

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
        self.spread = spreading.Spread(me, domain, peers, timer)
        self.table = table.Table(self.spread, domain, peers, timer)
        self.ledger = ledger.Ledger()
        self.founders = self.get_founders(peers, is_replica)
        self.replica: replica.Replica | None = None
        self.led_term = 0
        if is_replica or not peers:
            self.replica = self.build_replica(is_replica, restored, rng)
        self.decider: deciding.Decider | None = None
        if self.replica is not None:
            self.decider = deciding.Decider(
                self.replica, self.ledger, timer, operator_keys, needed_signatures
            )
        self.sharing = sharing.Sharing(
            me, self.spread, self.ledger, self.replica, timer
        )
        self.rolling = rolling.Rolling(me, self.spread, self.table, self.decider, timer)
        self.handlers = self.build_handlers()

    def build_replica(
        self, is_replica: bool, restored: records.RestoredState, rng: random.Random
    ) -> replica.Replica:
        """Return this node's replica; without a data folder it is volatile."""
        identity = restored.identity if is_replica else VOLATILE_IDENTITY
        return replica.Replica(
            members.ReplicaId(self.me.name, identity),
            self.founders,
            restored,
            self.ledger,
            self.clock,
            rng,
            volatile=not is_replica,
        )

    def get_founders(
        self, peers: tuple[parts.Peer, ...], is_replica: bool
    ) -> tuple[str, ...]:
        """Return the control VMs that the settings name."""
        names = [peer.name for peer in peers if peer.control]
        if is_replica or not peers:
            names.append(self.me.name)
        return tuple(sorted(names))

    def build_handlers(
        self,
    ) -> dict[
        type, collections.abc.Callable[[ids.ProcessId, typing.Any], parts.Effects]
    ]:
        """Return who takes which message about bundles."""
        return {
            messages.BundleAsk: self.on_ask,
            messages.BundleNotice: self.on_notice,
            messages.BundleFetch: self.on_fetch,
            messages.BundleText: self.on_text,
            messages.ProposeBundle: self.rolling.on_propose,
            messages.BundleProposed: self.rolling.on_proposed,
            messages.InForceTable: self.on_table,
            **self.sharing.handlers,
        }

    def get_message_classes(self) -> tuple[type, ...]:
        """Return the message classes that `on_message` takes."""
        return messages.CLASSES + log_messages.CLASSES

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Take a message; the link has authenticated its sender."""
        self.table.hear(sender.name)
        handler = self.handlers.get(type(message))
        if handler is not None:
            return self.go_on(handler(sender, message))
        return self.go_on(self.on_log_message(sender, message))

    def on_log_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Take a message between replicas, if its sender speaks for itself."""
        taken = typing.cast(log_messages.Message, message)
        if self.replica is None or taken.sender.name != sender.name:
            return []
        return self.replica.on_message(taken)

    def on_ask(self, sender: ids.ProcessId, ask: messages.BundleAsk) -> parts.Effects:
        """Answer what is in force here, and everywhere if this is the leader."""
        sent = self.spread.on_ask(sender.name, ask)
        if not self.is_leader():
            return sent
        self.table.note(sender.name, ask.version)
        self.spread.settled = self.table.get_settled()
        return sent + self.table.answer(sender.name, ask.revision)

    def on_notice(
        self, sender: ids.ProcessId, notice: messages.BundleNotice
    ) -> parts.Effects:
        """Learn what is in force at another node."""
        return self.spread.on_notice(sender.name, notice)

    def on_fetch(
        self, sender: ids.ProcessId, fetch: messages.BundleFetch
    ) -> parts.Effects:
        """Send the bundle in force."""
        return self.spread.on_fetch(sender.name, fetch)

    def on_text(
        self, sender: ids.ProcessId, text: messages.BundleText
    ) -> parts.Effects:
        """Put a fetched bundle in force."""
        before = self.spread.current
        sent = self.spread.on_text(sender.name, text)
        return self.obey(before) + sent

    def on_table(
        self, sender: ids.ProcessId, held: messages.InForceTable
    ) -> parts.Effects:
        """Keep the leader's table."""
        if sender.name == self.spread.leader.name:
            self.table.keep(held)
        return []

    def on_rules(self, new: rules.Rules) -> parts.Effects:
        """Do nothing: the bundle came from here."""
        return []

    def tick(self) -> parts.Effects:
        """Do what is due."""
        produced: parts.Effects = []
        if self.replica is not None:
            produced += self.replica.tick()
        produced += self.spread.tick()
        produced += self.sharing.tick()
        if self.led_term:
            produced += self.table.push_again()
        return self.go_on(produced)

    def go_on(self, produced: parts.Effects) -> parts.Effects:
        """Add what follows from what was applied, decided and answered."""
        produced += self.follow_leader()
        produced += self.follow_ledger()
        produced += self.rolling.go_on()
        ended = self.rolling.proposer.take_ended()
        return produced + [self.build_answer(call) for call in ended]

    def follow_leader(self) -> parts.Effects:
        """Tell every entry VM when this replica becomes the leader."""
        own = self.replica
        if own is None:
            return []
        term = own.wal.term
        if own.leader is None:
            self.led_term = 0
            if self.spread.leader.name == self.me.name:
                self.spread.leader.name = ""
            return []
        sent = self.spread.follow(term, own.leader.name)
        self.spread.leader_heard_ms = self.clock.now_ms()
        if own.leader_state is None:
            self.led_term = 0
        elif self.led_term != term and own.is_caught_up:
            self.led_term = term
            sent += self.spread.notify(self.table.rows)
        return sent

    def follow_ledger(self) -> parts.Effects:
        """Put the newest accepted bundle in force here."""
        if not self.ledger.events:
            return []
        events = self.ledger.take_events()
        rolled = [e.bundle for e in events if isinstance(e, ledger.BundleApplied)]
        produced: parts.Effects = []
        for event in events:
            if isinstance(event, ledger.ShareClaimed):
                produced += self.sharing.note_claim(event)
            if isinstance(event, ledger.TokensGranted):
                produced += self.sharing.note_grant(event.grant)
        if rolled:
            produced += self.put_in_force(rolled[-1])
        return produced

    def put_in_force(self, newest: ledger.RollBundle) -> parts.Effects:
        """Put a bundle in force that the log has as accepted."""
        before = self.spread.current
        self.spread.adopt(newest.version, newest.digest, newest.text)
        produced = self.obey(before)
        if self.is_leader():
            produced += self.table.start_push()
        elif produced:
            produced += self.spread.tell("", True)
        if self.decider is not None:
            produced += self.decider.on_applied()
        return produced

    def obey(self, before: spreading.InForce | None) -> parts.Effects:
        """Give the rules of a bundle that is newly in force."""
        current = self.spread.current
        if current is None or current is before:
            return []
        if self.decider is not None and current.version >= self.ledger.version:
            self.decider.obey(current.bundle)
        if self.replica is not None:
            self.replica.targets = frozenset(
                current.bundle.control_vms or self.founders
            )
        self.sharing.obey(current.bundle)
        compiled = compile.compile_rules(current.bundle, current.digest)
        return [parts.RulesInForce(compiled)]

    def build_answer(self, ended: proposing.Ended) -> parts.ProposalAnswered:
        """Return the answer to a call, with what is in force where."""
        result = ended.result
        if isinstance(result, outcomes.Refusal):
            return parts.ProposalAnswered(ended.call, result)
        accepted = parts.Accepted(
            result.version, result.digest, result.again, self.get_status()
        )
        return parts.ProposalAnswered(ended.call, accepted)

    def is_leader(self) -> bool:
        """Say whether this node leads and has applied everything."""
        return self.replica is not None and self.replica.is_caught_up

    def propose(self, call: int, bundle: str) -> parts.Effects:
        """Roll a signed bundle; `ProposalAnswered` follows with `call`."""
        self.rolling.proposer.add(call, bundle)
        return self.go_on([])

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return an accepted bundle's text; version 0 asks for the newest."""
        current = self.spread.current
        if current is not None and version in (0, current.version):
            return current.text
        stored = self.ledger.texts.get(version)
        if stored is not None:
            return stored.text
        return outcomes.Refusal(reasons.Reason.NOT_FOUND, f"version {version}")

    def get_status(self) -> parts.BundleStatus:
        """Return what this node knows of bundles in force."""
        held = self.table.get_best(self.is_leader())
        rows = {row.name: row.version for row in held.rows}
        rows[self.me.name] = self.spread.version
        return parts.BundleStatus(
            self.spread.version,
            self.spread.digest,
            tuple(sorted(rows.items())),
            held.unreachable_domains,
            self.spread.leader.name,
        )

    def get_limiter(self) -> parts.Limiter:
        """Return the limits as the dispatcher meets them."""
        return self.sharing.limiter

    def get_usage(self, member: str) -> tuple[limiter.LimitUsage, ...]:
        """Return a member's limits, and what it used of them at this node."""
        return self.sharing.limiter.get_usage(member)

    def persisted(self, batch: int) -> parts.Effects:
        """Go on after a `Persist` that is synced."""
        if self.replica is None:
            return []
        return self.go_on(self.replica.persisted(batch))

    def persist_failed(self) -> parts.Effects:
        """Stop this node's replica: its data folder failed."""
        if self.replica is not None:
            self.replica.stop()
        return self.go_on([])

    def is_ready(self) -> bool:
        """Say whether this node asked all it can reach and holds a bundle."""
        return self.spread.is_ready()
