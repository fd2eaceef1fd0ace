"""Route a request to its handler, after authentication and reading its body."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing
import urllib.parse

from knapweedbeam_core import outcomes, reasons
from knapweedbeam_server.http import auth, replies, request_body, wsgi_server

Environ = wsgi_server.Environ
StartResponse = wsgi_server.StartResponse
JSON_TYPE = "application/json"
WILDCARD = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One call; `path_params` are the path segments that match the wildcards."""

    method: str
    path_params: tuple[str, ...]
    query: dict[str, str]
    body: bytes
    caller: auth.Caller
    key: str

    def get_int(self, name: str, default: int) -> int | outcomes.Refusal:
        """Return a query parameter as a whole number of 0 or more."""
        text = self.query.get(name)
        if text is None:
            return default
        if not text.isdecimal() or len(text) > 15:
            detail = f"{name} is {text[:20]!r}, not a whole number of 0 or more"
            return outcomes.Refusal(reasons.Reason.INVALID, detail)
        return int(text)


Handler = collections.abc.Callable[[Request], replies.Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A method and a path, in which `*` matches any segment, with its access."""

    method: str
    path: str
    handler: Handler
    access: auth.Access


class RequestGauge(typing.Protocol):
    """Counts the requests in progress."""

    open_requests: int

    def is_stopping(self) -> bool:
        """Return whether connections are to be closed after their reply."""


class Router:
    """A WSGI application over a table of routes."""

    def __init__(
        self,
        routes: tuple[Route, ...],
        authenticator: auth.Authenticator,
        bounds: request_body.BodyBounds,
        gauge: RequestGauge,
    ) -> None:
        self.authenticator = authenticator
        self.bounds = bounds
        self.gauge = gauge
        self.routes_by_length: dict[int, list[tuple[tuple[str, ...], Route]]] = {}
        for route in routes:
            segments = tuple(route.path.strip("/").split("/"))
            self.routes_by_length.setdefault(len(segments), []).append(
                (segments, route)
            )

    def __call__(self, environ: Environ, start: StartResponse) -> list[bytes]:
        """Handle one request."""
        self.gauge.open_requests += 1
        try:
            reply = self.answer(environ)
            headers = [
                ("Content-Type", JSON_TYPE),
                ("Content-Length", str(len(reply.body))),
                *reply.headers,
            ]
            if self.gauge.is_stopping():
                headers.append(("Connection", "close"))
            start(replies.STATUS_TEXTS[reply.status], headers)
            return [reply.body]
        finally:
            self.gauge.open_requests -= 1

    def answer(self, environ: Environ) -> replies.Reply:
        """Return the reply to one request."""
        method = environ["REQUEST_METHOD"]
        segments = tuple(environ["PATH_INFO"].strip("/").split("/"))
        route_match = self.find_route(method, segments)
        if isinstance(route_match, outcomes.Refusal):
            status = 405 if route_match.reason is reasons.Reason.INVALID else 404
            return replies.build_refusal(route_match, status)
        route, path_params = route_match
        caller = self.authenticator.check(
            environ.get("HTTP_AUTHORIZATION", ""), route.access
        )
        if isinstance(caller, outcomes.Refusal):
            return replies.build_refusal(caller)
        body = request_body.read_body(environ, self.bounds)
        if isinstance(body, replies.Reply):
            return body
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        return route.handler(Request(method, path_params, query, body, caller, key))

    def find_route(
        self, method: str, segments: tuple[str, ...]
    ) -> tuple[Route, tuple[str, ...]] | outcomes.Refusal:
        """Return the route of a path and its path parameters."""
        path_exists = False
        for pattern, route in self.routes_by_length.get(len(segments), ()):
            pairs = list(zip(pattern, segments, strict=True))
            if any(expected not in (WILDCARD, actual) for expected, actual in pairs):
                continue
            path_exists = True
            if route.method == method:
                path_params = tuple(
                    actual for expected, actual in pairs if expected == WILDCARD
                )
                return route, path_params
        if path_exists:
            return outcomes.Refusal(
                reasons.Reason.INVALID, f"method {method} is not allowed"
            )
        return outcomes.Refusal(reasons.Reason.NOT_FOUND, "no such path")
