"""Resolves the outcomes of tickets that other processes own.

A submission is sent to the ticket's owner only; any other incarnation that receives it
answers `WrongRun`. If the owner is unresponsive or has ended, the witness is queried.
"""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import job_data, messages, ticket_codec, timers, watches

FIRST_POLL_MS = clock.SECOND_MS
POLL_MS = 500
MAX_POLL_MS = 4 * clock.SECOND_MS
OWNER_TIMEOUT_MS = 2 * clock.SECOND_MS
WITNESS_TIMEOUT_MS = 3 * clock.SECOND_MS


class Resolver:
    """Queries owners and witnesses of tickets until their outcomes are known."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        time: clock.Clock,
        memory_budget: job_data.MemoryBudget,
    ) -> None:
        self.me = me
        self.domain = domain
        self.clock = time
        self.live: frozenset[ids.ProcessId] = frozenset()
        self.watches = watches.WatchTable(memory_budget)
        self.timers: timers.Timers[str] = timers.Timers()

    def submit(self, ticket: ticket_codec.Ticket, job: jobs.Job) -> parts.Effects:
        """Forward a submission to the ticket's owner."""
        digest = job_data.get_submission_digest(job)
        watch = self.watches.by_text.get(ticket.text)
        if watch is not None and watch.digest == digest:
            return []
        if watch is not None and watch.digest:
            refusal = outcomes.Refusal(reasons.Reason.CONFLICT, "body")
            return [effects.Answer(ticket.text, refusal, digest)]
        size = job_data.get_job_bytes(job)
        if not self.watches.has_space(job.member, size):
            full = outcomes.Refusal(reasons.Reason.MEMORY, "forwarded jobs")
            return [effects.Answer(ticket.text, full, digest)]
        watch = watch or self.add(ticket, job.member)
        watch.job = job
        watch.digest = digest
        self.watches.set_held_bytes(watch, size)
        if watch.queries_witness:
            return self.send_query(watch)
        submit = effects.Send(ticket.owner.name, self.build_submit(job))
        return [submit, *self.schedule_retry(watch)]

    def look_up(self, ticket: ticket_codec.Ticket, member: str) -> parts.Effects:
        """Request the outcome from the ticket's owner."""
        watch = self.watches.by_text.get(ticket.text)
        if watch is not None:
            watch.has_lookup = True
            return []
        if not self.watches.has_space(member, job_data.RECORD_OVERHEAD_BYTES):
            return [build_overloaded(ticket.text)]
        watch = self.add(ticket, member)
        watch.has_lookup = True
        return self.send_query(watch)

    def cancel(self, ticket: ticket_codec.Ticket, member: str) -> parts.Effects:
        """Request that the ticket's owner cancels the job."""
        watch = self.watches.by_text.get(ticket.text)
        if watch is None and not self.watches.has_space(
            member, job_data.RECORD_OVERHEAD_BYTES
        ):
            return [build_overloaded(ticket.text)]
        watch = watch or self.add(ticket, member)
        watch.has_lookup = True
        if watch.is_cancel_requested:
            return []
        watch.is_cancel_requested = True
        return self.send_query(watch)

    def add(self, ticket: ticket_codec.Ticket, member: str) -> watches.Watch:
        """Start watching a ticket."""
        watch = watches.Watch(ticket, member)
        watch.owner_ended = ticket.owner.name == self.me.name
        has_local_witness = ticket.domain == self.domain and ticket.witness is not None
        lost = has_local_witness and ticket.owner not in self.live
        watch.queries_witness = watch.owner_ended or lost
        self.watches.add(watch)
        return watch

    def schedule_retry(self, watch: watches.Watch) -> parts.Effects:
        """Schedule the next query."""
        delay_ms = POLL_MS if watch.query_count else FIRST_POLL_MS
        watch.query_count += 1
        now_ms = self.clock.now_ms()
        if watch.unanswered_ms is None:
            watch.unanswered_ms = now_ms
        if watch.owner_unanswered_ms is None:
            watch.owner_unanswered_ms = now_ms
        self.timers.set(watch.ticket.text, now_ms + delay_ms)
        return []

    def send_query(self, watch: watches.Watch) -> parts.Effects:
        """Query the owner, and also the witness if the owner seems to be lost."""
        text = watch.ticket.text
        owner = watch.ticket.owner.name
        witness = watch.ticket.witness
        if watch.queries_witness and witness is None:
            return self.finish(watch, build_unknown())
        self.schedule_retry(watch)
        queries: parts.Effects = []
        if owner != self.me.name:
            queries.append(effects.Send(owner, self.build_query(watch)))
        if watch.queries_witness and witness is not None:
            insists = self.is_owner_unresponsive(watch)
            seal = messages.SealTicket(text, watch.member, insists)
            queries.append(effects.Send(witness.name, seal))
        return queries

    def is_owner_unresponsive(self, watch: watches.Watch) -> bool:
        """Return whether the owner has ended or not answered for `OWNER_TIMEOUT_MS`."""
        if watch.owner_ended:
            return True
        if watch.owner_unanswered_ms is None:
            return False
        return self.clock.now_ms() - watch.owner_unanswered_ms >= OWNER_TIMEOUT_MS

    def on_live(self, live: frozenset[ids.ProcessId]) -> parts.Effects:
        """Query the witnesses of owners that are no longer live."""
        lost = self.live - live
        self.live = live
        produced: parts.Effects = []
        for owner in sorted(lost):
            for watch in self.watches.get_for_owner(owner):
                if watch.can_query_witness() and not watch.queries_witness:
                    produced += self.switch_to_witness(watch)
        return produced

    def build_query(self, watch: watches.Watch) -> effects.Message:
        """Return the message that queries the owner."""
        if watch.is_cancel_requested:
            return messages.CancelTicket(watch.ticket.text, watch.member)
        return messages.FindOutcome(watch.ticket.text, watch.member)

    def build_submit(self, job: jobs.Job) -> effects.Message:
        """Return the submission with the time left to its deadline."""
        return messages.SubmitJob(
            job.ticket,
            job.member,
            job.service,
            job.job_class,
            max(job.due_ms - self.clock.now_ms(), 0),
            job.tasks,
            job.repeatable,
        )

    def on_pending(self, text: str, sender: ids.ProcessId) -> parts.Effects:
        """Continue waiting for an owner that holds the job."""
        watch = self.watches.by_text.get(text)
        if watch is None or sender != watch.ticket.owner:
            return []
        watch.job = None
        self.watches.set_held_bytes(watch, job_data.RECORD_OVERHEAD_BYTES)
        self.record_owner_answer(watch)
        return []

    def on_answered(
        self, message: messages.TicketAnswered, sender: ids.ProcessId
    ) -> parts.Effects:
        """Handle the answer of the owner or the witness."""
        watch = self.watches.by_text.get(message.ticket)
        if watch is None:
            return []
        if sender not in (watch.ticket.owner, watch.ticket.witness):
            return []
        if isinstance(message.result, outcomes.Refusal):
            return self.on_refused(watch, message.result, message.body_digest)
        return self.finish(watch, message.result)

    def on_refused(
        self, watch: watches.Watch, refusal: outcomes.Refusal, digest: bytes
    ) -> parts.Effects:
        """Submit again if the owner has no submission yet, else pass the refusal on."""
        if refusal.reason is reasons.Reason.NOT_FOUND and watch.job is not None:
            self.record_owner_answer(watch)
            submit = self.build_submit(watch.job)
            return [effects.Send(watch.ticket.owner.name, submit)]
        if refusal.reason is reasons.Reason.NOT_FOUND and watch.digest:
            return []
        if refusal.reason is not reasons.Reason.CONFLICT:
            return self.finish(watch, refusal)
        if digest != watch.digest:
            return []
        if not watch.has_lookup:
            return self.finish(watch, refusal)
        watch.job = None
        watch.digest = b""
        self.watches.set_held_bytes(watch, job_data.RECORD_OVERHEAD_BYTES)
        conflict = effects.Answer(watch.ticket.text, refusal, digest)
        return [conflict, *self.send_query(watch)]

    def on_seal_refused(
        self, message: messages.SealRefused, sender: ids.ProcessId
    ) -> parts.Effects:
        """Wait for a begun job while its owner is live; otherwise it may have run."""
        watch = self.watches.by_text.get(message.ticket)
        if watch is None or sender != watch.ticket.witness:
            return []
        if not message.owner_live:
            return self.finish(watch, outcomes.Failed(reasons.Reason.OWNER_LOST))
        self.record_answer(watch)
        return []

    def on_wrong_run(self, text: str, sender: ids.ProcessId) -> parts.Effects:
        """Query the witness of a restarted owner, or handle a restarted witness."""
        watch = self.watches.by_text.get(text)
        if watch is None:
            return []
        ticket = watch.ticket
        if is_successor(sender, ticket.witness):
            return self.on_witness_ended(watch)
        if not is_successor(sender, ticket.owner) or watch.owner_ended:
            return []
        watch.owner_ended = True
        return self.switch_to_witness(watch)

    def on_witness_ended(self, watch: watches.Watch) -> parts.Effects:
        """Query only the owner while it may answer, otherwise give up."""
        watch.witness_ended = True
        if self.is_owner_unresponsive(watch):
            return self.finish(watch, build_unknown())
        watch.queries_witness = False
        watch.unanswered_ms = None
        return []

    def switch_to_witness(self, watch: watches.Watch) -> parts.Effects:
        """Query the witness from now on, or give up if there is none."""
        if not watch.can_query_witness():
            return self.finish(watch, build_unknown())
        watch.queries_witness = True
        self.record_answer(watch)
        return self.send_query(watch)

    def record_answer(self, watch: watches.Watch) -> None:
        """Record an answer to a query and schedule the next query."""
        watch.unanswered_ms = None
        doubled = FIRST_POLL_MS << min(watch.query_count, 4)
        delay_ms = min(doubled, MAX_POLL_MS)
        self.timers.set(watch.ticket.text, self.clock.now_ms() + delay_ms)

    def record_owner_answer(self, watch: watches.Watch) -> None:
        """Record that the owner has answered, and query only the owner from now on."""
        watch.queries_witness = False
        watch.owner_unanswered_ms = None
        self.record_answer(watch)

    def tick(self) -> parts.Effects:
        """Handle all watches whose next query is due."""
        produced: parts.Effects = []
        for text in self.timers.pop_due(self.clock.now_ms()):
            produced += self.on_due(self.watches.by_text[text])
        return produced

    def on_due(self, watch: watches.Watch) -> parts.Effects:
        """Query again, switch to the witness, or give up after the timeout."""
        now_ms = self.clock.now_ms()
        unanswered_for_ms = 0
        if watch.unanswered_ms is not None:
            unanswered_for_ms = now_ms - watch.unanswered_ms
        if watch.queries_witness and unanswered_for_ms >= WITNESS_TIMEOUT_MS:
            return self.finish(watch, build_unknown())
        if not watch.queries_witness and self.is_owner_unresponsive(watch):
            return self.switch_to_witness(watch)
        return self.send_query(watch)

    def finish(self, watch: watches.Watch, result: messages.Result) -> parts.Effects:
        """Answer the callers that wait here and remove the watch."""
        text = watch.ticket.text
        self.watches.remove(watch)
        self.timers.drop(text)
        digest = watch.digest if isinstance(result, outcomes.Refusal) else b""
        return [effects.Answer(text, result, digest)]


def is_successor(sender: ids.ProcessId, earlier: ids.ProcessId | None) -> bool:
    """Return whether `sender` is another incarnation of the process `earlier`."""
    return earlier is not None and sender.name == earlier.name and sender != earlier


def build_overloaded(text: str) -> effects.Effect:
    """Return the refusal of a look-up or cancel that exceeds the watch limits."""
    refusal = outcomes.Refusal(reasons.Reason.OVERLOADED, "look-ups")
    return effects.Answer(text, refusal)


def build_unknown() -> outcomes.Failed:
    """Return the outcome of a job that no reachable process knows."""
    return outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
