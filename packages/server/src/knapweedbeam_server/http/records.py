"""Calls that read histograms, limits and endpoints."""

from __future__ import annotations

import typing

import msgspec

from knapweedbeam_server import histograms
from knapweedbeam_server.http import auth, replies, router


class HistogramsContent(msgspec.Struct):
    """The answer to `GET /v1/histograms`."""

    series: tuple[histograms.Series, ...]


class RecordService(typing.Protocol):
    """What these calls need of the process."""

    histograms: histograms.Histograms


class RecordApi:
    """Handlers of the routes that only read."""

    def __init__(self, service: RecordService) -> None:
        self.service = service

    def get_member_routes(self) -> tuple[router.Route, ...]:
        """Return the routes of members: each reads its own."""
        access = auth.Access.CALLER
        return (router.Route("GET", "/v1/histograms", self.get_own, access),)

    def get_operator_routes(self) -> tuple[router.Route, ...]:
        """Return the routes of operators."""
        access = auth.Access.OPERATOR
        return (router.Route("GET", "/v1/histograms", self.get_all, access),)

    def get_own(self, request: router.Request) -> replies.Reply:
        """Answer with the caller's own histograms."""
        series = self.service.histograms.get_member(request.bearer.member)
        return replies.build_reply(replies.OK, HistogramsContent(series))

    def get_all(self, request: router.Request) -> replies.Reply:
        """Answer with the histograms of all members."""
        series = self.service.histograms.get_all()
        return replies.build_reply(replies.OK, HistogramsContent(series))
