"""Submit a job under a ticket, and again under the same one until it is answered."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools

import gevent
import msgspec

from knapweedbeam_core import clock as clocks
from knapweedbeam_ctl import client, failures

DEFAULT_DEADLINE_MS = 30_000
ANSWER_MARGIN_MS = 10_000
WAIT_MS = 20_000
PAUSE_MS = 100
PAUSE_LIMIT_MS = 2_000
PENDING_STATUS = 202
FINAL_OUTCOMES = frozenset({"complete", "not_run", "failed"})
ELSEWHERE = frozenset({"not_ready", "stopping", "memory", "overloaded", "no_reason"})

Pause = collections.abc.Callable[[int], None]


class JobBody(msgspec.Struct):
    """What the command line reads of a job's body; the rest goes on unread."""

    service: str
    tasks: list[msgspec.Raw]
    deadline_ms: int | None = None


class TicketsBody(msgspec.Struct):
    """The answer to `POST /v1/tickets`."""

    tickets: list[str]


class AnswerBody(msgspec.Struct):
    """A job's answer; `answers` stay unread."""

    outcome: str
    ticket: str = ""
    reason: str = ""
    may_have_run: bool = False
    retry_after_ms: int = 0
    answers: list[msgspec.Raw] = msgspec.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A final answer with its text as it came."""

    answer: AnswerBody
    text: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No final answer in time: tasks may have run."""

    ticket: str
    detail: str


def pause(ms: int) -> None:
    """Wait before the next try."""
    gevent.sleep(ms / client.MS_PER_S)


def read_job(content: bytes) -> JobBody | failures.BadFile:
    """Check that a body is a job."""
    try:
        return msgspec.json.decode(content, type=JobBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return failures.BadFile("job", str(error))


def read_answer(response: client.Response) -> Answered | None:
    """Return the final answer that a response holds, or none."""
    try:
        answer = msgspec.json.decode(response.body, type=AnswerBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if answer.outcome not in FINAL_OUTCOMES:
        return None
    return Answered(answer, response.body)


def mint(api: client.Client) -> str | failures.Failure:
    """Return a fresh ticket; a block that got lost is never used."""
    found = api.call("POST", "/v1/tickets", b'{"count":1}')
    if isinstance(found, failures.Unreachable):
        return found
    body = client.decode(found, TicketsBody)
    if isinstance(body, failures.Refused):
        return body
    return body.tickets[0]


Result = Answered | Unknown | failures.Refused | failures.Unreachable


class Submission:
    """One job under one ticket, sent until there is an answer or time is up.

    `may_be_taken` holds from the first try that may have reached a server.
    """

    def __init__(
        self, api: client.Client, clock: clocks.Clock, pause_ms: Pause = pause
    ) -> None:
        self.api = api
        self.clock = clock
        self.pause = pause_ms
        self.ticket = ""
        self.may_be_taken = False
        self.detail = ""

    def run(self, ticket: str, content: bytes, deadline_ms: int) -> Result:
        """Submit `content`, always the same bytes, until it is answered."""
        self.ticket = ticket
        end_ms = self.clock.now_ms() + deadline_ms + ANSWER_MARGIN_MS
        path = f"/v1/jobs/{ticket}?wait_ms={WAIT_MS}"
        pause_ms = PAUSE_MS
        for server in itertools.cycle(self.api.servers):
            result = self.judge(self.api.call_one(server, "PUT", path, content))
            if result is not None:
                return result
            if self.clock.now_ms() + pause_ms >= end_ms:
                break
            self.pause(pause_ms)
            pause_ms = min(2 * pause_ms, PAUSE_LIMIT_MS)
        if self.may_be_taken:
            return Unknown(ticket, self.detail)
        return failures.Unreachable((self.detail,))

    def judge(self, found: client.Response | client.Lost) -> Result | None:
        """Return what a try settles, or none to try again."""
        if isinstance(found, client.Lost):
            self.may_be_taken |= found.may_have_arrived
            self.detail = found.detail
            return None
        answered = read_answer(found)
        if answered is not None:
            return answered
        if found.status == PENDING_STATUS:
            self.may_be_taken = True
            self.detail = "still pending"
            return None
        return self.judge_refusal(client.build_refused(found))

    def judge_refusal(self, refused: failures.Refused) -> Result | None:
        """Try elsewhere where another server may take it; else end here."""
        self.detail = str(refused)
        if refused.reason in ELSEWHERE:
            return None
        if self.may_be_taken:
            return Unknown(self.ticket, self.detail)
        return refused
