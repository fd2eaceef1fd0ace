"""Post tasks to endpoints, each one exactly once."""

from __future__ import annotations

import collections.abc
import contextlib
import time
import urllib.parse

import gevent
import gevent.pool

from knapweedbeam_core import effects, ids, reasons
from knapweedbeam_server.http import bodies
from knapweedbeam_server.tasks import http_exchange

STOP_TIMEOUT_S = 2.0
MAX_CONCURRENT_STOPS = 64
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MS_PER_S = 1_000
NOT_STARTED_VALUE = "no"

TaskEndCallback = collections.abc.Callable[[effects.TaskEnd], None]


class TaskStarter:
    """Runs one greenlet for each task that was sent to an endpoint."""

    def __init__(self, on_end: TaskEndCallback, platform: str) -> None:
        self.on_end = on_end
        self.platform = platform
        self.targets = http_exchange.TargetCache()
        self.running = 0
        self.stop_pool = gevent.pool.Pool(MAX_CONCURRENT_STOPS)

    def start(self, task: effects.StartTask) -> None:
        """Start a greenlet that posts a task and reports its end once."""
        self.running += 1
        gevent.spawn(self.run, task)

    def run(self, start: effects.StartTask) -> None:
        """Post a task and report its end."""
        started_s = time.monotonic()
        result = self.post(start)
        run_ms = round((time.monotonic() - started_s) * MS_PER_S)
        self.running -= 1
        self.on_end(effects.TaskEnd(start.task, start.endpoint, result, run_ms))

    def post(self, start: effects.StartTask) -> effects.TaskResult:
        """Post a task and return its result.

        The task is reported as not started only if no connection could be opened or
        the endpoint says so itself; in all other cases it may have run.
        """
        path = f"/tasks/{start.task.ticket}/{start.task.index}"
        timeout = gevent.Timeout(start.timeout_ms / MS_PER_S)
        try:
            with timeout:
                target = self.targets.get(start.address)
                answer = http_exchange.post(
                    target, path, start.payload, MAX_ANSWER_BYTES
                )
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            return effects.TaskFailed(reasons.Reason.TASK_TIMEOUT)
        except (http_exchange.NotSentError, ValueError):
            return effects.TaskNotStarted(reasons.Reason.ENDPOINT_LOST)
        except http_exchange.IncompleteAnswerError:
            return effects.TaskFailed(reasons.Reason.ENDPOINT_LOST)
        return build_result(start.task, answer)

    def stop(self, task: effects.StopTask) -> None:
        """Ask the platform to stop a task, without waiting for the answer."""
        if self.platform and not self.stop_pool.full():
            self.stop_pool.spawn(self.post_stop, task)

    def post_stop(self, stop: effects.StopTask) -> None:
        """Post one stop request; if it is lost, the task only runs on at the worker."""
        ticket = urllib.parse.quote(stop.task.ticket, safe="")
        path = f"/tasks/{ticket}/{stop.task.index}/stop"
        with (
            contextlib.suppress(
                http_exchange.NotSentError, http_exchange.IncompleteAnswerError
            ),
            gevent.Timeout(STOP_TIMEOUT_S, False),
        ):
            target = self.targets.get(self.platform)
            http_exchange.post(target, path, b"", MAX_ANSWER_BYTES)


def build_result(task: ids.TaskId, answer: http_exchange.Answer) -> effects.TaskResult:
    """Return the task result for an endpoint's answer."""
    if answer.status == 503 and answer.started == NOT_STARTED_VALUE:
        return effects.TaskNotStarted(reasons.Reason.OVERLOADED)
    if answer.task and answer.task != f"{task.ticket}/{task.index}":
        return effects.TaskFailed(reasons.Reason.CONFLICT)
    if not 200 <= answer.status < 300:
        return effects.TaskFailed(reasons.Reason.TASK_FAILED)
    if not bodies.is_json(answer.body):
        return effects.TaskFailed(reasons.Reason.INVALID)
    return effects.TaskAnswered(answer.body)
