"""Server side of stored jobs at the log's leader: requests and proposed changes.

Changes that arrive while a batch is being committed form the next batch, so that one
disk sync and one round trip to the replicas commit many changes.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.stored import commands, ledger, messages

# A batch is one log entry, which is sent to another replica in one message.
MAX_BATCH = 200
# The log commits about this many changes in 1.5 s; further ones are refused.
MAX_WAITING = 4_000
# A batch that is not committed by then was lost together with the leadership.
BATCH_TIMEOUT_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Effect: append a batch of commands to the log."""

    batch: commands.Batch


Effects = list[effects.Send | Propose]


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """The process that waits for a reply, and the number of its request."""

    name: str
    number: int


class StoredJobService:
    """Handles requests at the process whose replica leads the log.

    `in_flight` is the number of commands in the proposed batch, 0 for none.
    """

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.ledger = ledger.Ledger()
        self.is_sure = False
        self.waiting: list[commands.Command] = []
        self.in_flight = 0
        self.sent_ms = 0
        self.accepting: dict[str, list[Asker]] = {}
        self.cancelling: dict[str, list[Asker]] = {}

    def update(self, current: ledger.Ledger, is_sure: bool) -> None:
        """Set the current ledger.

        `is_sure` means that no other replica can have a newer one.
        """
        self.ledger = current
        if is_sure or not self.is_sure:
            self.is_sure = is_sure
            return
        # Waiting commands were never proposed, and the result of the batch in flight is
        # unknown: callers send their requests to the next leader.
        self.is_sure = False
        self.waiting.clear()
        self.accepting.clear()
        self.cancelling.clear()
        self.in_flight = 0

    def on_request(self, sender: str, request: messages.Request) -> Effects:
        """Handle a request; the reply comes at once or when the change is committed."""
        asker = Asker(sender, request.number)
        if not self.is_sure or len(self.waiting) >= MAX_WAITING:
            return [self.build_reply(asker, messages.Verdict.ELSEWHERE)]
        match request:
            case messages.KeepJob(_, job):
                return self.keep(asker, job)
            case messages.CancelJob(_, job_id, queue):
                return self.cancel(asker, job_id, queue)
            case messages.LookUpJob(_, job_id, queue):
                return [self.build_reply(asker, self.look_up(job_id, queue))]
        return [self.build_reply(asker, messages.Verdict.ELSEWHERE)]

    def build_reply(self, asker: Asker, verdict: messages.Verdict) -> effects.Send:
        """Return the reply to one request."""
        return effects.Send(asker.name, messages.Told(asker.number, verdict))

    def look_up(self, job_id: str, queue: str) -> messages.Verdict:
        """Return the state of a job, `UNKNOWN` for callers of another queue."""
        entry = self.ledger.entries.get(job_id)
        if entry is None or entry.queue != queue:
            return messages.Verdict.UNKNOWN
        return entry.verdict

    def keep(self, asker: Asker, job: messages.StoredJob) -> Effects:
        """Store a job; repeated requests for it lead to a single change."""
        entry = self.ledger.entries.get(job.job_id)
        if entry is not None:
            return [self.build_reply(asker, entry.verdict)]
        is_new = job.job_id not in self.accepting
        self.accepting.setdefault(job.job_id, []).append(asker)
        return self.add_command(commands.Accept(job)) if is_new else []

    def cancel(self, asker: Asker, job_id: str, queue: str) -> Effects:
        """Cancel a job that is open or whose acceptance is not yet committed."""
        verdict = self.look_up(job_id, queue)
        is_accepting = job_id in self.accepting
        if verdict not in messages.OPEN_VERDICTS and not is_accepting:
            return [self.build_reply(asker, verdict)]
        is_new = job_id not in self.cancelling
        self.cancelling.setdefault(job_id, []).append(asker)
        return self.add_command(commands.Cancel(job_id)) if is_new else []

    def on_ends(self, message: messages.NoteEnds) -> Effects:
        """Add the ends that a dispatcher saw to the log."""
        if not self.is_sure:
            return []
        return self.add_command(commands.RecordEnds(message.fence, message.ends))

    def on_crashes(self, message: messages.NoteCrashes) -> Effects:
        """Add the crashes that a dispatcher saw to the log."""
        if not self.is_sure:
            return []
        return self.add_command(
            commands.RecordCrashes(message.crashes, message.is_retracted)
        )

    def on_begin_dispatch(self, begin: messages.BeginDispatch) -> Effects:
        """Register the dispatcher that asks to place stored jobs."""
        if not self.is_sure:
            return []
        return self.add_command(
            commands.RegisterDispatcher(begin.fence, begin.asked_ms)
        )

    def add_command(self, command: commands.Command) -> Effects:
        """Add a command to the next batch."""
        self.waiting.append(command)
        return self.propose_batch()

    def propose_batch(self) -> Effects:
        """Propose the next batch unless one is in flight and has not timed out."""
        now_ms = self.clock.now_ms()
        is_timed_out = now_ms - self.sent_ms > BATCH_TIMEOUT_MS
        if not self.waiting or (self.in_flight and not is_timed_out):
            return []
        chosen = tuple(self.waiting[:MAX_BATCH])
        del self.waiting[:MAX_BATCH]
        self.in_flight = len(chosen)
        self.sent_ms = now_ms
        return [Propose(commands.Batch(self.clock.wall_ms(), chosen))]

    def on_changes(self, changes: list[ledger.Change]) -> Effects:
        """Reply to the requests whose changes are committed."""
        produced: Effects = []
        for change in changes:
            match change:
                case ledger.Accepted(job_id, _):
                    produced += self.build_replies(
                        self.accepting.pop(job_id, []), job_id
                    )
                case ledger.Cancelled(job_id):
                    produced += self.build_replies(
                        self.cancelling.pop(job_id, []), job_id
                    )
        return produced

    def build_replies(self, askers: list[Asker], job_id: str) -> list[effects.Send]:
        """Return the replies to all who wait for a job's state."""
        entry = self.ledger.entries.get(job_id)
        verdict = entry.verdict if entry is not None else messages.Verdict.UNKNOWN
        return [self.build_reply(asker, verdict) for asker in askers]

    def on_applied(self) -> Effects:
        """Propose the next batch after the log applied the last one, or others."""
        self.in_flight = 0
        return self.propose_batch()

    def tick(self) -> Effects:
        """Propose waiting commands, also after a batch was lost."""
        return self.propose_batch() if self.is_sure else []
