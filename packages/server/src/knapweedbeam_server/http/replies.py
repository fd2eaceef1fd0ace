"""Replies to HTTP calls, and the HTTP status of each reason."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from knapweedbeam_core import outcomes, reasons

Reason = reasons.Reason

OK = 200
CREATED = 201
ACCEPTED = 202
STATUS_TEXTS = {
    200: "200 OK",
    201: "201 Created",
    202: "202 Accepted",
    307: "307 Temporary Redirect",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    410: "410 Gone",
    411: "411 Length Required",
    413: "413 Content Too Large",
    422: "422 Unprocessable Content",
    429: "429 Too Many Requests",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
REFUSAL_STATUS = {
    Reason.INVALID: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.SIGNATURES: 403,
    Reason.NOT_FOUND: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.CONFLICT: 409,
    Reason.STALE: 409,
    Reason.TOO_LARGE: 413,
    Reason.LIMIT: 429,
    Reason.OVERLOADED: 429,
    Reason.MEMORY: 429,
    Reason.OUTCOME_UNKNOWN: 504,
    Reason.EXPIRED: 504,
}
RETRY_LATER = frozenset(
    {Reason.LIMIT, Reason.OVERLOADED, Reason.MEMORY, Reason.DEADLINE}
)
GATEWAY_TIMEOUTS = frozenset(
    {
        Reason.TASK_TIMEOUT,
        Reason.DEADLINE,
        Reason.OUTCOME_UNKNOWN,
        Reason.OWNER_LOST,
        Reason.EXPIRED,
    }
)
MS_PER_S = 1_000
encoder = msgspec.json.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply; `headers` are added to the standard ones."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def build_reply(status: int, content: typing.Any) -> Reply:
    """Return a reply that holds `content` as JSON."""
    return Reply(status, encoder.encode(content))


class ErrorContent(msgspec.Struct):
    """The body of a refused call."""

    error: str
    reason: str
    detail: str


def build_refusal(refusal: outcomes.Refusal, status: int = 0) -> Reply:
    """Return the reply to a refused call; `status` overrides the reason's status."""
    code = status or REFUSAL_STATUS.get(refusal.reason, 503)
    content = ErrorContent("refused", refusal.reason, refusal.detail)
    return build_reply(code, content)


class NotRunContent(msgspec.Struct):
    """The final answer to a job that was not run."""

    outcome: str
    reason: str
    retry_after_ms: int
    ticket: str


class FailedContent(msgspec.Struct):
    """The final answer to a job that failed."""

    outcome: str
    reason: str
    may_have_run: bool
    ticket: str


class PendingContent(msgspec.Struct):
    """The answer to a call for a job that has no outcome yet."""

    outcome: str
    ticket: str


def build_outcome(ticket: str, outcome: outcomes.Outcome) -> Reply:
    """Return the final answer to a job."""
    match outcome:
        case outcomes.Complete(answers):
            head = b'{"outcome":"complete","ticket":' + encoder.encode(ticket)
            return Reply(OK, head + b',"answers":[' + b",".join(answers) + b"]}")
        case outcomes.NotRun(reason, retry_after_ms):
            status = 429 if reason in RETRY_LATER else 503
            content = NotRunContent("not_run", reason, retry_after_ms, ticket)
            seconds = -(-retry_after_ms // MS_PER_S)
            headers = (("Retry-After", str(seconds)),)
            return Reply(status, encoder.encode(content), headers)
        case outcomes.Failed(reason, may_have_run):
            status = 504 if reason in GATEWAY_TIMEOUTS else 502
            return build_reply(
                status, FailedContent("failed", reason, may_have_run, ticket)
            )


def build_pending(ticket: str) -> Reply:
    """Return the answer for a job that has no outcome yet."""
    return build_reply(ACCEPTED, PendingContent("pending", ticket))
