"""Post tasks to endpoints, each exactly once."""

from __future__ import annotations

import collections
import collections.abc
import time
import urllib.parse

import gevent
import gevent.pool
import geventhttpclient
import geventhttpclient.response

from knapweedbeam_core import effects, reasons
from knapweedbeam_server.http import bodies

CONNECT_TIMEOUT_S = 2.0
MAX_CLIENTS = 4_096
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MS_PER_S = 1_000
NOT_STARTED_HEADER = "task-started"
TASK_HEADER = "task"
JSON_HEADERS = {"Content-Type": "application/json"}

TaskEnded = collections.abc.Callable[[effects.TaskEnd], None]


class EndpointClients:
    """One bounded set of connections for each endpoint address."""

    def __init__(self) -> None:
        self.clients: collections.OrderedDict[str, geventhttpclient.HTTPClient] = (
            collections.OrderedDict()
        )

    def get(self, address: str) -> geventhttpclient.HTTPClient:
        """Return the client of an address; the longest unused makes room."""
        client = self.clients.get(address)
        if client is None:
            client = self.clients[address] = build_client(address)
            if len(self.clients) > MAX_CLIENTS:
                _, oldest = self.clients.popitem(last=False)
                oldest.close()
        self.clients.move_to_end(address)
        return client


def build_client(address: str) -> geventhttpclient.HTTPClient:
    """Return a client; the time for a whole task is bounded by the caller."""
    return geventhttpclient.HTTPClient.from_url(
        address,
        concurrency=MAX_CLIENTS,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=None,
    )


class TaskStarter:
    """Runs one greenlet for each task that is at an endpoint."""

    def __init__(self, ended: TaskEnded, platform: str) -> None:
        self.ended = ended
        self.platform = platform
        self.clients = EndpointClients()
        self.running = gevent.pool.Group()
        self.stops = gevent.pool.Pool(64)

    def start(self, task: effects.StartTask) -> None:
        """Post a task; its end is reported once."""
        self.running.spawn(self.run, task)

    def run(self, start: effects.StartTask) -> None:
        """Post a task and report its end."""
        began = time.monotonic()
        result = self.post(start)
        run_ms = round((time.monotonic() - began) * MS_PER_S)
        self.ended(effects.TaskEnd(start.task, start.endpoint, result, run_ms))

    def post(self, start: effects.StartTask) -> effects.TaskResult:
        """Return what became of one try.

        Only a refused connection, or the endpoint's own word, says that the task
        was not started; anything else after the connect may have run.
        """
        path = f"/tasks/{start.task.ticket}/{start.task.index}"
        timeout = gevent.Timeout(start.timeout_ms / MS_PER_S)
        try:
            with timeout:
                client = self.clients.get(start.address)
                response = client.request("POST", path, start.payload, JSON_HEADERS)
                with response:
                    return read_result(start, response)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            return effects.TaskFailed(reasons.Reason.TASK_TIMEOUT)
        except ConnectionRefusedError:
            return effects.TaskNotStarted(reasons.Reason.ENDPOINT_LOST)
        except (OSError, geventhttpclient.response.HTTPParseError, ValueError):
            return effects.TaskFailed(reasons.Reason.ENDPOINT_LOST)

    def stop(self, task: effects.StopTask) -> None:
        """Ask the platform to stop a task; nothing waits for the answer."""
        if self.platform and not self.stops.full():
            self.stops.spawn(self.post_stop, task)

    def post_stop(self, stop: effects.StopTask) -> None:
        """Post one stop; a lost one costs only time at the worker."""
        ticket = urllib.parse.quote(stop.task.ticket, safe="")
        path = f"/tasks/{ticket}/{stop.task.index}/stop"
        try:
            with gevent.Timeout(CONNECT_TIMEOUT_S):
                client = self.clients.get(self.platform)
                client.request("POST", path, b"").read()
        except (
            OSError,
            gevent.Timeout,
            geventhttpclient.response.HTTPParseError,
        ):
            return


def read_result(
    start: effects.StartTask,
    response: geventhttpclient.response.HTTPSocketPoolResponse,
) -> effects.TaskResult:
    """Return the result that a response stands for."""
    status = response.status_code
    body = response.read(MAX_ANSWER_BYTES + 1)
    if not response.message_complete or len(body) > MAX_ANSWER_BYTES:
        return effects.TaskFailed(reasons.Reason.ENDPOINT_LOST)
    if status == 503 and response.get(NOT_STARTED_HEADER) == "no":
        return effects.TaskNotStarted(reasons.Reason.OVERLOADED)
    named = response.get(TASK_HEADER)
    if named not in (None, f"{start.task.ticket}/{start.task.index}"):
        return effects.TaskFailed(reasons.Reason.CONFLICT)
    if not 200 <= status < 300:
        return effects.TaskFailed(reasons.Reason.TASK_FAILED)
    if not bodies.is_json(body):
        return effects.TaskFailed(reasons.Reason.INVALID)
    return effects.TaskAnswered(body)
