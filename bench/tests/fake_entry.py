"""A minimal entry VM in one process for tests, with selectable faults."""

from __future__ import annotations

import enum
import typing

import gevent.pywsgi
import msgspec
from gevent import socket

from bench import calls, endpoint
from knapweedbeam_server import history

TIMEOUT_S = 5.0


class Flaw(enum.StrEnum):
    NONE = "none"
    START_TWICE = "start_twice"
    FALSE_NOT_RUN = "false_not_run"
    REVERT = "revert"
    DROP_FIRST = "drop_first"
    CROSS = "cross"


class FakeEntry:
    """Starts all tasks of a job at one endpoint, in order."""

    def __init__(
        self, host: str, target: str, writer: history.HistoryWriter, flaw: Flaw
    ) -> None:
        self.flaw = flaw
        self.history = writer
        self.endpoint = calls.Caller(target, "", TIMEOUT_S)
        self.outcomes: dict[str, dict[str, typing.Any]] = {}
        self.minted_count = 0
        self.dropped = False
        self.server = gevent.pywsgi.WSGIServer(
            (host, 0), self.serve, handler_class=endpoint.Handler, log=None
        )
        self.server.start()
        writer.write(history.Ready())
        writer.write(history.Accepted(2, "y"))
        writer.write(history.InForce(2, "y"))
        if flaw == Flaw.REVERT:
            writer.write(history.InForce(1, "x"))

    def serve(
        self, environ: dict[str, typing.Any], start_response: endpoint.StartResponse
    ) -> list[bytes]:
        body = msgspec.json.decode(environ["wsgi.input"].read() or b"{}")
        path = environ["PATH_INFO"]
        if path == "/v1/tickets":
            tickets = [f"t{self.minted_count + n}" for n in range(body["count"])]
            self.minted_count += body["count"]
            start_response("201 Created", [])
            return [msgspec.json.encode({"tickets": tickets})]
        if self.flaw == Flaw.DROP_FIRST and not self.dropped:
            self.dropped = True
            environ[endpoint.SOCKET_KEY].shutdown(socket.SHUT_RDWR)
            return []
        ticket = path.rpartition("/")[2]
        if ticket not in self.outcomes:
            self.outcomes[ticket] = {"outcome": "pending"}
            self.outcomes[ticket] = self.run(ticket, body["tasks"])
        final = self.outcomes[ticket]
        pending = final["outcome"] == "pending"
        start_response("202 Accepted" if pending else "200 OK", [])
        return [msgspec.json.encode(final)]

    def run(self, ticket: str, tasks: list[typing.Any]) -> dict[str, typing.Any]:
        answers = []
        for index, task in enumerate(tasks):
            payload = msgspec.json.encode(task["payload"])
            for _ in range(2 if self.flaw == Flaw.START_TWICE else 1):
                answer = self.endpoint.call("POST", f"/tasks/{ticket}/{index}", payload)
            assert isinstance(answer, calls.Reply)
            answers.append(answer.get_json())
        if self.flaw == Flaw.FALSE_NOT_RUN:
            return {"outcome": "not_run", "reason": "limit", "retry_after_ms": 0}
        if self.flaw == Flaw.CROSS:
            answers.reverse()
        return {"outcome": "complete", "answers": answers}
