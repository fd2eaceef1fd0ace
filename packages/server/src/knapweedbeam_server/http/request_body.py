"""Read a request's body within bounds."""

from __future__ import annotations

import dataclasses

import gevent

from knapweedbeam_core import outcomes, reasons
from knapweedbeam_server.http import replies, wsgi_server


@dataclasses.dataclass(frozen=True, slots=True)
class BodyBounds:
    """What one request may take."""

    body_bytes: int
    read_timeout_ms: int


def read_body(
    environ: wsgi_server.Environ, bounds: BodyBounds
) -> bytes | replies.Reply:
    """Return the body, or the refusal of one that is too large or too slow."""
    if "HTTP_TRANSFER_ENCODING" in environ:
        detail = "a body needs Content-Length"
        refusal = outcomes.Refusal(reasons.Reason.INVALID, detail)
        return close(replies.build_refusal(refusal, 411))
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal() or int(text) > bounds.body_bytes:
        bound_unread(environ, bounds)
        detail = f"a body holds at most {bounds.body_bytes} bytes"
        refusal = outcomes.Refusal(reasons.Reason.TOO_LARGE, detail)
        return close(replies.build_refusal(refusal))
    size = int(text)
    body = b""
    if size:
        with gevent.Timeout(bounds.read_timeout_ms / 1_000, False):
            body = environ["wsgi.input"].read(size)
    if len(body) < size:
        detail = f"{size} bytes announced and not sent in time"
        refusal = outcomes.Refusal(reasons.Reason.INVALID, detail)
        return close(replies.build_refusal(refusal, 408))
    return body


def bound_unread(environ: wsgi_server.Environ, bounds: BodyBounds) -> None:
    """Have the server skip no more of a refused body than a body may hold.

    Some of it is skipped, so that a caller gets the reply, not a reset.
    """
    environ["wsgi.input"].content_length = bounds.body_bytes


def close(reply: replies.Reply) -> replies.Reply:
    """Have the connection closed: the rest of the body stays unread."""
    return dataclasses.replace(reply, headers=(("Connection", "close"),))
