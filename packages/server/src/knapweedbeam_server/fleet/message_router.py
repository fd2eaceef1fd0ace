"""Routes messages of other processes to the parts that handle them."""

from __future__ import annotations

import typing

from knapweedbeam_core import effects
from knapweedbeam_core.fleet import membership
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.log import messages as log_messages
from knapweedbeam_core.pool import messages
from knapweedbeam_core.stored import messages as stored_messages
from knapweedbeam_server.logs import catalogue, emit

if typing.TYPE_CHECKING:
    from knapweedbeam_server.fleet import node

# Time until a manifest is requested again; an answer takes a few milliseconds.
MANIFEST_REQUEST_INTERVAL_MS = 150


class MessageRouter:
    """Routes the incoming messages of one process."""

    def __init__(self, owner: node.Node) -> None:
        self.node = owner
        self.manifest_request_due_ms = 0

    def route(self, sender: str, message: effects.Message) -> None:
        """Pass a message to the part that handles it."""
        match message:
            case fleet_messages.Presence() | fleet_messages.Alive():
                self.handle_heartbeat(sender, message)
                return
            case messages.Submit():
                # Until its jobs have ended, the entry VM sends at the fast rate.
                self.record_contact(sender, membership.FAST_INTERVAL_MS)
            case _:
                self.record_contact(sender)
        match message:
            case messages.Submit():
                self.handle_submit(sender, message)
            case messages.Withdraw():
                self.node.run(self.node.dispatcher.on_withdraw(message))
                self.node.run(
                    self.node.relay.withdraw(self.node.open_jobs.dispatcher, message)
                )
            case messages.JobComplete() | messages.JobFailed():
                self.node.run(self.node.open_jobs.on_ended(sender, message))
                self.node.run(self.node.relay.return_outcome(message))
            case messages.JobRefused():
                self.node.run(self.node.open_jobs.on_refused(sender, message))
                self.node.run(self.node.relay.return_outcome(message))
            case messages.NotDispatching(job_id, _):
                self.node.run(self.node.open_jobs.on_not_dispatching(sender, job_id))
            case messages.EndpointNews():
                self.node.announcement_forwarder.handle_forwarded_announcement(
                    sender, message
                )
            case messages.EndpointNewsHeld():
                self.node.announcement_forwarder.handle_acknowledgement(message)
            case messages.SpeedsLearned():
                self.node.dispatcher.on_speeds(message)
            case messages.EndpointGone():
                self.node.run(self.node.dispatcher.on_endpoint_gone(message))
            case fleet_messages.ManifestWanted(held_version):
                self.node.manifests.send_newer(sender, held_version)
            case fleet_messages.ManifestNews(version, body):
                self.node.manifests.apply_manifest(version, body)
            case _ if isinstance(message, stored_messages.CLASSES):
                self.node.stored_jobs.handle_message(sender, message)
            case _:
                if self.node.log is not None:
                    self.node.log.on_message(typing.cast(log_messages.Message, message))

    def handle_submit(self, sender: str, submit: messages.Submit) -> None:
        """Dispatch a job, or relay it for an entry VM that reaches no dispatcher."""
        dispatcher_name = self.node.open_jobs.dispatcher
        is_relay = not self.node.dispatcher.fence and not self.node.settings.is_core
        if is_relay and self.node.members.is_active_dispatcher(dispatcher_name):
            self.node.run(self.node.relay.forward(sender, dispatcher_name, submit))
        else:
            self.node.run(self.node.dispatcher.on_submit(sender, submit))

    def record_contact(self, sender: str, interval_ms: int = 0) -> None:
        """Record a message of a member, whose state is as it was."""
        if self.node.members.record_contact(sender, interval_ms):
            self.handle_return(sender)

    def handle_heartbeat(
        self, sender: str, message: fleet_messages.Presence | fleet_messages.Alive
    ) -> None:
        """Handle a heartbeat."""
        if self.node.participant.receive(message, sender):
            self.handle_return(sender)
        elif isinstance(message, fleet_messages.Presence):
            self.handle_state(message)

    def handle_return(self, name: str) -> None:
        """Handle the first contact with a member, or the first one after silence."""
        presence = self.node.members.get_presence(name)
        if presence is None:
            return
        emit.emit(
            catalogue.MEMBER_HEARD,
            peer=presence.name,
            core=presence.is_core,
            generation=presence.generation,
        )
        self.send_announcements(presence)
        self.handle_state(presence)

    def handle_state(self, presence: fleet_messages.Presence) -> None:
        """Act on which dispatcher a member uses and which manifest it has."""
        if presence.using == self.node.settings.name:
            self.node.run(self.node.dispatcher.on_entry_recovered(presence.name))
        elif presence.using:
            self.node.run(self.node.dispatcher.on_entry_lost(presence.name))
        self.request_manifest()

    def request_manifest(self) -> None:
        """Request a newer manifest that a member has, until it is in force here."""
        now_ms = self.node.clock.now_ms()
        if now_ms < self.manifest_request_due_ms:
            return
        held_version = self.node.manifests.get_version()
        owner = self.node.members.find_newer_manifest(held_version)
        if owner:
            self.manifest_request_due_ms = now_ms + MANIFEST_REQUEST_INTERVAL_MS
            request = fleet_messages.ManifestWanted(held_version)
            self.node.send(effects.Send(owner, request))

    def send_announcements(self, presence: fleet_messages.Presence) -> None:
        """Send the known endpoints to a process that may dispatch and is back."""
        is_standby = presence.name in self.node.members.get_standbys()
        if not self.node.dispatcher_role.generation or not (
            presence.is_core or is_standby
        ):
            return
        for announcement in self.node.dispatcher.list_announcements():
            self.node.send(effects.Send(presence.name, announcement))
