"""Forwards announcements of endpoints to every process that may dispatch."""

from __future__ import annotations

import collections.abc
import typing

import gevent.event

from knapweedbeam_core import effects
from knapweedbeam_core.fleet import membership
from knapweedbeam_core.pool import messages, shards

# Shorter than the 1 s for which a leaving endpoint waits for its acknowledgement.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.8


class Host(typing.Protocol):
    """The parts and methods of the process that are used here."""

    members: membership.Membership
    shards: shards.ShardedDispatcher

    def send(self, effect: effects.Send) -> None:
        """Send a message."""

    def run(self, produced: collections.abc.Sequence[typing.Any]) -> None:
        """Carry out a dispatcher's effects."""


class AnnouncementForwarder:
    """Passes announcements to this process's dispatcher and to the other processes."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.pending_acknowledgements: dict[
            tuple[str, int, int], gevent.event.Event
        ] = {}

    def handle_announcement(self, announcement: messages.EndpointNews) -> bool:
        """Handle an announcement; return whether it may be acknowledged.

        A leaving endpoint is acknowledged only once the active dispatcher knows of it.
        """
        self.host.run(self.host.shards.on_announcement(announcement))
        self.send_to_candidates(announcement)
        if (
            announcement.state != messages.EndpointState.LEAVING
            or self.host.shards.is_active_for(announcement.endpoint)
        ):
            return True
        key = (announcement.endpoint, announcement.born_ms, announcement.sequence)
        event = self.pending_acknowledgements.setdefault(key, gevent.event.Event())
        try:
            return bool(event.wait(ACKNOWLEDGEMENT_TIMEOUT_S))
        finally:
            self.pending_acknowledgements.pop(key, None)

    def handle_forwarded_announcement(
        self, sender: str, announcement: messages.EndpointNews
    ) -> None:
        """Handle an announcement that another process forwarded."""
        self.host.run(self.host.shards.on_announcement(announcement))
        if self.host.shards.is_active_for(announcement.endpoint):
            acknowledgement = messages.EndpointNewsHeld(
                announcement.endpoint, announcement.born_ms, announcement.sequence
            )
            self.host.send(effects.Send(sender, acknowledgement))

    def handle_acknowledgement(
        self, acknowledgement: messages.EndpointNewsHeld
    ) -> None:
        """Allow the acknowledgement of an endpoint that leaves."""
        event = self.pending_acknowledgements.get(
            (
                acknowledgement.endpoint,
                acknowledgement.born_ms,
                acknowledgement.sequence,
            )
        )
        if event is not None:
            event.set()

    def handle_departure(self, endpoint: str) -> None:
        """Handle an endpoint's deregistration and forward it.

        It does not name the incarnation, which is the one known here. A process that
        was frozen may know an earlier one than the others.
        """
        birth_ms = self.host.shards.get_birth_ms(endpoint)
        gone = messages.EndpointGone(endpoint, birth_ms)
        self.host.run(self.host.shards.on_endpoint_gone(gone))
        self.send_to_candidates(gone)

    def send_to_candidates(self, message: effects.Message) -> None:
        """Send a message to every other process that may dispatch."""
        members = self.host.members
        candidates = members.get_core_names() | set(members.get_standbys())
        for name in sorted(candidates - {members.name}):
            self.host.send(effects.Send(name, message))

    def send_speeds(self) -> None:
        """Send endpoint speeds to possible successors if this process dispatches."""
        if self.host.shards.is_active():
            self.send_to_candidates(self.host.shards.list_speeds())
