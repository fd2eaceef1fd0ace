"""Counts crashes of endpoints against the tasks that ran there, and ends their jobs."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from knapweedbeam_core import effects, reasons
from knapweedbeam_core.pool import (
    calls,
    crashes,
    endpoints,
    jobs,
    log_events,
    messages,
)

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher


# How long a loss that nothing explains holds a task of a stored job back. An endpoint
# that crashed under the task is back sooner.
EXPLANATION_MS = 10_000
# Afterwards a replacement of the endpoint still proves a crash for this long.
MEMORY_MS = 600_000


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

        A partition that resets and refuses connections looks like a crash. For a
        best-effort job it counts as one until the endpoint answers again. A stored job
        does not end by it: its task is held back until it is known what happened.
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
        now_ms = self.owner.clock.now_ms()
        self.unexplained.add(
            announcement.endpoint,
            announcement.born_ms,
            crashes.LostIncarnation(announcement.address, losses, now_ms, now_ms),
        )
        produced: dispatcher.Effects = []
        for loss in losses:
            task = self.find_task(loss)
            if task is None:
                continue
            if cause != crashes.LossCause.REFUSING:
                task.history.unexplained[loss.number] = loss.is_early
            elif task.job.is_stored:
                produced += self.suspect(task, loss, announcement)
            else:
                produced += self.count([loss], announcement.endpoint, is_certain=False)
        return produced

    def suspect(
        self, task: jobs.Task, loss: crashes.Loss, lost: messages.EndpointNews
    ) -> dispatcher.Effects:
        """Record a probable crash under a stored job's task, for its successors too."""
        task.history.suspect(loss.number, loss.is_early)
        crash = messages.TaskCrash(
            task.name,
            loss.number,
            loss.is_early,
            lost.endpoint,
            lost.born_ms,
            lost.address,
        )
        return [
            self.build_event(task, loss, lost.endpoint, is_certain=False),
            *self.owner.stored_scheduler.record_crash(crash),
        ]

    def restore(
        self, task: jobs.Task, crash: messages.TaskCrash, age_ms: int
    ) -> dispatcher.Effects:
        """Handle a probable crash that was recorded in the log `age_ms` ago.

        The task has waited for an explanation since then, whoever dispatched it.
        """
        if task.history.is_certain(crash.number) or task.state == jobs.TaskState.DONE:
            return []
        loss = crashes.Loss(task.job.key, task.name, crash.number, crash.is_early)
        now_ms = self.owner.clock.now_ms()
        lost = crashes.LostIncarnation(
            crash.address, (loss,), now_ms, now_ms - min(age_ms, EXPLANATION_MS)
        )
        if not self.unexplained.add(crash.endpoint, crash.born_ms, lost):
            return []
        task.history.suspect(crash.number, crash.is_early)
        if not self.is_replaced(crash):
            return []
        return self.confirm(crash.endpoint, crash.born_ms)

    def is_replaced(self, crash: messages.TaskCrash) -> bool:
        """Return whether a known endpoint replaced the incarnation of a crash."""
        known = self.owner.endpoints.get(crash.endpoint)
        if known is not None and known.announcement.born_ms > crash.born_ms:
            return True
        return any(
            endpoint.announcement.address == crash.address
            for name, endpoint in self.owner.endpoints.items()
            if name != crash.endpoint
        )

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
        """Count the losses of incarnations that an endpoint has replaced."""
        produced: dispatcher.Effects = []
        for endpoint, born_ms in self.unexplained.find_replaced(
            announcement.endpoint, announcement.born_ms, announcement.address
        ):
            produced += self.confirm(endpoint, born_ms)
        return produced

    def on_silent(self, endpoint: str, born_ms: int) -> dispatcher.Effects:
        """Count the losses of an endpoint without a sign of life for long.

        It may be cut off, so those of stored jobs still wait for an explanation.
        """
        lost = self.unexplained.incarnations.pop((endpoint, born_ms), None)
        if lost is None:
            return []
        stored = tuple(loss for loss in lost.losses if self.is_stored(loss))
        self.unexplained.add(
            endpoint, born_ms, dataclasses.replace(lost, losses=stored)
        )
        return self.count(
            [loss for loss in lost.losses if loss not in stored], endpoint
        )

    def is_stored(self, loss: crashes.Loss) -> bool:
        """Return whether a loss concerns a task of a stored job that is open."""
        task = self.find_task(loss)
        return task is not None and task.job.is_stored

    def on_answer(
        self, endpoint: endpoints.Endpoint, answer: calls.HoldResult
    ) -> dispatcher.Effects:
        """Retract the losses of an incarnation that answers a call sent after them."""
        if not self.unexplained.incarnations:
            return []
        announcement = endpoint.announcement
        key = (announcement.endpoint, announcement.born_ms)
        lost = self.unexplained.incarnations.get(key)
        if lost is None or answer.reading.sent_ms < lost.lost_ms:
            return []
        return self.retract(endpoint)

    def tick(self, now_ms: int) -> None:
        """Let tasks of stored jobs start again if nothing explains their losses."""
        for loss in self.unexplained.waive_older(now_ms - EXPLANATION_MS):
            task = self.find_task(loss)
            if task is not None and task.job.is_stored:
                task.history.waived.add(loss.number)
        self.unexplained.drop_older(now_ms - MEMORY_MS)

    def retract(self, endpoint: endpoints.Endpoint) -> dispatcher.Effects:
        """Forget the losses of an incarnation that answers again or signed off."""
        announcement = endpoint.announcement
        produced: dispatcher.Effects = []
        for loss in self.unexplained.take(announcement.endpoint, announcement.born_ms):
            task = self.find_task(loss)
            if task is None:
                continue
            was_counted = loss.number in task.history.crashes
            task.history.forget(loss.number)
            if was_counted and task.job.is_stored:
                crash = messages.TaskCrash(task.name, loss.number, loss.is_early)
                produced += self.owner.stored_scheduler.record_crash(crash, True)
        return produced

    def find_task(self, loss: crashes.Loss) -> jobs.Task | None:
        """Return the task of a loss if its job is still open."""
        job = self.owner.jobs.get(loss.job_key)
        return job.find_task(loss.task) if job is not None else None

    def count(
        self,
        losses: collections.abc.Iterable[crashes.Loss],
        endpoint: str,
        is_certain: bool = True,
    ) -> dispatcher.Effects:
        """Count a crash against each task that was lost with the endpoint.

        Only best-effort jobs count one that is not certain.
        """
        produced: dispatcher.Effects = []
        for loss in losses:
            task = self.find_task(loss)
            if task is None or task.state == jobs.TaskState.DONE:
                continue
            task.history.unexplained.pop(loss.number, None)
            if task.job.is_lasting and not loss.is_early:
                continue
            if not task.history.is_certain(loss.number):
                produced += self.count_crash(task, loss, endpoint, is_certain)
        return produced

    def count_crash(
        self, task: jobs.Task, loss: crashes.Loss, endpoint: str, is_certain: bool
    ) -> dispatcher.Effects:
        """Count one crash against a task; fail its job if the task is at fault.

        The entry VM keeps the count of a best-effort job for the next dispatcher, the
        log that of a stored job, which it also ends.
        """
        task.history.count(loss.number, loss.is_early)
        crash = messages.TaskCrash(task.name, loss.number, loss.is_early)
        produced: dispatcher.Effects = [
            self.build_event(task, loss, endpoint, is_certain)
        ]
        if task.job.is_stored:
            return produced + self.owner.stored_scheduler.record_crash(crash)
        if task.job.entry:
            crashed = messages.TaskCrashed(task.job.job_id, crash)
            produced.append(effects.Send(task.job.entry, crashed))
        return produced + self.fail_if_at_fault(task.job)

    def build_event(
        self, task: jobs.Task, loss: crashes.Loss, endpoint: str, is_certain: bool
    ) -> log_events.TaskSuspected:
        """Return the log event for a crash, or a probable one, under a task."""
        return log_events.TaskSuspected(
            task.name,
            loss.number,
            endpoint,
            loss.is_early,
            len(task.history.crashes),
            is_certain,
        )

    def fail_if_at_fault(self, job: jobs.Job) -> dispatcher.Effects:
        """End a best-effort job if one of its tasks is at fault."""
        if not job.has_task_at_fault or self.owner.jobs.get(job.key) is not job:
            return []
        reason = reasons.Reason.TASK_CRASHED_ENDPOINTS
        return self.owner.end_job(job, messages.JobFailed(job.job_id, reason))
