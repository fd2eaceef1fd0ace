"""Finds the outcomes of tickets that other processes own.

A submission goes to the ticket's owner and no further: whoever else gets it
says so. When the owner is silent or has ended, the witness is asked.
"""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import job_data, messages, ticket, timers, watches

FIRST_POLL_MS = clock.SECOND_MS
POLL_MS = 500
MAX_POLL_MS = 4 * clock.SECOND_MS
OWNER_SILENCE_MS = 2 * clock.SECOND_MS
WITNESS_SILENCE_MS = 3 * clock.SECOND_MS


class Resolver:
    """Watches tickets of other owners until their outcomes are known."""

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
        self.watches = watches.Watches(memory_budget)
        self.timers: timers.Timers[str] = timers.Timers()

    def submit(self, wanted: ticket.Ticket, job: jobs.Job) -> parts.Effects:
        """Forward a submission to the ticket's owner."""
        digest = job_data.get_submission_digest(job)
        watch = self.watches.by_text.get(wanted.text)
        if watch is not None and watch.digest == digest:
            return []
        if watch is not None and watch.digest:
            refusal = outcomes.Refusal(reasons.Reason.CONFLICT, "body")
            return [effects.Answer(wanted.text, refusal, digest)]
        size = job_data.get_job_bytes(job)
        if not self.watches.has_space(job.member, size):
            full = outcomes.Refusal(reasons.Reason.MEMORY, "forwarded jobs")
            return [effects.Answer(wanted.text, full, digest)]
        watch = watch or self.add(wanted, job.member)
        watch.job = job
        watch.digest = digest
        self.watches.hold(watch, size)
        if watch.asks_witness:
            return self.ask(watch)
        submit = effects.Send(wanted.owner.name, self.build_submit(job))
        return [submit, *self.wait(watch)]

    def look_up(self, wanted: ticket.Ticket, member: str) -> parts.Effects:
        """Ask the ticket's owner for the outcome."""
        watch = self.watches.by_text.get(wanted.text)
        if watch is not None:
            watch.sought = True
            return []
        if not self.watches.has_space(member, job_data.RECORD_BYTES):
            return [build_overloaded(wanted.text)]
        watch = self.add(wanted, member)
        watch.sought = True
        return self.ask(watch)

    def cancel(self, wanted: ticket.Ticket, member: str) -> parts.Effects:
        """Ask the ticket's owner to cancel the job."""
        watch = self.watches.by_text.get(wanted.text)
        if watch is None and not self.watches.has_space(member, job_data.RECORD_BYTES):
            return [build_overloaded(wanted.text)]
        watch = watch or self.add(wanted, member)
        watch.sought = True
        if watch.cancelled:
            return []
        watch.cancelled = True
        return self.ask(watch)

    def add(self, wanted: ticket.Ticket, member: str) -> watches.Watch:
        """Start to watch a ticket."""
        watch = watches.Watch(wanted, member)
        watch.owner_ended = wanted.owner.name == self.me.name
        near = wanted.domain == self.domain and wanted.witness is not None
        lost = near and wanted.owner not in self.live
        watch.asks_witness = watch.owner_ended or lost
        self.watches.add(watch)
        return watch

    def wait(self, watch: watches.Watch) -> parts.Effects:
        """Set when to ask again."""
        pause_ms = POLL_MS if watch.sent else FIRST_POLL_MS
        watch.sent += 1
        now_ms = self.clock.now_ms()
        if watch.unanswered_ms is None:
            watch.unanswered_ms = now_ms
        if watch.silent_ms is None:
            watch.silent_ms = now_ms
        self.timers.set(watch.ticket.text, now_ms + pause_ms)
        return []

    def ask(self, watch: watches.Watch) -> parts.Effects:
        """Ask the owner, and the witness as well when the owner is silent."""
        text = watch.ticket.text
        owner = watch.ticket.owner.name
        witness = watch.ticket.witness
        if watch.asks_witness and witness is None:
            return self.finish(watch, get_unknown())
        self.wait(watch)
        asked: parts.Effects = []
        if owner != self.me.name:
            asked.append(effects.Send(owner, self.build(watch)))
        if watch.asks_witness and witness is not None:
            insists = self.is_owner_silent(watch)
            seal = messages.SealTicket(text, watch.member, insists)
            asked.append(effects.Send(witness.name, seal))
        return asked

    def is_owner_silent(self, watch: watches.Watch) -> bool:
        """Say whether the owner has ended, or answers nothing here."""
        if watch.owner_ended:
            return True
        if watch.silent_ms is None:
            return False
        return self.clock.now_ms() - watch.silent_ms >= OWNER_SILENCE_MS

    def on_live(self, live: frozenset[ids.ProcessId]) -> parts.Effects:
        """Ask the witnesses of owners that are live no longer."""
        lost = self.live - live
        self.live = live
        done: parts.Effects = []
        for owner in sorted(lost):
            for watch in self.watches.get_owned(owner):
                if watch.may_ask_witness() and not watch.asks_witness:
                    done += self.turn_to_witness(watch)
        return done

    def build(self, watch: watches.Watch) -> effects.Message:
        """Return the message that asks the owner."""
        if watch.cancelled:
            return messages.CancelTicket(watch.ticket.text, watch.member)
        return messages.FindOutcome(watch.ticket.text, watch.member)

    def build_submit(self, job: jobs.Job) -> effects.Message:
        """Return the submission with what is left to its deadline."""
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
        """Go on waiting: the owner holds the job."""
        watch = self.watches.by_text.get(text)
        if watch is None or sender != watch.ticket.owner:
            return []
        watch.job = None
        self.watches.hold(watch, job_data.RECORD_BYTES)
        self.hear_owner(watch)
        return []

    def on_answered(
        self, message: messages.TicketAnswered, sender: ids.ProcessId
    ) -> parts.Effects:
        """Pass on what the owner or the witness answered."""
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
        """Submit again where the owner has no submission yet; else pass it on."""
        if refusal.reason is reasons.Reason.NOT_FOUND and watch.job is not None:
            self.hear_owner(watch)
            submit = self.build_submit(watch.job)
            return [effects.Send(watch.ticket.owner.name, submit)]
        if refusal.reason is reasons.Reason.NOT_FOUND and watch.digest:
            return []
        if refusal.reason is not reasons.Reason.CONFLICT:
            return self.finish(watch, refusal)
        if digest != watch.digest:
            return []
        if not watch.sought:
            return self.finish(watch, refusal)
        watch.job = None
        watch.digest = b""
        self.watches.hold(watch, job_data.RECORD_BYTES)
        conflict = effects.Answer(watch.ticket.text, refusal, digest)
        return [conflict, *self.ask(watch)]

    def on_seal_refused(
        self, message: messages.SealRefused, sender: ids.ProcessId
    ) -> parts.Effects:
        """Wait for a begun job while its owner lives; else it may have run."""
        watch = self.watches.by_text.get(message.ticket)
        if watch is None or sender != watch.ticket.witness:
            return []
        if not message.owner_live:
            return self.finish(watch, outcomes.Failed(reasons.Reason.OWNER_LOST))
        self.hear(watch)
        return []

    def on_wrong_run(self, text: str, sender: ids.ProcessId) -> parts.Effects:
        """Turn to the witness, or give up when it has ended as well."""
        watch = self.watches.by_text.get(text)
        if watch is None:
            return []
        wanted = watch.ticket
        if is_successor(sender, wanted.witness):
            return self.on_witness_ended(watch)
        if not is_successor(sender, wanted.owner) or watch.owner_ended:
            return []
        watch.owner_ended = True
        return self.turn_to_witness(watch)

    def on_witness_ended(self, watch: watches.Watch) -> parts.Effects:
        """Go on with the owner alone, as long as it may answer."""
        watch.witness_ended = True
        if self.is_owner_silent(watch):
            return self.finish(watch, get_unknown())
        watch.asks_witness = False
        watch.unanswered_ms = None
        return []

    def turn_to_witness(self, watch: watches.Watch) -> parts.Effects:
        """Ask the witness from now on."""
        if not watch.may_ask_witness():
            return self.finish(watch, get_unknown())
        watch.asks_witness = True
        self.hear(watch)
        return self.ask(watch)

    def hear(self, watch: watches.Watch) -> None:
        """Note that the process which is asked has answered."""
        watch.unanswered_ms = None
        doubled = FIRST_POLL_MS << min(watch.sent, 4)
        pause_ms = min(doubled, MAX_POLL_MS)
        self.timers.set(watch.ticket.text, self.clock.now_ms() + pause_ms)

    def hear_owner(self, watch: watches.Watch) -> None:
        """Ask the owner alone from now on, as it has answered."""
        watch.asks_witness = False
        watch.silent_ms = None
        self.hear(watch)

    def tick(self) -> parts.Effects:
        """Ask again where no answer came, or somebody else."""
        done: parts.Effects = []
        for text in self.timers.pop_due(self.clock.now_ms()):
            done += self.on_due(self.watches.by_text[text])
        return done

    def on_due(self, watch: watches.Watch) -> parts.Effects:
        """Ask again, or give up on who has been silent too long."""
        now_ms = self.clock.now_ms()
        silence_ms = 0
        if watch.unanswered_ms is not None:
            silence_ms = now_ms - watch.unanswered_ms
        if watch.asks_witness and silence_ms >= WITNESS_SILENCE_MS:
            return self.finish(watch, get_unknown())
        if not watch.asks_witness and self.is_owner_silent(watch):
            return self.turn_to_witness(watch)
        return self.ask(watch)

    def finish(self, watch: watches.Watch, result: messages.Result) -> parts.Effects:
        """Answer those who wait here and watch no longer."""
        text = watch.ticket.text
        self.watches.remove(watch)
        self.timers.drop(text)
        digest = watch.digest if isinstance(result, outcomes.Refusal) else b""
        return [effects.Answer(text, result, digest)]


def is_successor(sender: ids.ProcessId, earlier: ids.ProcessId | None) -> bool:
    """Say whether `sender` is another run of the process `earlier`."""
    return earlier is not None and sender.name == earlier.name and sender != earlier


def build_overloaded(text: str) -> effects.Effect:
    """Return the refusal of a look-up that there is no room for."""
    refusal = outcomes.Refusal(reasons.Reason.OVERLOADED, "look-ups")
    return effects.Answer(text, refusal)


def get_unknown() -> outcomes.Failed:
    """Return the outcome of a job of which nobody can tell."""
    return outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
