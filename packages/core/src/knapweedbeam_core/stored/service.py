"""The log leader's part: it answers questions about stored jobs and proposes changes.

Changes that come while a batch is being written go together into the next one, so
that a sync and a round of the replicas serve many of them.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.stored import commands, ledger, messages

# A batch is one entry of the log, which one message carries to another replica.
MAX_BATCH = 200
# More changes than the log commits in a second and a half are refused.
MAX_WAITING = 4_000
# A batch that is not committed by then is lost with its leader's office.
BATCH_TIMEOUT_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Effect: add a batch of commands to the log."""

    batch: commands.Batch


Effects = list[effects.Send | Propose]


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """Who waits for the answer to a question."""

    name: str
    number: int


class StoredJobService:
    """Serves questions at the process whose replica leads the log."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.ledger = ledger.Ledger()
        self.is_sure = False
        self.waiting: list[commands.Command] = []
        self.under_way = 0
        self.sent_ms = 0
        self.keepers: dict[str, list[Asker]] = {}
        self.cancellers: dict[str, list[Asker]] = {}

    def update(self, known: ledger.Ledger, is_sure: bool) -> None:
        """Take the ledger as it stands; `is_sure` says that nobody has a newer one."""
        self.ledger = known
        if is_sure or not self.is_sure:
            self.is_sure = is_sure
            return
        # What waits was never proposed or is unclear: callers ask the next leader.
        self.is_sure = False
        self.waiting.clear()
        self.keepers.clear()
        self.cancellers.clear()
        self.under_way = 0

    def on_request(self, sender: str, question: messages.Request) -> Effects:
        """Answer a question, at once or when a change is committed."""
        asker = Asker(sender, question.number)
        if not self.is_sure or len(self.waiting) >= MAX_WAITING:
            return [self.tell(asker, messages.Verdict.ELSEWHERE)]
        match question:
            case messages.KeepJob(_, job):
                return self.keep(asker, job)
            case messages.CancelJob(_, job_id, queue):
                return self.cancel(asker, job_id, queue)
            case messages.LookUpJob(_, job_id, queue):
                return [self.tell(asker, self.look_up(job_id, queue))]
        return [self.tell(asker, messages.Verdict.ELSEWHERE)]

    def tell(self, asker: Asker, verdict: messages.Verdict) -> effects.Send:
        """Answer one question."""
        return effects.Send(asker.name, messages.Told(asker.number, verdict))

    def look_up(self, job_id: str, queue: str) -> messages.Verdict:
        """Return the state of a job, as far as callers of its queue may see it."""
        entry = self.ledger.entries.get(job_id)
        if entry is None or entry.queue != queue:
            return messages.Verdict.UNKNOWN
        return entry.verdict

    def keep(self, asker: Asker, job: messages.StoredJob) -> Effects:
        """Keep a job: one change, however often it comes."""
        entry = self.ledger.entries.get(job.job_id)
        if entry is not None:
            return [self.tell(asker, entry.verdict)]
        is_new = job.job_id not in self.keepers
        self.keepers.setdefault(job.job_id, []).append(asker)
        return self.add(commands.Accept(job)) if is_new else []

    def cancel(self, asker: Asker, job_id: str, queue: str) -> Effects:
        """Cancel a job that is open; one that is just being kept, too."""
        verdict = self.look_up(job_id, queue)
        is_coming = job_id in self.keepers
        if verdict not in messages.OPEN_VERDICTS and not is_coming:
            return [self.tell(asker, verdict)]
        is_new = job_id not in self.cancellers
        self.cancellers.setdefault(job_id, []).append(asker)
        return self.add(commands.Cancel(job_id)) if is_new else []

    def on_ends(self, noted: messages.NoteEnds) -> Effects:
        """Write ends that a dispatcher saw."""
        if not self.is_sure:
            return []
        return self.add(commands.RecordEnds(noted.fence, noted.ends))

    def on_begin_dispatch(self, begin: messages.BeginDispatch) -> Effects:
        """Let a dispatcher place stored jobs."""
        if not self.is_sure:
            return []
        return self.add(commands.RegisterDispatcher(begin.fence, begin.asked_ms))

    def add(self, command: commands.Command) -> Effects:
        """Add a change to the next batch."""
        self.waiting.append(command)
        return self.flush()

    def flush(self) -> Effects:
        """Propose the next batch unless one is under way."""
        now_ms = self.clock.now_ms()
        is_lost = now_ms - self.sent_ms > BATCH_TIMEOUT_MS
        if not self.waiting or (self.under_way and not is_lost):
            return []
        chosen = tuple(self.waiting[:MAX_BATCH])
        del self.waiting[:MAX_BATCH]
        self.under_way = len(chosen)
        self.sent_ms = now_ms
        return [Propose(commands.Batch(self.clock.wall_ms(), chosen))]

    def on_changes(self, changes: list[ledger.Change]) -> Effects:
        """Answer those whose changes are committed, and propose what waited."""
        produced: Effects = []
        for change in changes:
            match change:
                case ledger.Accepted(job_id, _):
                    produced += self.answer(self.keepers.pop(job_id, []), job_id)
                case ledger.Cancelled(job_id):
                    produced += self.answer(self.cancellers.pop(job_id, []), job_id)
        return produced

    def answer(self, askers: list[Asker], job_id: str) -> list[effects.Send]:
        """Tell those who wait what became of a job."""
        entry = self.ledger.entries.get(job_id)
        verdict = entry.verdict if entry is not None else messages.Verdict.UNKNOWN
        return [self.tell(asker, verdict) for asker in askers]

    def on_applied(self) -> Effects:
        """Go on after the log applied something: the batch under way, or others."""
        self.under_way = 0
        return self.flush()

    def tick(self) -> Effects:
        """Propose what waits, also after a batch was lost."""
        return self.flush() if self.is_sure else []
