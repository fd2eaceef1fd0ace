"""All decisions of one entry VM: the parts, and the events between them."""

from __future__ import annotations

import collections
import collections.abc

from knapweedbeam_core import effects, ids, jobs, outcomes, rules
from knapweedbeam_core.entry import parts

Observe = collections.abc.Callable[[parts.Effect], None]


class Node:
    """Composes the parts; every call returns effects for the shell only.

    `observe` is told of each effect as it happens, events between parts included.
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
        """Take a submission under its ticket."""
        return self.route_events(self.coordinator.submit(job))

    def submit_new(
        self, job: jobs.Job, key: str
    ) -> tuple[str, parts.Effects] | outcomes.Refusal:
        """Take a submission without a ticket, under the caller's key or none."""
        taken = self.coordinator.submit_new(job, key)
        if isinstance(taken, outcomes.Refusal):
            return taken
        handle, followed = taken
        return handle, self.route_events(followed)

    def look_up(self, ticket: str, member: str) -> parts.Effects:
        """Ask for a job's outcome."""
        return self.route_events(self.coordinator.look_up(ticket, member))

    def cancel(self, ticket: str, member: str) -> parts.Effects:
        """Cancel a job."""
        return self.route_events(self.coordinator.cancel(ticket, member))

    def announce(
        self, announcement: parts.Announcement
    ) -> tuple[parts.EndpointLease | outcomes.Refusal, parts.Effects]:
        """Take an endpoint's announcement."""
        answer, followed = self.dispatcher.announce(announcement)
        return answer, self.route_events(followed)

    def report_usage(self, report: parts.UsageReport) -> parts.Effects:
        """Take a worker's usage."""
        return self.route_events(self.dispatcher.report_usage(report))

    def handle_task_end(self, end: effects.TaskEnd) -> parts.Effects:
        """Take the end of a task."""
        return self.route_events(self.dispatcher.handle_task_end(end))

    def propose(self, call: int, bundle: str) -> parts.Effects:
        """Roll a bundle."""
        return self.route_events(self.control.propose(call, bundle))

    def persisted(self, batch: int) -> parts.Effects:
        """Go on after records are synced."""
        return self.route_events(self.control.persisted(batch))

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        """Hand a message to the part that takes its class."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return []
        return self.route_events(handler.on_message(sender, message))

    def tick(self) -> parts.Effects:
        """Let every part do what is due."""
        found: parts.Effects = []
        for part in self.parts:
            found += part.tick()
        return self.route_events(found)

    def stop(self) -> parts.Effects:
        """Start a graceful stop."""
        found = self.coordinator.stop()
        return self.route_events(found + self.dispatcher.stop())

    def route_events(self, found: parts.Effects) -> parts.Effects:
        """Hand events to their parts until only effects for the shell are left."""
        waiting = collections.deque(found)
        left: parts.Effects = []
        while True:
            waiting.extend(self.update_live())
            if not waiting:
                return left
            effect = waiting.popleft()
            followed = self.route_effect(effect)
            if followed is None:
                left.append(effect)
            else:
                waiting.extend(followed)

    def apply_rules(self, new: rules.Rules) -> parts.Effects:
        """Have every part obey a newer bundle."""
        self.rules = new
        found: parts.Effects = []
        for part in self.parts:
            found += part.on_rules(new)
        return found

    def update_live(self) -> parts.Effects:
        """Tell the coordinator when the live entry VMs have changed."""
        live = self.dispatcher.get_live()
        if live is self.live or live == self.live:
            return []
        self.live = live
        return self.coordinator.on_live(live)

    def route_effect(self, effect: parts.Effect) -> parts.Effects | None:
        """Return what follows from an event, or nothing for a shell's effect."""
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
