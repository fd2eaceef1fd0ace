"""Keep histories, metrics and histograms of what the process does."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects, jobs, outcomes, rules
from knapweedbeam_core.entry import parts
from knapweedbeam_server import histograms, history, job_times, metrics
from knapweedbeam_server.logs import catalogue, emit

ANSWERED_STATUS = 200
TASK_COUNTERS = {
    effects.TaskAnswered: metrics.Counter.TASKS_ANSWERED,
    effects.TaskNotStarted: metrics.Counter.TASKS_NOT_STARTED,
    effects.TaskFailed: metrics.Counter.TASKS_FAILED,
}
JOB_COUNTERS = {
    outcomes.Complete: metrics.Counter.JOBS_COMPLETE,
    outcomes.NotRun: metrics.Counter.JOBS_NOT_RUN,
    outcomes.Failed: metrics.Counter.JOBS_FAILED,
}


class Recorder:
    """Notes each event in every record that wants it."""

    def __init__(
        self,
        own_clock: clock.Clock,
        record: history.HistoryWriter,
        series: histograms.Histograms,
        meters: metrics.Metrics,
    ) -> None:
        self.history = record
        self.histograms = series
        self.metrics = meters
        self.times = job_times.TimeKeeper(own_clock, series)

    def minted(self, member: str, count: int) -> None:
        """Note a block of tickets."""
        self.history.write(history.Minted(member, count))

    def submitted(self, job: jobs.Job, ticket: str, key: str = "") -> None:
        """Note a submission under the text that its answer will carry."""
        self.history.write(
            history.Submitted(
                ticket,
                job.member,
                job.service,
                job.job_class,
                len(job.tasks),
                job.repeatable,
                key,
            )
        )

    def announced(self, announcement: parts.Announcement) -> None:
        """Note an endpoint's announcement."""
        name = announcement.endpoint
        incarnation, sequence = announcement.incarnation, announcement.sequence
        if announcement.leaving:
            self.history.write(history.Leaving(name, incarnation, sequence))
        else:
            slots = announcement.slots
            self.history.write(history.Announced(name, incarnation, sequence, slots))

    def started(self, start: effects.StartTask) -> None:
        """Note the start of a task."""
        self.metrics.count(metrics.Counter.TASKS_STARTED)
        self.times.started(start)
        task = start.task
        self.history.write(
            history.Started(task.ticket, task.index, start.endpoint, start.address)
        )

    def stopped(self) -> None:
        """Note that the platform is asked to stop a task."""
        self.metrics.count(metrics.Counter.TASKS_STOPPED)

    def task_ended(self, end: effects.TaskEnd) -> None:
        """Note the end of a task."""
        self.metrics.count(TASK_COUNTERS[type(end.result)])
        self.times.task_ended(end)
        answered = isinstance(end.result, effects.TaskAnswered)
        status = ANSWERED_STATUS if answered else 0
        task = end.task
        self.history.write(
            history.TaskAnswered(
                task.ticket, task.index, end.endpoint, status, end.run_ms
            )
        )

    def answered(self, ticket: str, outcome: outcomes.Outcome) -> None:
        """Note an answer."""
        self.history.write(history.build_answered(ticket, outcome))

    def observe(self, effect: parts.Effect) -> None:
        """Note what the parts of the node tell each other."""
        match effect:
            case effects.Enqueue(job):
                self.metrics.count(metrics.Counter.JOBS_TAKEN)
                self.times.queued(job)
            case effects.JobBegun(ticket):
                self.history.write(history.Begun(ticket))
            case effects.JobEnded(ticket, outcome):
                self.metrics.count(JOB_COUNTERS[type(outcome)])
                self.times.ended(ticket, outcome)
            case effects.JobAbandoned(ticket):
                self.times.ended(ticket, None)
            case parts.RulesInForce(new):
                self.obeyed(new)
            case parts.ProposalAnswered(_, answer):
                self.proposal_answered(answer)

    def proposal_answered(self, answer: parts.Accepted | outcomes.Refusal) -> None:
        """Note the answer to a proposed bundle."""
        if isinstance(answer, parts.Accepted):
            self.history.write(history.Accepted(answer.version, answer.digest))
            said = f"accepted as version {answer.version}"
        else:
            said = answer.reason
        emit.emit(catalogue.PROPOSAL_ANSWERED, answer=said)

    def obeyed(self, new: rules.Rules) -> None:
        """Note that a newer bundle is in force."""
        self.histograms.drop_members(new.members)
        self.history.write(history.InForce(new.version, new.digest))
        emit.emit(catalogue.BUNDLE_IN_FORCE, version=new.version, digest=new.digest)

    def ready(self, version: int) -> None:
        """Note that the process takes callers' work."""
        self.history.write(history.Ready())
        emit.emit(catalogue.READY, bundle=version)

    def stopping(self) -> None:
        """Note that a graceful stop starts."""
        self.history.write(history.Stopping())

    def get_open_jobs(self) -> int:
        """Return how many jobs are queued or run here."""
        return len(self.times.jobs)

    def flush(self, levels: Levels) -> None:
        """Flush the history and the metrics."""
        self.history.flush()
        gauges = metrics.Gauge
        self.metrics.set_level(gauges.JOBS_HELD, self.get_open_jobs())
        self.metrics.set_level(gauges.REQUESTS_OPEN, levels.open_requests)
        self.metrics.set_level(gauges.PEERS_UP, levels.peers_up)
        self.metrics.set_level(gauges.BUNDLE_VERSION, levels.bundle_version)
        self.metrics.flush()

    def close(self, cut: int) -> None:
        """End the history with the count of requests that were cut."""
        self.history.write(history.Stopped(cut))
        self.history.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Levels:
    """What the shell alone knows of the gauges."""

    open_requests: int
    peers_up: int
    bundle_version: int
