"""The decision logic of one entry VM: its parts and the events between them."""

from __future__ import annotations

import collections
import collections.abc

from knapweedbeam_core import effects, ids, jobs, outcomes, rules
from knapweedbeam_core.entry import parts

Observe = collections.abc.Callable[[parts.Effect], None]


class Node:
    """Composes the parts; every call returns effects for the shell only.

    `observe` is called with each effect in order, including the events between
    parts.
    """

    def __init__(
        self,
        coordinator: parts.Coordinator,
        dispatcher: parts.Dispatcher,
        control: parts.Control,
        observe: Observe,
    ) -> None:
        self.coordinator = coordinator
        self.dispatcher = dispatcher
        self.control = control
        self.observe = observe
        self.rules = rules.Rules()
        self.parts: tuple[parts.Part, ...] = (control, dispatcher, coordinator)
        self.handlers: dict[type, parts.Part] = {
            cls: part for part in self.parts for cls in part.get_message_classes()
        }
        self.live: frozenset[ids.ProcessId] = frozenset()

    def submit(self, job: jobs.Job) -> parts.Effects:
        """Submit a job under its ticket."""
        return self.route_events(self.coordinator.submit(job))

    def submit_new(
        self, job: jobs.Job, key: str
    ) -> tuple[str, parts.Effects] | outcomes.Refusal:
        """Submit a job without a ticket, under the caller's key or none.

        Return the handle that its `Answer` will carry, with the effects.
        """
        submitted = self.coordinator.submit_new(job, key)
        if isinstance(submitted, outcomes.Refusal):
            return submitted
        handle, followed = submitted
        return handle, self.route_events(followed)

    def look_up(self, ticket: str, member: str) -> parts.Effects:
        """Request a job's outcome."""
        return self.route_events(self.coordinator.look_up(ticket, member))

    def cancel(self, ticket: str, member: str) -> parts.Effects:
        """Cancel a job."""
        return self.route_events(self.coordinator.cancel(ticket, member))

    def announce(
        self, announcement: parts.Announcement
    ) -> tuple[parts.EndpointLease | outcomes.Refusal, parts.Effects]:
        """Handle an endpoint's announcement."""
        answer, followed = self.dispatcher.announce(announcement)
        return answer, self.route_events(followed)

    def report_usage(self, report: parts.UsageReport) -> parts.Effects:
        """Handle a worker's usage report."""
        return self.route_events(self.dispatcher.report_usage(report))

    def handle_task_end(self, end: effects.TaskEnd) -> parts.Effects:
        """Handle the end of a task."""
        return self.route_events(self.dispatcher.handle_task_end(end))

    def propose(self, call: int, bundle: str) -> parts.Effects:
        """Propose a bundle; `call` identifies the answer."""
        return self.route_events(self.control.propose(call, bundle))

    def persisted(self, batch: int) -> parts.Effects:
        """Continue after the records of a `Persist` effect are synced to disk."""
        return self.route_events(self.control.persisted(batch))

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Pass a message to the part that handles its class; ignore other classes."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return []
        return self.route_events(handler.on_message(sender, message))

    def tick(self) -> parts.Effects:
        """Run the periodic work of every part."""
        followed: parts.Effects = []
        for part in self.parts:
            followed += part.tick()
        return self.route_events(followed)

    def stop(self) -> parts.Effects:
        """Start a graceful stop."""
        followed = self.coordinator.stop()
        return self.route_events(followed + self.dispatcher.stop())

    def route_events(self, new: parts.Effects) -> parts.Effects:
        """Route events to their parts until only effects for the shell remain."""
        pending = collections.deque(new)
        remaining: parts.Effects = []
        while True:
            pending.extend(self.update_live())
            if not pending:
                return remaining
            effect = pending.popleft()
            followed = self.route_effect(effect)
            if followed is None:
                remaining.append(effect)
            else:
                pending.extend(followed)

    def apply_rules(self, new: rules.Rules) -> parts.Effects:
        """Apply the rules of a newer bundle to every part."""
        self.rules = new
        followed: parts.Effects = []
        for part in self.parts:
            followed += part.on_rules(new)
        return followed

    def update_live(self) -> parts.Effects:
        """Notify the coordinator if the set of live entry VMs has changed."""
        live = self.dispatcher.get_live()
        if live is self.live or live == self.live:
            return []
        self.live = live
        return self.coordinator.on_live(live)

    def route_effect(self, effect: parts.Effect) -> parts.Effects | None:
        """Handle an event and return what follows; None for an effect of the shell."""
        self.observe(effect)
        match effect:
            case effects.Enqueue(job):
                return self.dispatcher.enqueue(job)
            case effects.CancelJob(ticket):
                return self.dispatcher.cancel(ticket)
            case effects.RequestBegin(ticket):
                return self.coordinator.begin(ticket)
            case effects.JobBegun(ticket):
                return self.dispatcher.start_job(ticket)
            case effects.JobAbandoned(ticket):
                return self.dispatcher.abandon(ticket)
            case effects.JobEnded(ticket, outcome):
                return self.coordinator.settle(ticket, outcome)
            case parts.RulesInForce(new):
                return self.apply_rules(new)
        return None
