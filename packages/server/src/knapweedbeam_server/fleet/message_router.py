"""Routes messages of other processes to the parts that handle them."""

from __future__ import annotations

import typing

from knapweedbeam_core import effects
from knapweedbeam_core.evacuations import machine as evacuation_machine
from knapweedbeam_core.fleet import job_routes, membership, sharding
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
                self.record_contact(sender, self.get_interval_ms(sender))
            case _:
                self.record_contact(sender)
        match message:
            case messages.Submit():
                self.handle_submit(sender, message)
            case messages.Withdraw():
                self.node.run(self.node.shards.on_withdraw(message))
                self.node.run(self.node.relay.withdraw(message))
            case messages.CancelOpenJob():
                self.handle_cancellation(sender, message)
            case messages.JobCancelled():
                self.node.run(self.node.open_jobs.on_cancelled(message))
                self.node.run(self.node.relay.return_outcome(message))
            case messages.ConfirmJob():
                self.node.run(self.node.open_jobs.on_question(sender, message))
                self.node.run(self.node.relay.forward_question(sender, message))
            case messages.JobConfirmed():
                self.node.run(self.node.shards.on_confirmed(message))
                self.node.run(self.node.relay.return_confirmation(message))
            case messages.TaskCrashed():
                self.node.open_jobs.on_task_crashed(message)
                self.node.run(self.node.relay.return_crash(message))
            case messages.JobComplete() | messages.JobFailed():
                self.node.run(self.node.open_jobs.on_ended(sender, message))
                self.node.run(self.node.relay.return_outcome(message))
            case messages.JobRefused():
                self.node.run(self.node.open_jobs.on_refused(sender, message))
                self.node.run(self.node.relay.return_outcome(message))
            case messages.NotDispatching():
                self.node.run(self.node.open_jobs.on_not_dispatching(sender, message))
            case messages.EndpointNews():
                self.node.announcement_forwarder.handle_forwarded_announcement(
                    sender, message
                )
            case messages.EndpointNewsHeld():
                self.node.announcement_forwarder.handle_acknowledgement(message)
            case messages.SpeedsLearned():
                self.node.shards.on_speeds(sender, message)
            case messages.EndpointGone():
                self.node.run(self.node.shards.on_endpoint_gone(message))
            case fleet_messages.ManifestWanted(held_version):
                self.node.manifests.send_newer(sender, held_version)
            case fleet_messages.ManifestNews():
                self.node.manifests.on_news(message)
            case _ if isinstance(message, stored_messages.CLASSES):
                self.node.stored_jobs.handle_message(sender, message)
            case _:
                if self.node.log is not None:
                    self.node.log.on_message(typing.cast(log_messages.Message, message))

    def handle_submit(self, sender: str, submit: messages.Submit) -> None:
        """Dispatch a job, or relay it for an entry VM that does not reach its owner."""
        shard = self.node.shards.find_shard(submit)
        target = self.find_relay_target(submit.job_id, shard)
        if target is not None:
            self.node.run(
                self.node.relay.forward(sender, target.name, submit, target.token)
            )
        else:
            self.node.run(self.node.shards.on_submit(sender, submit))

    def handle_cancellation(self, sender: str, cancel: messages.CancelOpenJob) -> None:
        """End a job that is dispatched here, or pass its cancellation on."""
        shard = sharding.get_shard(cancel.job_id, len(self.node.shards.dispatchers))
        target = self.find_relay_target(cancel.job_id, shard)
        if target is not None and target.name != sender:
            self.node.run([effects.Send(target.name, cancel)])
        else:
            self.node.run(self.node.shards.on_cancel(cancel))

    def find_relay_target(self, job_id: str, shard: int) -> job_routes.Target | None:
        """Return the process that a job is relayed to, None to handle it here.

        The lead passes jobs on to the owner of their shard, an entry VM to the
        dispatcher that it uses.
        """
        if self.node.shards.dispatchers[shard].fence:
            return None
        table = self.node.sharding.table
        if self.node.dispatcher_role.generation and len(table) > shard:
            owner = table[shard]
            is_own = owner.name == self.node.settings.name
            return None if is_own else job_routes.Target(owner.name, owner.token)
        if self.node.settings.is_core or self.node.shards.is_active():
            return None
        target = self.node.open_jobs.find_target(job_id)
        is_dispatching = self.node.members.is_active_dispatcher(target.name)
        is_owner = self.node.job_routes.is_owner(target.name)
        return target if is_dispatching or is_owner else None

    def get_interval_ms(self, sender: str) -> int:
        """Return when an entry VM that has jobs here sends its next heartbeat.

        To the process that it follows it sends at the fast rate until its jobs have
        ended, to other owners of shards as before.
        """
        presence = self.node.members.get_presence(sender)
        is_follower = presence is not None and presence.using == self.node.settings.name
        return membership.FAST_INTERVAL_MS if is_follower else 0

    def record_contact(self, sender: str, interval_ms: int = 0) -> None:
        """Record a message of a member, whose state is as it was."""
        if self.node.members.record_contact(sender, interval_ms):
            self.handle_return(sender)

    def handle_heartbeat(
        self, sender: str, message: fleet_messages.Presence | fleet_messages.Alive
    ) -> None:
        """Handle a heartbeat, whose sender may know newer evacuations."""
        if isinstance(message, fleet_messages.Presence):
            self.node.evacuations.apply(
                evacuation_machine.EvacuatedDomains(
                    message.evacuation_version, message.evacuated
                )
            )
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
        if self.is_served_here(presence):
            self.node.run(self.node.shards.on_entry_recovered(presence.name))
        elif presence.using:
            self.node.run(self.node.shards.on_entry_lost(presence.name))
        self.request_manifest()

    def is_served_here(self, presence: fleet_messages.Presence) -> bool:
        """Return whether a member sends jobs to this process, as lead or as owner."""
        name = self.node.settings.name
        if presence.using == name:
            return True
        lead = self.node.members.members.get(presence.using)
        if lead is None or lead.presence is None:
            return False
        return any(owner.name == name for owner in lead.presence.shards)

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
        for announcement in self.node.shards.list_announcements():
            self.node.send(effects.Send(presence.name, announcement))
