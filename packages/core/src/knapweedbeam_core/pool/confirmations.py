"""Jobs that their entry VMs have to confirm before tasks start again.

A dispatcher that loses contact with an endpoint counts the leases that it granted. If
the endpoint's failure domain was cut off together with the entry VM of a job, another
dispatcher inside may have claimed the job's attempts and renew their lease. An entry VM
that still sends the job here rules that out.
"""

from __future__ import annotations

import typing

from knapweedbeam_core import effects
from knapweedbeam_core.pool import jobs, log_events, messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# A question or its answer may be lost with a link.
ASK_INTERVAL_MS = 100


class Confirmations:
    """The open questions of one dispatcher to entry VMs."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.asked: dict[str, jobs.Job] = {}
        self.due_ms = 0

    def ask(self, job: jobs.Job) -> dispatcher.Effects:
        """Let no task of a job start before its entry VM has confirmed it."""
        now_ms = self.owner.clock.now_ms()
        if not job.entry or job.is_stored or job.question_ms == now_ms:
            return []
        job.question_ms = now_ms
        self.asked[job.key] = job
        asked = log_events.JobQuestioned(job.job_id, job.entry, self.owner.fence)
        return [self.build_question(job), asked]

    def build_question(self, job: jobs.Job) -> effects.Send:
        """Return the question to the entry VM that holds a job open."""
        return effects.Send(job.entry, messages.ConfirmJob(job.job_id, job.question_ms))

    def on_confirmed(self, confirmed: messages.JobConfirmed) -> None:
        """Let the tasks of a job start, if the answer is to the newest question."""
        job = self.asked.get(confirmed.job_id)
        if job is not None and job.question_ms == confirmed.question_ms:
            del self.asked[confirmed.job_id]
            job.question_ms = 0

    def tick(self) -> dispatcher.Effects:
        """Ask again for the jobs that are open, and end those that nobody waits for.

        An entry VM that has dropped a job confirms it no more.
        """
        now_ms = self.owner.clock.now_ms()
        if not self.asked or now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + ASK_INTERVAL_MS
        self.asked = {
            key: job
            for key, job in self.asked.items()
            if self.owner.jobs.get(key) is job
        }
        produced: dispatcher.Effects = []
        for job in list(self.asked.values()):
            if now_ms > job.give_up_ms:
                produced += self.owner.end_job(job, None)
            else:
                produced.append(self.build_question(job))
        return produced

    def reset(self) -> None:
        """Drop all questions."""
        self.asked.clear()
