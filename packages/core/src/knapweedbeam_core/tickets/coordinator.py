"""At-most-once execution in an entry VM: owner, witness, resolver and own keys."""

from __future__ import annotations

import dataclasses
import random

from knapweedbeam_core import (
    clock,
    effects,
    ids,
    jobs,
    outcomes,
    reasons,
    rules,
)
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    job_data,
    key_claims,
    message_router,
    owner,
    range_assignment,
    registrar,
    resolver,
    ticket_codec,
    witness,
    witnesses,
)

MAX_MINT_COUNT = 1_000
NONCE_BITS = 8 * ticket_codec.NONCE_BYTES


class Coordinator:
    """Implements `parts.Coordinator`."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        peers: tuple[parts.Peer, ...],
        key: bytes,
        clock: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.domain = domain
        self.key = key
        self.clock = clock
        self.rng = rng
        self.memory_budget = job_data.MemoryBudget()
        self.witness_selector = witnesses.WitnessSelector(me, rng)
        self.owner = owner.Owner(me, clock, self.memory_budget, self.witness_selector)
        self.witness = witness.Witness(me, clock, self.memory_budget)
        self.resolver = resolver.Resolver(me, domain, clock, self.memory_budget)
        assignment = range_assignment.build_initial_assignment(me.name, domain, peers)
        self.registrar = registrar.Registrar(me, domain, clock, assignment)
        self.key_claimer = key_claims.KeyClaimer(
            assignment, clock, self.memory_budget, self.submit
        )
        self.router = message_router.MessageRouter(
            me,
            key,
            clock,
            self.owner,
            self.witness,
            self.resolver,
            self.registrar,
            self.key_claimer,
        )

    def get_message_classes(self) -> tuple[type, ...]:
        """Return the message classes that `on_message` handles."""
        return tuple(self.router.handlers)

    def mint(self, member: str, count: int) -> tuple[str, ...] | outcomes.Refusal:
        """Mint `count` tickets that this process owns."""
        if self.owner.is_stopping:
            return outcomes.Refusal(reasons.Reason.STOPPING)
        if not 1 <= count <= MAX_MINT_COUNT:
            return outcomes.Refusal(
                reasons.Reason.INVALID, f"count 1 to {MAX_MINT_COUNT}"
            )
        witness_id = self.witness_selector.select(count)
        return tuple(self.mint_one(member, witness_id) for _ in range(count))

    def mint_one(self, member: str, witness_id: ids.ProcessId | None) -> str:
        """Mint a ticket with the given witness, or without one."""
        body = ticket_codec.Body(
            self.domain,
            self.me.name,
            self.me.incarnation,
            witness_id.name if witness_id is not None else "",
            witness_id.incarnation if witness_id is not None else 0,
            self.clock.wall_ms(),
            self.clock.now_ms(),
            self.rng.getrandbits(NONCE_BITS).to_bytes(ticket_codec.NONCE_BYTES),
        )
        return ticket_codec.mint(self.key, member, body)

    def submit(self, job: jobs.Job) -> parts.Effects:
        """Submit a job under its ticket, which any process may own."""
        ticket = ticket_codec.parse(self.key, job.ticket, job.member)
        if isinstance(ticket, outcomes.Refusal):
            return [effects.Answer(job.ticket, ticket)]
        if ticket.owner == self.me:
            return self.deliver_locally(self.owner.submit(ticket, job, self.me))
        if self.owner.is_stopping:
            stopping = outcomes.Refusal(reasons.Reason.STOPPING)
            return [
                effects.Answer(
                    job.ticket, stopping, job_data.get_submission_digest(job)
                )
            ]
        return self.deliver_locally(self.resolver.submit(ticket, job))

    def submit_new(
        self, job: jobs.Job, key: str
    ) -> tuple[str, parts.Effects] | outcomes.Refusal:
        """Submit a job without a ticket; an empty `key` means no own key."""
        minted = self.mint(job.member, 1)
        if isinstance(minted, outcomes.Refusal):
            return minted
        (text,) = minted
        named_job = dataclasses.replace(job, ticket=text)
        if not key:
            return text, self.submit(named_job)
        digest = range_assignment.get_key_digest(self.key, job.member, key)
        claimed = self.key_claimer.claim(named_job, digest)
        if isinstance(claimed, outcomes.Refusal):
            return claimed
        return text, self.deliver_locally(claimed)

    def look_up(self, ticket_text: str, member: str) -> parts.Effects:
        """Request a job's outcome; an `Answer` follows once it is known."""
        ticket = ticket_codec.parse(self.key, ticket_text, member)
        if isinstance(ticket, outcomes.Refusal):
            return [effects.Answer(ticket_text, ticket)]
        if ticket.owner == self.me:
            return self.deliver_locally(self.owner.look_up(ticket, self.me))
        return self.deliver_locally(self.resolver.look_up(ticket, member))

    def cancel(self, ticket_text: str, member: str) -> parts.Effects:
        """Cancel a job, which any process may own."""
        ticket = ticket_codec.parse(self.key, ticket_text, member)
        if isinstance(ticket, outcomes.Refusal):
            return [effects.Answer(ticket_text, ticket)]
        if ticket.owner == self.me:
            return self.deliver_locally(self.owner.cancel(ticket, member, self.me))
        return self.deliver_locally(self.resolver.cancel(ticket, member))

    def on_live(self, live: frozenset[ids.ProcessId]) -> parts.Effects:
        """Update the live entry VMs of this failure domain, including this one."""
        self.witness.live = live
        change = self.witness_selector.update(live)
        produced = self.owner.on_live(change)
        return self.deliver_locally(produced + self.resolver.on_live(live))

    def begin(self, ticket_text: str) -> parts.Effects:
        """Have a job recorded as begun; `JobBegun` or `JobAbandoned` follows."""
        return self.deliver_locally(self.owner.begin(ticket_text))

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        """Store a job's outcome and answer the waiting callers."""
        return self.deliver_locally(self.owner.settle(ticket_text, outcome))

    def is_idle(self) -> bool:
        """Return whether all outcomes are recorded and no request is pending.

        Outcomes for witnesses that cannot be reached do not count.
        """
        unrecorded = any(
            self.witness_selector.is_usable(witness)
            for witness in self.owner.records.open_by_witness
        )
        return not (
            unrecorded or self.resolver.watches.by_text or self.key_claimer.pending
        )

    def stop(self) -> parts.Effects:
        """Start a graceful stop: mint no tickets and accept no jobs."""
        self.owner.is_stopping = True
        return []

    def on_assignment(self, new: range_assignment.RangeAssignment) -> parts.Effects:
        """Switch to the registrars of an epoch that began while this process ran."""
        self.registrar.on_assignment(new)
        self.key_claimer.assignment = new
        return []

    def on_rules(self, new: rules.Rules) -> parts.Effects:
        """Apply the rules of a newer bundle."""
        self.owner.rules = new
        return []

    def tick(self) -> parts.Effects:
        """Perform all due work."""
        produced = self.owner.tick()
        produced += self.witness.tick()
        produced += self.resolver.tick()
        produced += self.registrar.tick()
        produced += self.key_claimer.tick()
        return self.deliver_locally(produced)

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Handle a message; the link has authenticated its sender."""
        return self.deliver_locally(self.router.handle(sender, message))

    def deliver_locally(self, produced: parts.Effects) -> parts.Effects:
        """Handle messages addressed to this process and return the other effects."""
        outbound: parts.Effects = []
        pending = produced[::-1]
        while pending:
            effect = pending.pop()
            if isinstance(effect, effects.Send) and effect.to == self.me.name:
                pending += self.router.handle(self.me, effect.message)[::-1]
            elif isinstance(effect, effects.Answer):
                outbound += self.key_claimer.add_handles(effect)
            else:
                outbound.append(effect)
        return outbound
