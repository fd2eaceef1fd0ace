"""Hands the messages of other processes to the parts that they are for."""

from __future__ import annotations

import typing

from knapweedbeam_core import effects
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.log import messages as log_messages
from knapweedbeam_core.pool import messages
from knapweedbeam_core.stored import messages as stored_messages
from knapweedbeam_server.logs import catalogue, emit

if typing.TYPE_CHECKING:
    from knapweedbeam_server.fleet import node

# Between two requests for the same manifest; an answer takes a few milliseconds.
WANTED_MS = 150


class MessageRouter:
    """The incoming messages of one process."""

    def __init__(self, own: node.Node) -> None:
        self.node = own
        self.wanted_due_ms = 0

    def take(self, sender: str, message: effects.Message) -> None:
        """Hand a message to the part that it is for."""
        match message:
            case fleet_messages.Presence():
                self.hear(message)
            case messages.Submit():
                self.take_submit(sender, message)
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
                self.node.announcement_forwarder.take_news(sender, message)
            case messages.EndpointNewsHeld():
                self.node.announcement_forwarder.take_held(message)
            case messages.SpeedsLearned():
                self.node.dispatcher.on_speeds(message)
            case messages.EndpointGone():
                self.node.run(self.node.dispatcher.on_endpoint_gone(message))
            case fleet_messages.ManifestWanted(held_version):
                self.node.manifests.pass_on(sender, held_version)
            case fleet_messages.ManifestNews(version, body):
                self.node.manifests.put_in_force(version, body)
            case _ if isinstance(message, stored_messages.CLASSES):
                self.node.stored_jobs.take(sender, message)
            case _:
                if self.node.log is not None:
                    self.node.log.on_message(typing.cast(log_messages.Message, message))

    def take_submit(self, sender: str, submit: messages.Submit) -> None:
        """Dispatch a job, or pass it on for an entry VM that is cut off."""
        dispatcher_name = self.node.open_jobs.dispatcher
        is_relay = not self.node.dispatcher.fence and not self.node.settings.is_core
        if is_relay and self.node.members.is_active_dispatcher(dispatcher_name):
            self.node.run(self.node.relay.forward(sender, dispatcher_name, submit))
        else:
            self.node.run(self.node.dispatcher.on_submit(sender, submit))

    def hear(self, presence: fleet_messages.Presence) -> None:
        """Take a heartbeat."""
        if self.node.members.record_heartbeat(presence):
            self.node.silent.discard(presence.name)
            emit.emit(
                catalogue.MEMBER_HEARD,
                peer=presence.name,
                core=presence.is_core,
                generation=presence.generation,
            )
            self.pass_endpoints(presence)
        if presence.using == self.node.settings.name:
            self.node.run(self.node.dispatcher.on_entry_recovered(presence.name))
        elif presence.using:
            self.node.run(self.node.dispatcher.on_entry_lost(presence.name))
        now_ms = self.node.clock.now_ms()
        lacks = presence.manifest_version > self.node.manifests.get_version()
        if lacks and now_ms >= self.wanted_due_ms:
            self.wanted_due_ms = now_ms + WANTED_MS
            wanted = fleet_messages.ManifestWanted(self.node.manifests.get_version())
            self.node.send(effects.Send(presence.name, wanted))

    def pass_endpoints(self, presence: fleet_messages.Presence) -> None:
        """Tell a process that was silent which endpoints there are."""
        is_standby = presence.name in self.node.members.get_standbys()
        if not self.node.dispatcher_role.generation or not (
            presence.is_core or is_standby
        ):
            return
        for news in self.node.dispatcher.list_announcements():
            self.node.send(effects.Send(presence.name, news))
