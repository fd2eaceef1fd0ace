"""HTTP routes that read histograms, limits and endpoints."""

from __future__ import annotations

import typing

import gevent
import msgspec

from knapweedbeam_core.dispatch import listing
from knapweedbeam_core.limits import limiter
from knapweedbeam_server import histograms
from knapweedbeam_server.http import auth, replies, router


class HistogramsContent(msgspec.Struct):
    """The answer to `GET /v1/histograms`."""

    series: tuple[histograms.Series, ...]


class LimitsContent(msgspec.Struct):
    """The answer to `GET /v1/limits`: the usage at this entry VM."""

    limits: tuple[limiter.LimitUsage, ...]


class MemberLimits(msgspec.Struct):
    """One member's limits, for operators."""

    member: str
    limits: tuple[limiter.LimitUsage, ...]


class AllLimitsContent(msgspec.Struct):
    """The answer to the operators' `GET /v1/limits`."""

    members: tuple[MemberLimits, ...]


class EndpointsContent(msgspec.Struct):
    """The answer to `GET /v1/endpoints`."""

    endpoints: tuple[listing.EndpointListing, ...]


class ReportService(typing.Protocol):
    """The functions of the process that these routes use."""

    histograms: histograms.Histograms

    def get_members(self) -> tuple[str, ...]:
        """Return the names of all members."""

    def get_usage(self, member: str) -> tuple[limiter.LimitUsage, ...]:
        """Return a member's limits and how much of each is used here."""

    def list_endpoints(self) -> tuple[listing.EndpointListing, ...]:
        """Return the endpoints that this process knows."""


class ReportApi:
    """Handlers of the read-only routes."""

    def __init__(self, service: ReportService) -> None:
        self.service = service

    def get_member_routes(self) -> tuple[router.Route, ...]:
        """Return the callers' routes; each member reads only its own data."""
        access = auth.Access.CALLER
        return (
            router.Route("GET", "/v1/histograms", self.get_own, access),
            router.Route("GET", "/v1/limits", self.get_own_limits, access),
        )

    def get_operator_routes(self) -> tuple[router.Route, ...]:
        """Return the operators' routes."""
        access = auth.Access.OPERATOR
        return (
            router.Route("GET", "/v1/histograms", self.get_all, access),
            router.Route("GET", "/v1/limits", self.get_all_limits, access),
            router.Route("GET", "/v1/endpoints", self.get_endpoints, access),
        )

    def get_own(self, request: router.Request) -> replies.Reply:
        """Reply with the caller's own histograms."""
        series = self.service.histograms.get_member(request.caller.member)
        return replies.build_reply(replies.OK, HistogramsContent(series))

    def get_all(self, request: router.Request) -> replies.Reply:
        """Reply with all histograms; yield to the event loop after each member."""
        series: list[histograms.Series] = []
        for member in self.service.get_members():
            series += self.service.histograms.get_member(member)
            gevent.sleep(0)
        return replies.build_reply(replies.OK, HistogramsContent(tuple(series)))

    def get_own_limits(self, request: router.Request) -> replies.Reply:
        """Reply with the caller's own limits."""
        limits = self.service.get_usage(request.caller.member)
        return replies.build_reply(replies.OK, LimitsContent(limits))

    def get_all_limits(self, request: router.Request) -> replies.Reply:
        """Reply with the limits of all members."""
        members = tuple(
            MemberLimits(name, self.service.get_usage(name))
            for name in self.service.get_members()
        )
        return replies.build_reply(replies.OK, AllLimitsContent(members))

    def get_endpoints(self, request: router.Request) -> replies.Reply:
        """Reply with the endpoints that this process knows."""
        endpoints = self.service.list_endpoints()
        return replies.build_reply(replies.OK, EndpointsContent(endpoints))
