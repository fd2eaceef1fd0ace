"""Submit a job under a ticket, with retries under the same ticket."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools

import gevent
import msgspec

from knapweedbeam_core import clock as clocks
from knapweedbeam_core import decoding
from knapweedbeam_ctl import client, failures

DEFAULT_DEADLINE_MS = 30_000
ANSWER_MARGIN_MS = 10_000
LONG_POLL_MS = 20_000
FIRST_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000
PENDING_STATUS = 202
FINAL_OUTCOMES = frozenset({"complete", "not_run", "failed"})
RETRYABLE_REASONS = frozenset(
    {"not_ready", "stopping", "memory", "overloaded", "no_reason"}
)

Pause = collections.abc.Callable[[int], None]


class JobBody(msgspec.Struct):
    """The fields of a job that are checked; the body is sent as it was read."""

    service: str
    tasks: list[msgspec.Raw]
    deadline_ms: int | None = None


class TicketsBody(msgspec.Struct):
    """The answer to `POST /v1/tickets`."""

    tickets: list[str]


class AnswerBody(msgspec.Struct):
    """A job's answer; the tasks' `answers` are not decoded."""

    outcome: str
    ticket: str = ""
    reason: str = ""
    may_have_run: bool = False
    retry_after_ms: int = 0
    answers: list[msgspec.Raw] = msgspec.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class FinalAnswer:
    """A final answer and its undecoded text."""

    answer: AnswerBody
    text: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """There was no final answer in time; tasks may have run."""

    ticket: str
    detail: str


def pause(ms: int) -> None:
    """Wait before the next attempt."""
    gevent.sleep(ms / client.MS_PER_S)


def parse_job(content: bytes) -> JobBody | failures.BadFile:
    """Return the job in a body, or a failure if the body is not a job."""
    try:
        return msgspec.json.decode(content, type=JobBody)
    except decoding.ERRORS as error:
        return failures.BadFile("job", str(error))


def parse_final_answer(response: client.Response) -> FinalAnswer | None:
    """Return the final answer in a response, or None if it has none."""
    try:
        answer = msgspec.json.decode(response.body, type=AnswerBody)
    except decoding.ERRORS:
        return None
    if answer.outcome not in FINAL_OUTCOMES:
        return None
    return FinalAnswer(answer, response.body)


def request_ticket(api: client.Client) -> str | failures.Failure:
    """Request a new ticket.

    If the response is lost, the ticket in it is never used.
    """
    response = api.call("POST", "/v1/tickets", b'{"count":1}')
    if isinstance(response, failures.Unreachable):
        return response
    body = client.decode(response, TicketsBody)
    if isinstance(body, failures.Refused):
        return body
    return body.tickets[0]


Result = FinalAnswer | UnknownOutcome | failures.Refused | failures.Unreachable


class Submission:
    """Sends one job under one ticket until it is answered or time is up.

    `may_be_accepted` is set by the first attempt that may have reached a server.
    From then on a refusal or a timeout is reported as an unknown outcome.
    """

    def __init__(
        self, api: client.Client, clock: clocks.Clock, pause: Pause = pause
    ) -> None:
        self.api = api
        self.clock = clock
        self.pause = pause
        self.ticket = ""
        self.may_be_accepted = False
        self.detail = ""

    def run(self, ticket: str, content: bytes, deadline_ms: int) -> Result:
        """Submit `content`, always the same bytes, until answered or refused.

        The servers are tried in turn, with exponential backoff, until
        `ANSWER_MARGIN_MS` after the deadline.
        """
        self.ticket = ticket
        end_ms = self.clock.now_ms() + deadline_ms + ANSWER_MARGIN_MS
        path = f"/v1/jobs/{ticket}?wait_ms={LONG_POLL_MS}"
        backoff_ms = FIRST_BACKOFF_MS
        for server in itertools.cycle(self.api.servers):
            result = self.handle_result(self.api.call_one(server, "PUT", path, content))
            if result is not None:
                return result
            if self.clock.now_ms() + backoff_ms >= end_ms:
                break
            self.pause(backoff_ms)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
        if self.may_be_accepted:
            return UnknownOutcome(ticket, self.detail)
        return failures.Unreachable((self.detail,))

    def handle_result(
        self, reply: client.Response | client.FailedCall
    ) -> Result | None:
        """Return the result of one attempt, or None to try again."""
        if isinstance(reply, client.FailedCall):
            self.may_be_accepted |= reply.may_have_arrived
            self.detail = reply.detail
            return None
        final_answer = parse_final_answer(reply)
        if final_answer is not None:
            return final_answer
        if reply.status == PENDING_STATUS:
            self.may_be_accepted = True
            self.detail = "still pending"
            return None
        return self.handle_refusal(client.build_refusal(reply))

    def handle_refusal(self, refused: failures.Refused) -> Result | None:
        """Return None if another server may accept the job, else the result."""
        self.detail = str(refused)
        if refused.reason in RETRYABLE_REASONS:
            return None
        if self.may_be_accepted:
            return UnknownOutcome(self.ticket, self.detail)
        return refused
