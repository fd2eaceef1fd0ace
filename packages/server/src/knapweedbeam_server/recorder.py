"""Record what the process does in its history, metrics, histograms and log."""

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
    """Records each event in the history, metrics, histograms or log it belongs to."""

    def __init__(
        self,
        own_clock: clock.Clock,
        history_writer: history.HistoryWriter,
        series: histograms.Histograms,
        own_metrics: metrics.Metrics,
    ) -> None:
        self.history = history_writer
        self.histograms = series
        self.metrics = own_metrics
        self.times = job_times.JobTimeRecorder(own_clock, series)

    def record_tickets(self, member: str, count: int) -> None:
        """Record a block of minted tickets."""
        self.history.write(history.Minted(member, count))

    def record_submission(self, job: jobs.Job, ticket: str, key: str = "") -> None:
        """Record a submission under the ticket or handle that its answer will carry."""
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

    def record_announcement(self, announcement: parts.Announcement) -> None:
        """Record an endpoint's announcement."""
        name = announcement.endpoint
        incarnation, sequence = announcement.incarnation, announcement.sequence
        if announcement.leaving:
            self.history.write(history.Leaving(name, incarnation, sequence))
        else:
            slots = announcement.slots
            self.history.write(history.Announced(name, incarnation, sequence, slots))

    def record_start(self, start: effects.StartTask) -> None:
        """Record the start of a task."""
        self.metrics.count(metrics.Counter.TASKS_STARTED)
        self.times.record_start(start)
        task = start.task
        self.history.write(
            history.Started(task.ticket, task.index, start.endpoint, start.address)
        )

    def record_stop_request(self) -> None:
        """Count a request to the platform to stop a task."""
        self.metrics.count(metrics.Counter.TASKS_STOPPED)

    def record_task_end(self, end: effects.TaskEnd) -> None:
        """Record the end of a task."""
        self.metrics.count(TASK_COUNTERS[type(end.result)])
        self.times.record_task_end(end)
        is_answered = isinstance(end.result, effects.TaskAnswered)
        status = ANSWERED_STATUS if is_answered else 0
        task = end.task
        self.history.write(
            history.TaskAnswered(
                task.ticket, task.index, end.endpoint, status, end.run_ms
            )
        )

    def record_outcome(self, ticket: str, outcome: outcomes.Outcome) -> None:
        """Record the outcome sent to a caller."""
        self.history.write(history.build_answered(ticket, outcome))

    def observe(self, effect: parts.Effect) -> None:
        """Record an effect that one part of the node passes to another."""
        match effect:
            case effects.Enqueue(job):
                self.metrics.count(metrics.Counter.JOBS_TAKEN)
                self.times.record_queued(job)
            case effects.JobBegun(ticket):
                self.history.write(history.Begun(ticket))
            case effects.JobEnded(ticket, outcome):
                self.metrics.count(JOB_COUNTERS[type(outcome)])
                self.times.record_job_end(ticket, outcome)
            case effects.JobAbandoned(ticket):
                self.times.record_job_end(ticket, None)
            case parts.RulesInForce(new):
                self.record_rules(new)
            case parts.ProposalAnswered(_, answer):
                self.record_proposal_answer(answer)

    def record_proposal_answer(self, answer: parts.Accepted | outcomes.Refusal) -> None:
        """Record the answer to a proposed bundle."""
        if isinstance(answer, parts.Accepted):
            self.history.write(history.Accepted(answer.version, answer.digest))
            answer_text = f"accepted as version {answer.version}"
        else:
            answer_text = answer.reason
        emit.emit(catalogue.PROPOSAL_ANSWERED, answer=answer_text)

    def record_rules(self, new: rules.Rules) -> None:
        """Record that a newer bundle is in force."""
        self.histograms.drop_members(new.members)
        self.history.write(history.InForce(new.version, new.digest))
        emit.emit(catalogue.BUNDLE_IN_FORCE, version=new.version, digest=new.digest)

    def record_ready(self, version: int) -> None:
        """Record that the process accepts callers' work."""
        self.history.write(history.Ready())
        emit.emit(catalogue.READY, bundle=version)

    def record_stopping(self) -> None:
        """Record the start of a graceful stop."""
        self.history.write(history.Stopping())

    def get_open_jobs(self) -> int:
        """Return the number of jobs that are queued or running here."""
        return len(self.times.jobs)

    def flush(self, values: GaugeValues) -> None:
        """Flush the history, and send the metrics with these gauge values."""
        self.history.flush()
        gauges = metrics.Gauge
        self.metrics.set_gauge(gauges.JOBS_HELD, self.get_open_jobs())
        self.metrics.set_gauge(gauges.REQUESTS_OPEN, values.open_requests)
        self.metrics.set_gauge(gauges.PEERS_UP, values.peers_up)
        self.metrics.set_gauge(gauges.BUNDLE_VERSION, values.bundle_version)
        self.metrics.flush()

    def close(self, cut: int) -> None:
        """Close the history; `cut` is the number of requests that got no answer."""
        self.history.write(history.Stopped(cut))
        self.history.close()


@dataclasses.dataclass(frozen=True, slots=True)
class GaugeValues:
    """Gauge values that only the shell can read."""

    open_requests: int
    peers_up: int
    bundle_version: int
