"""At most once: the part of an entry VM that composes owner, witness and keys."""

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
    claiming,
    inbox,
    job_data,
    owner,
    registrar,
    resolver,
    roster,
    ticket,
    witness,
    witnesses,
)

MAX_MINT = 1_000
NONCE_BITS = 8 * ticket.NONCE_BYTES


class Coordinator:
    """Meets `parts.Coordinator`."""

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
        self.witnesses = witnesses.Witnesses(me, rng)
        self.owner = owner.Owner(me, clock, self.memory_budget, self.witnesses)
        self.witness = witness.Witness(me, clock, self.memory_budget)
        self.resolver = resolver.Resolver(me, domain, clock, self.memory_budget)
        first = roster.build_roster(me.name, domain, peers)
        self.registrar = registrar.Registrar(me, domain, clock, first)
        self.claiming = claiming.Claiming(first, clock, self.memory_budget, self.submit)
        self.inbox = inbox.Inbox(
            me,
            key,
            clock,
            self.owner,
            self.witness,
            self.resolver,
            self.registrar,
            self.claiming,
        )

    def get_message_classes(self) -> tuple[type, ...]:
        """Return the message classes that `on_message` takes."""
        return tuple(self.inbox.handlers)

    def mint(self, member: str, count: int) -> tuple[str, ...] | outcomes.Refusal:
        """Mint a block of tickets, owned here."""
        if self.owner.stopping:
            return outcomes.Refusal(reasons.Reason.STOPPING)
        if not 1 <= count <= MAX_MINT:
            return outcomes.Refusal(reasons.Reason.INVALID, f"count 1 to {MAX_MINT}")
        chosen = self.witnesses.choose(count)
        return tuple(self.mint_one(member, chosen) for _ in range(count))

    def mint_one(self, member: str, chosen: ids.ProcessId | None) -> str:
        """Mint one ticket that `chosen` watches over."""
        body = ticket.Body(
            self.domain,
            self.me.name,
            self.me.incarnation,
            chosen.name if chosen is not None else "",
            chosen.incarnation if chosen is not None else 0,
            self.clock.wall_ms(),
            self.clock.now_ms(),
            self.rng.getrandbits(NONCE_BITS).to_bytes(ticket.NONCE_BYTES),
        )
        return ticket.mint(self.key, member, body)

    def submit(self, job: jobs.Job) -> parts.Effects:
        """Take a submission under its ticket, which may be owned anywhere."""
        wanted = ticket.parse(self.key, job.ticket, job.member)
        if isinstance(wanted, outcomes.Refusal):
            return [effects.Answer(job.ticket, wanted)]
        if wanted.owner == self.me:
            return self.route(self.owner.submit(wanted, job, self.me))
        if self.owner.stopping:
            stopping = outcomes.Refusal(reasons.Reason.STOPPING)
            return [
                effects.Answer(
                    job.ticket, stopping, job_data.get_submission_digest(job)
                )
            ]
        return self.route(self.resolver.submit(wanted, job))

    def submit_new(
        self, job: jobs.Job, key: str
    ) -> tuple[str, parts.Effects] | outcomes.Refusal:
        """Take a submission without a ticket, under the caller's key or none."""
        minted = self.mint(job.member, 1)
        if isinstance(minted, outcomes.Refusal):
            return minted
        (text,) = minted
        named = dataclasses.replace(job, ticket=text)
        if not key:
            return text, self.submit(named)
        digest = roster.get_key_digest(self.key, job.member, key)
        claimed = self.claiming.claim(named, digest)
        if isinstance(claimed, outcomes.Refusal):
            return claimed
        return text, self.route(claimed)

    def look_up(self, ticket_text: str, member: str) -> parts.Effects:
        """Ask for a job's outcome; `Answer` follows here once it is known."""
        wanted = ticket.parse(self.key, ticket_text, member)
        if isinstance(wanted, outcomes.Refusal):
            return [effects.Answer(ticket_text, wanted)]
        if wanted.owner == self.me:
            return self.route(self.owner.look_up(wanted, self.me))
        return self.route(self.resolver.look_up(wanted, member))

    def cancel(self, ticket_text: str, member: str) -> parts.Effects:
        """Cancel a job wherever it is owned."""
        wanted = ticket.parse(self.key, ticket_text, member)
        if isinstance(wanted, outcomes.Refusal):
            return [effects.Answer(ticket_text, wanted)]
        if wanted.owner == self.me:
            return self.route(self.owner.cancel(wanted, member, self.me))
        return self.route(self.resolver.cancel(wanted, member))

    def on_live(self, live: frozenset[ids.ProcessId]) -> parts.Effects:
        """Take the live entry VMs of this failure domain, this one included."""
        self.witness.live = live
        change = self.witnesses.update(live)
        done = self.owner.on_live(change)
        return self.route(done + self.resolver.on_live(live))

    def begin(self, ticket_text: str) -> parts.Effects:
        """Have a job recorded as begun; `JobBegun` or `JobAbandoned` follows."""
        return self.route(self.owner.begin(ticket_text))

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        """Keep a job's outcome and answer those who wait."""
        return self.route(self.owner.settle(ticket_text, outcome))

    def is_idle(self) -> bool:
        """Say whether every outcome is recorded and nobody waits for another."""
        unrecorded = any(
            self.witnesses.is_usable(witness) for witness in self.owner.records.open_at
        )
        return not (
            unrecorded or self.resolver.watches.by_text or self.claiming.pending
        )

    def stop(self) -> parts.Effects:
        """Start a graceful stop: mint and take nothing more."""
        self.owner.stopping = True
        return []

    def on_roster(self, new: roster.Roster) -> parts.Effects:
        """Go over to the registrars of a newer epoch that this run saw begin."""
        self.registrar.on_roster(new)
        self.claiming.roster = new
        return []

    def on_rules(self, new: rules.Rules) -> parts.Effects:
        """Obey a newer bundle from now on."""
        self.owner.rules = new
        return []

    def tick(self) -> parts.Effects:
        """Do what is due."""
        done = self.owner.tick()
        done += self.witness.tick()
        done += self.resolver.tick()
        done += self.registrar.tick()
        done += self.claiming.tick()
        return self.route(done)

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Take a message; the link has authenticated its sender."""
        return self.route(self.inbox.take(sender, message))

    def route(self, done: parts.Effects) -> parts.Effects:
        """Take messages to this process here, and return the other effects."""
        outward: parts.Effects = []
        waiting = done[::-1]
        while waiting:
            effect = waiting.pop()
            if isinstance(effect, effects.Send) and effect.to == self.me.name:
                waiting += self.inbox.take(self.me, effect.message)[::-1]
            elif isinstance(effect, effects.Answer):
                outward += self.claiming.add_handles(effect)
            else:
                outward.append(effect)
        return outward
