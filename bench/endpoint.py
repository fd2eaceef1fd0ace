"""A fake endpoint that runs tasks by waiting, with a given speed, slots and faults.

A task is `POST /tasks/{ticket}/{index}` with a payload such as
`{"work_ms": 80, "echo": 7}`; the answer names the task and repeats `echo`. The
endpoint writes to its history which tasks it started and how each ended.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import gevent.event
import gevent.pywsgi
import msgspec
from gevent import socket

from bench import deployment, events, faults
from knapweedbeam_core import clock, ids
from knapweedbeam_server import history

FAIL_MS = 1
MAX_UNRESPONSIVE_S = 120.0
STOPPED_STATUS = 500
SOCKET_KEY = "bench.socket"
NOT_STARTED = ("Task-Started", "no")
STATUS_LINES = {
    200: "200 OK",
    202: "202 Accepted",
    400: "400 Bad Request",
    404: "404 Not Found",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}

StartResponse = collections.abc.Callable[[str, list[tuple[str, str]]], typing.Any]


class Payload(msgspec.Struct):
    """The payload of a task; CPU and memory are what the task really uses."""

    work_ms: float = 1.0
    echo: int = 0
    cpu_millis: int = 0
    memory_mib: int = 0


class TaskAnswer(msgspec.Struct):
    """The answer of a task."""

    echo: int
    ticket: str
    index: int


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A running task; `stopped` is set when the platform stops it."""

    payload: Payload
    stopped: gevent.event.Event


class Handler(gevent.pywsgi.WSGIHandler):  # type: ignore[misc]
    """Sends answers without delay and passes the connection to the application.

    Header and body are sent in two writes. Without `TCP_NODELAY` the second waits for
    the caller's delayed acknowledgement, about 40 ms.
    """

    def handle(self) -> None:
        """Handle the requests of a connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the request's environment with its connection added."""
        environ: dict[str, typing.Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def reply(
    start_response: StartResponse,
    status: int,
    body: bytes,
    *headers: tuple[str, str],
) -> list[bytes]:
    """Answer a request with a JSON body."""
    length = ("Content-Length", str(len(body)))
    kind = ("Content-Type", "application/json")
    start_response(STATUS_LINES[status], [kind, length, *headers])
    return [body]


class FakeEndpoint:
    """One endpoint, whose `fault` and `slowdown` may change while it runs."""

    def __init__(
        self,
        spec: deployment.EndpointSpec,
        writer: history.HistoryWriter,
        own_clock: clock.Clock,
        incarnation: int,
    ) -> None:
        self.spec = spec
        self.history = writer
        self.clock = own_clock
        self.incarnation = incarnation
        self.fault = faults.Fault.NONE
        self.slowdown = 1.0
        self.is_leaving = False
        self.running: dict[ids.TaskId, RunningTask] = {}
        self.server = gevent.pywsgi.WSGIServer(
            (spec.host, spec.port),
            self.serve,
            handler_class=Handler,
            log=None,
            error_log=None,
        )

    @property
    def address(self) -> str:
        """Return the address that tasks are sent to."""
        return f"http://{self.spec.host}:{self.server.server_port}"

    def start(self) -> None:
        """Start to accept tasks."""
        self.server.start()

    def stop(self) -> None:
        """Stop accepting connections and close the listener."""
        self.server.stop(timeout=0.1)

    def serve(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> list[bytes]:
        """Handle one HTTP request."""
        task = parse_task(environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        if environ["REQUEST_METHOD"] != "POST" or task is None:
            return reply(start_response, 404, b"{}")
        if self.fault == faults.Fault.REFUSE:
            return reply(start_response, 503, b"{}", NOT_STARTED)
        try:
            payload = msgspec.json.decode(body, type=Payload)
        except msgspec.MsgspecError:
            return reply(start_response, 400, b"{}", NOT_STARTED)
        status = self.run_task(task, payload)
        answer = self.build_answer(task, payload)
        if self.fault in faults.RAW_FAULTS:
            faults.send_raw(environ[SOCKET_KEY], self.fault, answer)
        return reply(start_response, status, answer if status == 200 else b"{}")

    def build_answer(self, task: ids.TaskId, payload: Payload) -> bytes:
        """Return the task's answer, or that of another task under the fault for it."""
        if self.fault == faults.Fault.OTHER_TASK:
            task = ids.TaskId(task.ticket, task.index + 1)
            payload.echo += 1
        return msgspec.json.encode(TaskAnswer(payload.echo, task.ticket, task.index))

    def run_task(self, task: ids.TaskId, payload: Payload) -> int:
        """Run a task to its end and return the HTTP status."""
        name = self.spec.name
        started_ms = self.clock.now_ms()
        self.history.write(history.Started(task.ticket, task.index, name))
        running = RunningTask(payload, gevent.event.Event())
        # A second start of a task must not replace the running first one.
        self.running.setdefault(task, running)
        count = len(self.running)
        if count > self.spec.slots:
            self.history.write(events.OverSlots(name, count, self.spec.slots))
        stopped = running.stopped.wait(self.get_wait_s(payload))
        if self.running.get(task) is running:
            del self.running[task]
        status = STOPPED_STATUS if stopped or self.is_failing() else 200
        run_ms = self.clock.now_ms() - started_ms
        self.history.write(
            history.TaskAnswered(task.ticket, task.index, name, status, run_ms)
        )
        return status

    def is_failing(self) -> bool:
        """Say whether all tasks fail under the current fault."""
        return self.fault in (faults.Fault.FAIL, faults.Fault.SILENT)

    def get_wait_s(self, payload: Payload) -> float:
        """Return how long a task runs, longer if tasks exceed the slots."""
        if self.fault == faults.Fault.FAIL:
            return FAIL_MS / clock.SECOND_MS
        if self.fault == faults.Fault.SILENT:
            return MAX_UNRESPONSIVE_S
        overload = max(1.0, len(self.running) / self.spec.slots)
        run_ms = payload.work_ms / self.spec.speed * self.slowdown * overload
        return run_ms / clock.SECOND_MS

    def stop_task(self, task: ids.TaskId) -> bool:
        """Stop a task; return false if it does not run here."""
        running = self.running.get(task)
        if running is None:
            return False
        running.stopped.set()
        return True


def parse_task(path: str) -> ids.TaskId | None:
    """Return the task that a path names, or None."""
    parts = path.split("/")
    if len(parts) < 4 or parts[1] != "tasks" or not parts[3].isdecimal():
        return None
    return ids.TaskId(parts[2], int(parts[3]))
