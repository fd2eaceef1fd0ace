"""Counts crashes of endpoints against the tasks that ran there, and ends their jobs."""

from __future__ import annotations

import collections.abc
import typing

from knapweedbeam_core import effects, reasons
from knapweedbeam_core.pool import crashes, endpoints, jobs, log_events, messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher


def may_have_run(endpoint: endpoints.Endpoint, attempt: endpoints.Attempt) -> bool:
    """Return whether an attempt may have run before contact with its endpoint ended."""
    ended_ms = endpoint.contact.failed_ms
    if attempt.state == endpoints.AttemptState.RUNNING:
        return True
    was_sent = attempt.called_ms > 0
    return was_sent and (not ended_ms or attempt.called_ms < ended_ms)


class CrashHandler:
    """The crashes that concern the jobs of one dispatcher."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.unexplained = crashes.UnexplainedLosses()

    def reset(self) -> None:
        """Forget all losses, as the jobs are gone."""
        self.unexplained.clear()

    def on_lost(
        self,
        endpoint: endpoints.Endpoint,
        attempts: collections.abc.Iterable[endpoints.Attempt],
        cause: crashes.LossCause,
    ) -> dispatcher.Effects:
        """Handle the loss of an endpoint with the attempts that may have run there.

        A partition that resets and refuses connections looks like a crash. It counts as
        one until the endpoint answers again, unless that would end a stored job, which
        cannot be taken back: its task is held back until it is known what happened.
        """
        announcement = endpoint.announcement
        losses = tuple(
            self.build_loss(endpoint, attempt, attempt.owner)
            for attempt in attempts
            if attempt.owner is not None
            and may_have_run(endpoint, attempt)
            and not attempt.owner.job.is_cancelled
            and attempt.owner.state != jobs.TaskState.DONE
        )
        is_leaving = announcement.state == messages.EndpointState.LEAVING
        if is_leaving or cause == crashes.LossCause.LEFT:
            return []
        if cause == crashes.LossCause.CRASHED:
            return self.count(losses, announcement.endpoint)
        self.unexplained.add(
            announcement.endpoint, announcement.born_ms, announcement.address, losses
        )
        is_refusing = cause == crashes.LossCause.REFUSING
        produced: dispatcher.Effects = []
        for loss in losses:
            task = self.find_task(loss)
            if task is None:
                continue
            if is_refusing and not self.would_end_stored_job(task, loss):
                produced += self.count([loss], announcement.endpoint)
                continue
            task.history.unexplained[loss.number] = loss.is_early
            task.history.is_suspect |= is_refusing
        return produced

    def would_end_stored_job(self, task: jobs.Task, loss: crashes.Loss) -> bool:
        """Return whether one more crash puts the task of a stored job at fault."""
        counted = task.history.crashes | {loss.number: loss.is_early}
        return task.job.is_stored and crashes.is_at_fault(counted, task.job.is_lasting)

    def build_loss(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt, task: jobs.Task
    ) -> crashes.Loss:
        """Return the loss of one attempt.

        It is early if contact ended early in the attempt's run; that of a lasting task
        is early until the run has proven itself.
        """
        ended_ms = endpoint.contact.failed_ms or self.owner.tracker.waiting_ms
        early_ms = crashes.PROVEN_MS if task.job.is_lasting else crashes.EARLY_MS
        is_early = ended_ms - attempt.called_ms < early_ms
        return crashes.Loss(task.job.key, task.name, attempt.number, is_early)

    def confirm(self, endpoint: str, born_ms: int) -> dispatcher.Effects:
        """Count the losses of an incarnation that certainly ended."""
        return self.count(self.unexplained.take(endpoint, born_ms), endpoint)

    def confirm_replaced(
        self, announcement: messages.EndpointNews
    ) -> dispatcher.Effects:
        """Count the losses of endpoints whose address another one has now."""
        produced: dispatcher.Effects = []
        for endpoint, born_ms in self.unexplained.find_replaced(
            announcement.endpoint, announcement.address
        ):
            produced += self.confirm(endpoint, born_ms)
        return produced

    def retract(self, endpoint: endpoints.Endpoint) -> dispatcher.Effects:
        """Forget the losses of an incarnation that answers again or signed off."""
        announcement = endpoint.announcement
        produced: dispatcher.Effects = []
        for loss in self.unexplained.take(announcement.endpoint, announcement.born_ms):
            task = self.find_task(loss)
            if task is None:
                continue
            task.history.unexplained.pop(loss.number, None)
            is_early = task.history.crashes.pop(loss.number, None)
            task.history.is_suspect = bool(task.history.crashes)
            if is_early is not None and task.job.is_stored:
                crash = messages.TaskCrash(task.name, loss.number, is_early)
                produced += self.owner.stored_scheduler.record_crash(crash, True)
        return produced

    def find_task(self, loss: crashes.Loss) -> jobs.Task | None:
        """Return the task of a loss if its job is still open."""
        job = self.owner.jobs.get(loss.job_key)
        return job.find_task(loss.task) if job is not None else None

    def count(
        self, losses: collections.abc.Iterable[crashes.Loss], endpoint: str
    ) -> dispatcher.Effects:
        """Count a crash against each task that was lost with the endpoint."""
        produced: dispatcher.Effects = []
        for loss in losses:
            task = self.find_task(loss)
            if task is None or task.state == jobs.TaskState.DONE:
                continue
            task.history.unexplained.pop(loss.number, None)
            if task.job.is_lasting and not loss.is_early:
                continue
            if loss.number not in task.history.crashes:
                produced += self.count_crash(task, loss, endpoint)
        return produced

    def count_crash(
        self, task: jobs.Task, loss: crashes.Loss, endpoint: str
    ) -> dispatcher.Effects:
        """Count one crash against a task; fail its job if the task is at fault.

        The entry VM keeps the count of a best-effort job for the next dispatcher, the
        log that of a stored job, which it also ends.
        """
        task.history.crashes[loss.number] = loss.is_early
        task.history.is_suspect = True
        crash = messages.TaskCrash(task.name, loss.number, loss.is_early)
        produced: dispatcher.Effects = [
            log_events.TaskSuspected(
                task.name,
                loss.number,
                endpoint,
                loss.is_early,
                len(task.history.crashes),
            )
        ]
        if task.job.is_stored:
            return produced + self.owner.stored_scheduler.record_crash(crash)
        if task.job.entry:
            crashed = messages.TaskCrashed(task.job.job_id, crash)
            produced.append(effects.Send(task.job.entry, crashed))
        return produced + self.fail_if_at_fault(task.job)

    def fail_if_at_fault(self, job: jobs.Job) -> dispatcher.Effects:
        """End a best-effort job if one of its tasks is at fault."""
        if not job.has_task_at_fault or self.owner.jobs.get(job.key) is not job:
            return []
        reason = reasons.Reason.TASK_CRASHED_ENDPOINTS
        return self.owner.end_job(job, messages.JobFailed(job.job_id, reason))
