"""Routes the messages of a simulated process, as `message_router` does."""

from __future__ import annotations

import typing

from knapweedbeam_core import effects
from knapweedbeam_core.evacuations import machine as evacuation_machine
from knapweedbeam_core.fleet import job_routes, membership
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.pool import messages

if typing.TYPE_CHECKING:
    from bench.fleet import node


class MessageRouter:
    """Routes the incoming messages of one process."""

    def __init__(self, owner: node.Node) -> None:
        self.node = owner

    def route(self, sender: str, message: effects.Message) -> None:
        """Pass a message to the part that handles it."""
        node = self.node
        if isinstance(message, fleet_messages.Presence | fleet_messages.Alive):
            self.handle_heartbeat(sender, message)
            return
        interval_ms = 0
        if isinstance(message, messages.Submit):
            interval_ms = self.get_interval_ms(sender)
        if node.members.record_contact(sender, interval_ms):
            self.handle_return(sender)
        match message:
            case messages.Submit():
                self.handle_submit(sender, message)
            case messages.Withdraw():
                node.run(node.shards.on_withdraw(message))
                node.run(node.relay.withdraw(message))
            case messages.CancelOpenJob():
                node.run(node.shards.on_cancel(message))
            case messages.JobCancelled():
                node.run(node.open_jobs.on_cancelled(message))
            case messages.ConfirmJob():
                node.run(node.open_jobs.on_question(sender, message))
                node.run(node.relay.forward_question(sender, message))
            case messages.JobConfirmed():
                node.run(node.shards.on_confirmed(message))
                node.run(node.relay.return_confirmation(message))
            case messages.TaskCrashed():
                node.open_jobs.on_task_crashed(message)
                node.run(node.relay.return_crash(message))
            case messages.JobComplete() | messages.JobFailed():
                node.run(node.open_jobs.on_ended(sender, message))
                node.run(node.relay.return_outcome(message))
            case messages.JobRefused():
                node.run(node.open_jobs.on_refused(sender, message))
                node.run(node.relay.return_outcome(message))
            case messages.NotDispatching():
                node.run(node.open_jobs.on_not_dispatching(sender, message))
            case messages.EndpointNews():
                node.run(node.shards.on_announcement(message))
            case messages.SpeedsLearned():
                node.shards.on_speeds(sender, message)
            case messages.EndpointGone():
                node.run(node.shards.on_endpoint_gone(message))
            case _:
                raise TypeError(message)

    def handle_submit(self, sender: str, submit: messages.Submit) -> None:
        """Dispatch a job, or relay it for an entry VM that does not reach its owner."""
        node = self.node
        target = self.find_relay_target(submit)
        if target is not None:
            node.run(node.relay.forward(sender, target.name, submit, target.token))
        else:
            node.run(node.shards.on_submit(sender, submit))

    def find_relay_target(self, submit: messages.Submit) -> job_routes.Target | None:
        """Return the process that a job is relayed to, None to handle it here."""
        node = self.node
        shard = node.shards.find_shard(submit)
        if node.shards.dispatchers[shard].fence:
            return None
        table = node.sharding.table
        if node.role.generation and len(table) > shard:
            owner = table[shard]
            is_own = owner.name == node.name
            return None if is_own else job_routes.Target(owner.name, owner.token)
        if node.is_core or node.shards.is_active():
            return None
        target = node.open_jobs.find_target(submit.job_id)
        is_dispatching = node.members.is_active_dispatcher(target.name)
        is_owner = node.job_routes.is_owner(target.name)
        return target if is_dispatching or is_owner else None

    def get_interval_ms(self, sender: str) -> int:
        """Return when an entry VM that has jobs here sends its next heartbeat."""
        presence = self.node.members.get_presence(sender)
        is_follower = presence is not None and presence.using == self.node.name
        return membership.FAST_INTERVAL_MS if is_follower else 0

    def handle_heartbeat(
        self, sender: str, message: fleet_messages.Presence | fleet_messages.Alive
    ) -> None:
        """Handle a heartbeat."""
        if isinstance(message, fleet_messages.Presence):
            self.node.apply_evacuations(
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
        node = self.node
        presence = node.members.get_presence(name)
        if presence is None:
            return
        is_standby = name in node.members.get_standbys()
        if node.role.generation and (presence.is_core or is_standby):
            for announcement in node.shards.list_announcements():
                node.send(effects.Send(name, announcement))
        self.handle_state(presence)

    def handle_state(self, presence: fleet_messages.Presence) -> None:
        """Act on which dispatcher a member uses."""
        if self.is_served_here(presence):
            self.node.run(self.node.shards.on_entry_recovered(presence.name))
        elif presence.using:
            self.node.run(self.node.shards.on_entry_lost(presence.name))

    def is_served_here(self, presence: fleet_messages.Presence) -> bool:
        """Return whether a member sends jobs to this process, as lead or as owner."""
        if presence.using == self.node.name:
            return True
        lead = self.node.members.members.get(presence.using)
        if lead is None or lead.presence is None:
            return False
        return any(owner.name == self.node.name for owner in lead.presence.shards)
