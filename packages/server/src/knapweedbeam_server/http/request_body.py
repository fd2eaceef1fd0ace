"""Read the body of a request within bounds on its size and time."""

from __future__ import annotations

import dataclasses

import gevent

from knapweedbeam_core import outcomes, reasons
from knapweedbeam_server.http import replies, wsgi_server


@dataclasses.dataclass(frozen=True, slots=True)
class BodyBounds:
    """The maximum size and read time of one body."""

    body_bytes: int
    read_timeout_ms: int


def read_body(
    environ: wsgi_server.Environ, bounds: BodyBounds
) -> bytes | replies.Reply:
    """Return the body, or a refusal if it is too large or arrives too slowly."""
    if "HTTP_TRANSFER_ENCODING" in environ:
        detail = "a body needs Content-Length"
        refusal = outcomes.Refusal(reasons.Reason.INVALID, detail)
        return add_close_header(replies.build_refusal(refusal, 411))
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal() or int(text) > bounds.body_bytes:
        limit_discarded_bytes(environ, bounds)
        detail = f"a body holds at most {bounds.body_bytes} bytes"
        refusal = outcomes.Refusal(reasons.Reason.TOO_LARGE, detail)
        return add_close_header(replies.build_refusal(refusal))
    size = int(text)
    body = b""
    if size:
        with gevent.Timeout(bounds.read_timeout_ms / 1_000, False):
            body = environ["wsgi.input"].read(size)
    if len(body) < size:
        detail = f"the body of {size} bytes did not arrive in time"
        refusal = outcomes.Refusal(reasons.Reason.INVALID, detail)
        return add_close_header(replies.build_refusal(refusal, 408))
    return body


def limit_discarded_bytes(environ: wsgi_server.Environ, bounds: BodyBounds) -> None:
    """Limit how much of a refused body the server reads and discards.

    Without that reading the caller would get a connection reset, not the reply.
    """
    environ["wsgi.input"].content_length = bounds.body_bytes


def add_close_header(reply: replies.Reply) -> replies.Reply:
    """Add a header that closes the connection, as its body was not read entirely."""
    return dataclasses.replace(reply, headers=(("Connection", "close"),))
