"""The dispatcher of an entry VM, composed of the modules of this package."""

from __future__ import annotations

import collections.abc
import random
import typing

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, rules
from knapweedbeam_core.dispatch import health as endpoint_health
from knapweedbeam_core.dispatch import intake, placement, state, task_ends, task_starter
from knapweedbeam_core.dispatch.policies import catalogue
from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import messages as membership_messages
from knapweedbeam_core.slots import held, messages, slot_manager

MAX_UPDATE_ROUNDS = 8
MIN_WEIGHT = 0.25

MessageHandler = collections.abc.Callable[
    [ids.ProcessId, typing.Any], slot_manager.Sends
]


class Dispatcher:
    """Queues jobs, leases slots and places tasks for one entry VM.

    It does no I/O: every call returns the effects for the caller to carry out.
    """

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        peers: tuple[parts.Peer, ...],
        limiter: parts.Limiter,
        clock: clock.Clock,
        rng: random.Random,
        policy: str = catalogue.Policy.LEAST_FINISH,
    ) -> None:
        self.me = me
        context = slot_manager.ProcessContext(me, domain, peers, clock, rng)
        self.slot_manager = slot_manager.SlotManager(context, self, self.get_demands)
        self.state = state.State(clock, limiter, self.slot_manager.usage)
        self.state.holder = self.slot_manager.holder
        policy_context = placement.PolicyContext(rng, self.state.times, self.fits)
        self.state.placement = catalogue.build_policy(policy, policy_context)
        self.intake = intake.Intake(
            self.state, self.slot_manager.slot_requester, self.slot_manager.directory
        )
        self.task_starter = task_starter.TaskStarter(self.state)
        self.task_end_handler = task_ends.TaskEndHandler(self.state)
        self.handlers = self.build_handlers()

    def build_handlers(self) -> dict[type, MessageHandler]:
        """Return the handler of each message class."""
        slots = self.slot_manager
        return {
            membership_messages.Heartbeat: slots.handle_heartbeat,
            membership_messages.Stopping: slots.handle_stopping,
            messages.EndpointsSeen: slots.handle_announcements,
            messages.EndpointLeft: slots.handle_departure,
            messages.HolderDelta: slots.handle_holder_delta,
            messages.KeeperDelta: slots.handle_keeper_delta,
            messages.SlotsShown: slots.handle_held_slots,
            messages.Capacity: slots.handle_capacity,
            messages.UsageSeen: slots.handle_usage_reports,
        }

    # The interface of every part.

    def get_message_classes(self) -> tuple[type, ...]:
        """Return the message classes that `on_message` accepts."""
        return membership_messages.CLASSES + messages.CLASSES

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Handle a message from another entry VM.

        Messages of unknown processes and of ended incarnations are ignored.
        """
        if not self.slot_manager.accept_sender(sender):
            return []
        self.state.pending_effects += self.handlers[type(message)](sender, message)
        return self.process_changes()

    def on_rules(self, new: rules.Rules) -> parts.Effects:
        """Apply a newer bundle: member standings, weights and service rules."""
        self.state.rules = new
        standing = {name: float(m.standing) for name, m in new.members.items()}
        self.slot_manager.keeper.standing = standing
        weights = new.weights
        self.slot_manager.slot_requester.set_weights(weights.response, weights.messages)
        for account in self.state.accounts.values():
            account.standing = self.state.get_standing(account.member)
        for service in self.state.queues:
            self.shares_changed(service)
        return self.process_changes()

    def tick(self) -> parts.Effects:
        """Handle due timers, lease expiry and heartbeats."""
        for timer in self.state.timers.pop_due(self.state.clock.now_ms()):
            self.handle_timer(timer)
        for queue in self.state.queues.values():
            if queue.backlog:
                self.state.changed_services.add(queue.service)
        self.state.pending_effects += self.slot_manager.tick()
        self.state.is_ticking = True
        followed = self.process_changes()
        self.state.is_ticking = False
        return followed

    def handle_timer(self, timer: state.Timer) -> None:
        """Handle a timer that is due."""
        if timer.kind is state.TimerKind.DEADLINE:
            self.task_end_handler.handle_deadline(timer.ticket)
        elif timer.kind is state.TimerKind.TASK_LEASE:
            self.task_end_handler.handle_lease_expiry(timer.ticket, timer.index)
        elif timer.member_queue is not None:
            queue = self.state.queues[timer.member_queue.service]
            if timer.member_queue.ready_tasks:
                queue.schedule(timer.member_queue)
            self.state.changed_services.add(timer.member_queue.service)

    # Jobs.

    def enqueue(self, job: jobs.Job) -> parts.Effects:
        """Queue a job, or end it at once as not run if admission refuses it."""
        self.intake.enqueue(job)
        return self.process_changes()

    def start_job(self, ticket: str) -> parts.Effects:
        """Start the tasks of a job recorded as begun, as slots become free."""
        self.intake.start_job(ticket)
        return self.process_changes()

    def abandon(self, ticket: str) -> parts.Effects:
        """Remove a job that was not begun, without reporting an outcome."""
        self.intake.abandon(ticket)
        return self.process_changes()

    def cancel(self, ticket: str) -> parts.Effects:
        """Cancel a job and stop its running tasks; `JobEnded` follows."""
        self.intake.cancel(ticket)
        return self.process_changes()

    def handle_task_end(self, end: effects.TaskEnd) -> parts.Effects:
        """Handle the end of a task that this process started."""
        self.task_end_handler.handle_task_end(end)
        return self.process_changes()

    def stop(self) -> parts.Effects:
        """Start a graceful stop: end queued jobs as not run, finish begun ones."""
        self.intake.stop()
        self.state.pending_effects += self.slot_manager.stop()
        return self.process_changes()

    def is_idle(self) -> bool:
        """Return whether no job is left."""
        return not self.state.jobs

    # Endpoints.

    def get_live(self) -> frozenset[ids.ProcessId]:
        """Return the live entry VMs of this failure domain, this one included."""
        return self.slot_manager.membership.get_live()

    def announce(
        self, announcement: parts.Announcement
    ) -> tuple[parts.EndpointLease | outcomes.Refusal, parts.Effects]:
        """Handle an endpoint's announcement, forwarding it to its keeper if needed."""
        answer, sends = self.slot_manager.announce(announcement)
        self.state.pending_effects += sends
        return answer, self.process_changes()

    def report_usage(self, report: parts.UsageReport) -> parts.Effects:
        """Handle a worker's usage report."""
        self.slot_manager.handle_local_usage_report(report)
        return self.process_changes()

    # Notifications from the slot holder.

    def endpoint_changed(
        self, pool: held.SlotPool, endpoint: held.HeldEndpoint
    ) -> None:
        """Update placement after an endpoint's free slots changed."""
        self.state.placement.update_endpoint(pool, endpoint)
        self.state.changed_services.add(pool.service)

    def handle_grant(self, endpoint: held.HeldEndpoint, grant: messages.Grant) -> None:
        """Apply the health and speed of an endpoint that its keeper reports."""
        record = grant.announcement
        self.state.record_worker_endpoint(record.worker, endpoint)
        times = self.state.times
        times.set_initial_speed(record.endpoint, grant.speed_percent / 100.0)
        endpoint.speed = times.get_speed(record.endpoint)
        health_entry = self.state.health.get(record.endpoint, record.incarnation)
        if not grant.revoked:
            self.state.health.apply_keeper_state(
                health_entry, record.service, grant.trial
            )
            health_entry.is_reported = health_entry.is_reported or grant.trial
        endpoint.max_running = endpoint_health.TASK_LIMITS[health_entry.state]
        endpoint.is_on_trial = health_entry.state == endpoint_health.TRIAL

    def worker_reported(self, worker: str) -> None:
        """Learn task sizes from a worker whose slots are all held here."""
        endpoint = self.state.endpoints_by_worker.get(worker)
        if endpoint is not None and endpoint.held >= endpoint.record.slots:
            self.state.sizes.learn_from_report(self.state.usage.workers[worker])

    def shares_changed(self, service: str) -> None:
        """Set the members' queue weights from their shares while slots are scarce.

        A member whose demand is met gets the weight of the largest share, scaled
        by its standing, because it may claim that much. Only members that got
        less than their demand are limited to their shares.
        """
        queue = self.state.queues.get(service)
        if queue is None:
            return
        shares: dict[str, int] = {}
        demands: dict[str, int] = {}
        for link in self.slot_manager.holder.links.values():
            allotment = link.bounds.get(service)
            if allotment is None or not allotment.bounded:
                continue
            for share in allotment.shares:
                name = share.member
                shares[name] = shares.get(name, 0) + share.slots
                slots = link.sent_demands.get(service, {}).get(name, 0)
                demands[name] = demands.get(name, 0) + slots
        largest_share = float(max(shares.values(), default=0))
        for member, member_queue in queue.member_queues.items():
            member_share = shares.get(member, 0)
            is_satisfied = member_share >= demands.get(member, 0)
            weight = (
                member_queue.account.standing * largest_share
                if is_satisfied
                else float(member_share)
            )
            member_queue.weight = (
                max(MIN_WEIGHT, weight)
                if largest_share
                else member_queue.account.standing
            )

    # Internals.

    def get_demands(self, service: str) -> dict[str, int]:
        """Return the number of slots that each member's tasks could use here."""
        return self.state.get_demands(service)

    def fits(self, endpoint: held.HeldEndpoint, request: placement.Request) -> bool:
        """Return whether a task may go to an endpoint and fits on its worker."""
        if endpoint.is_on_trial and not request.may_use_trial:
            return False
        if endpoint.record.endpoint == request.avoided_endpoint:
            return False
        return self.state.usage.fits(endpoint.record.worker, request.need)

    def process_changes(self) -> parts.Effects:
        """Start tasks, begin jobs and request slots for the services that changed.

        Return the effects collected since the last call.
        """
        state = self.state
        for _ in range(MAX_UPDATE_ROUNDS):
            changed_services, state.changed_services = state.changed_services, set()
            for service in changed_services:
                self.task_starter.start_ready_tasks(service)
                self.intake.begin_jobs_ahead(service)
                self.request_slots(service)
            state.pending_effects += self.slot_manager.collect_deltas()
            if not state.changed_services:
                break
        pending_effects, state.pending_effects = state.pending_effects, []
        return typing.cast(parts.Effects, pending_effects)

    def request_slots(self, service: str) -> None:
        """Request slots from keepers if tasks of the service are queued."""
        queue = self.state.queues.get(service)
        if queue is not None and queue.backlog:
            self.slot_manager.request_slots(service, queue.backlog)
