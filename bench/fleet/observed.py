"""Endpoints of a simulated deployment, and the runs that they saw."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from bench.pool import simulation
from knapweedbeam_core.pool import calls, open_jobs

if typing.TYPE_CHECKING:
    from bench.fleet import deployment

ANNOUNCE_INTERVAL_MS = 1_500


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run of a task on an endpoint, and who started it with which token."""

    task: str
    number: int
    endpoint: str
    starter: str
    fence: int
    began_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken, with the job and the runs that show it."""

    at_ms: int
    rule: str
    job_id: str
    runs: tuple[Run, ...]
    hand_ins: int = 1

    def describe(self) -> str:
        """Return the rule, who started the runs and how often the job was handed in."""
        if self.rule != "TWICE":
            return self.rule
        last = self.runs[-1]
        former = self.runs[-2]
        by = "another process"
        if former.starter == last.starter:
            by = "same token" if former.fence == last.fence else "other token"
        times = "handed in once" if self.hand_ins == 1 else "handed in again"
        base = "" if last.number < open_jobs.ATTEMPTS_PER_DISPATCHER else ", taken over"
        return f"TWICE ({by}, {times}{base})"


class Endpoint(simulation.FakeEndpoint):
    """An endpoint of a domain, whose leases end at their time and not at a tick."""

    def __init__(self, owner: deployment.Deployment, name: str, domain: str) -> None:
        super().__init__(owner, name)
        self.deployment = owner
        self.domain = domain
        self.caller = ""
        self.heartbeat_node = ""

    def start(self, call: calls.Start) -> calls.Verdict:
        """Handle a call to start an attempt."""
        longest = dataclasses.replace(
            call, until_ms=min(call.until_ms, self.max_until_ms)
        )
        verdict = super().start(longest)
        self.watch_lease()
        return verdict

    def hold(
        self,
        call: calls.Hold,
        reply: collections.abc.Callable[[calls.HoldResult], None],
    ) -> calls.Verdict | None:
        """Handle a hold."""
        verdict = super().hold(call, reply)
        self.watch_lease()
        return verdict

    def watch_lease(self) -> None:
        """Expire the lease at its time."""
        self.simulation.schedule(self.until_ms + 1, self.expire)

    def stop(self, call: calls.Stop) -> calls.Verdict:
        """Handle a call to stop an attempt, which takes a random time."""
        if call.fence >= self.fence:
            self.deployment.record(
                self.name, f"stops {call.task} {call.number} for {self.caller}"
            )
        return super().stop(call)

    def end(self, run: simulation.RunningAttempt, kind: calls.EndKind) -> None:
        """End an attempt."""
        if self.running_attempts.get(run.task) is run:
            self.deployment.on_end(self, run, kind)
        super().end(run, kind)

    def announce(self) -> None:
        """Announce itself to a process, the same one as long as it answers."""
        self.simulation.schedule_after(ANNOUNCE_INTERVAL_MS, self.announce)
        node = self.deployment.find_heartbeat_node(self)
        if node is None:
            return
        announcement = self.build_announcement()
        self.deployment.network.transmit(
            self.name,
            node.name,
            lambda: node.do(lambda: node.handle_announcement(announcement)),
        )
