"""Validated models of the HTTP response bodies."""

from __future__ import annotations

import msgspec

from knapweedbeam_core import histogram_series


class HistogramsBody(msgspec.Struct):
    """The answer to `GET /v1/histograms`."""

    series: tuple[histogram_series.Series, ...]


class EndpointBody(msgspec.Struct):
    """One process's view of an endpoint."""

    endpoint: str
    service: str
    domain: str
    worker: str = ""
    state: str = ""
    health: str = ""
    slots: int = 0
    running: int = 0
    keeper: str = ""


class EndpointsBody(msgspec.Struct):
    """The answer to `GET /v1/endpoints`."""

    endpoints: tuple[EndpointBody, ...]


class LimitBody(msgspec.Struct):
    """One limit and its usage, in the unit of its dimension."""

    limit: str
    dimension: str
    total: int
    share: int
    used: int
    window_ms: int


class MemberLimitsBody(msgspec.Struct):
    """The limits of one member."""

    member: str
    limits: tuple[LimitBody, ...]


class LimitsBody(msgspec.Struct):
    """The answer to `GET /v1/limits`.

    A member gets its own limits in `limits`; operators get all in `members`.
    """

    limits: tuple[LimitBody, ...] = ()
    members: tuple[MemberLimitsBody, ...] = ()


class TrafficBody(msgspec.Struct):
    """Counts of the traffic on all links in one direction."""

    frames: int = 0
    frame_bytes: int = 0
    dropped: int = 0
    messages: dict[str, int] = msgspec.field(default_factory=dict)


class LinksBody(msgspec.Struct):
    """The links of a process to its peers."""

    connected: tuple[str, ...] = ()
    sent: TrafficBody = msgspec.field(default_factory=TrafficBody)
    received: TrafficBody = msgspec.field(default_factory=TrafficBody)


class StatusBody(msgspec.Struct):
    """The answer to `GET /v1/status`."""

    process: str
    domain: str
    ready: bool
    version: int
    digest: str
    incarnation: int = 0
    stopping: bool = False
    leader: str = ""
    in_force: dict[str, int] = msgspec.field(default_factory=dict)
    unreachable_domains: tuple[str, ...] = ()
    live: tuple[str, ...] = ()
    waiting_calls: int = 0
    running_tasks: int = 0
    links: LinksBody = msgspec.field(default_factory=LinksBody)


class AcceptedBody(msgspec.Struct):
    """The answer to an accepted bundle."""

    version: int
    digest: str
    in_force: dict[str, int] = msgspec.field(default_factory=dict)
    unreachable_domains: tuple[str, ...] = ()


class BundleBody(msgspec.Struct):
    """The answer to `GET /v1/bundles/{version}`."""

    bundle: str
