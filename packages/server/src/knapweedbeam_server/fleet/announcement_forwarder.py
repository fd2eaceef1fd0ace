"""Endpoints' words about themselves: taken, passed on, and known to the dispatcher."""

from __future__ import annotations

import collections.abc
import typing

import gevent.event

from knapweedbeam_core import effects
from knapweedbeam_core.fleet import dispatcher_role, membership
from knapweedbeam_core.pool import dispatcher, messages

# An endpoint that signs off waits a second for the acknowledgement.
HELD_TIMEOUT_S = 0.8


class Host(typing.Protocol):
    """What the process around it offers."""

    members: membership.Membership
    dispatcher_role: dispatcher_role.DispatcherRole
    dispatcher: dispatcher.Dispatcher

    def send(self, sent: effects.Send) -> None:
        """Send a message."""

    def run(self, produced: collections.abc.Sequence[typing.Any]) -> None:
        """Carry out a dispatcher's effects."""


class AnnouncementForwarder:
    """Brings endpoints' words to every process that may dispatch."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.held: dict[tuple[str, int, int], gevent.event.Event] = {}

    def handle_announcement(self, news: messages.EndpointNews) -> bool:
        """Take an endpoint's word; say whether it may count on being heard.

        An endpoint that leaves is acknowledged only once its dispatcher knows.
        """
        self.host.run(self.host.dispatcher.on_announcement(news))
        self.tell_hubs(news)
        if (
            news.state != messages.EndpointState.LEAVING
            or self.host.dispatcher_role.generation
        ):
            return True
        key = (news.endpoint, news.born_ms, news.sequence)
        event = self.held.setdefault(key, gevent.event.Event())
        try:
            return bool(event.wait(HELD_TIMEOUT_S))
        finally:
            self.held.pop(key, None)

    def take_news(self, sender: str, news: messages.EndpointNews) -> None:
        """Take an endpoint's word that another process passed on."""
        self.host.run(self.host.dispatcher.on_announcement(news))
        if self.host.dispatcher_role.generation:
            held = messages.EndpointNewsHeld(news.endpoint, news.born_ms, news.sequence)
            self.host.send(effects.Send(sender, held))

    def take_held(self, held: messages.EndpointNewsHeld) -> None:
        """Let an endpoint that leaves be acknowledged."""
        event = self.held.get((held.endpoint, held.born_ms, held.sequence))
        if event is not None:
            event.set()

    def handle_departure(self, gone: messages.EndpointGone) -> None:
        """Take an endpoint's farewell and pass it on."""
        self.host.run(self.host.dispatcher.on_endpoint_gone(gone))
        self.tell_hubs(gone)

    def tell_hubs(self, message: effects.Message) -> None:
        """Tell every process that may dispatch."""
        members = self.host.members
        hubs = members.get_core_names() | set(members.get_standbys())
        for name in sorted(hubs - {members.name}):
            self.host.send(effects.Send(name, message))

    def pass_speeds(self) -> None:
        """Tell those that may follow this dispatcher how fast endpoints are."""
        if self.host.dispatcher_role.generation:
            self.tell_hubs(self.host.dispatcher.list_speeds())
