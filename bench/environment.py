"""A running deployment with a client, in which phases of load are run."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib

import gevent

from bench import (
    children,
    client,
    cluster,
    deployment,
    events,
    files,
    ideal,
    measure,
    trace,
)
from bench.check import report
from knapweedbeam_core import clock, ids
from knapweedbeam_server import history, system_clock

SETTLE_TIME_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """A callback that runs `at_s` seconds after the start of a phase."""

    at_s: float
    run: collections.abc.Callable[[Environment], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Jobs to send, and actions to run meanwhile."""

    name: str
    seconds: float
    jobs: tuple[trace.TraceJob, ...]
    actions: tuple[Action, ...] = ()


class Environment:
    """Starts a deployment and runs phases in it; use it as a context manager."""

    def __init__(
        self,
        plan: deployment.Deployment,
        root: pathlib.Path,
        server: files.ServerOptions,
        options: client.ClientOptions,
    ) -> None:
        self.plan = plan
        self.root = root
        self.cluster = cluster.Cluster(plan, root, server)
        own_clock = system_clock.SystemClock()
        process = ids.ProcessId("client", own_clock.wall_ms())
        path = self.cluster.folder.get_history("client")
        self.history = history.FileHistory(
            path, process, own_clock, history.Role.CLIENT
        )
        self.client = client.Client(plan, self.history, own_clock, options)
        self.stations = [
            ideal.Station(endpoint.slots, endpoint.speed) for endpoint in plan.endpoints
        ]

    def __enter__(self) -> Environment:
        """Start all processes, mint tickets and wait until the endpoints are known."""
        try:
            self.cluster.start()
        except cluster.ClusterError:
            self.cluster.stop_all()
            raise
        for member in self.plan.members:
            if member.task_starts:
                window_ms = member.window_s * clock.SECOND_MS
                self.cluster.history.write(
                    events.LimitDeclared(
                        member.name, "starts", member.task_starts, window_ms
                    )
                )
        self.client.prepare()
        gevent.sleep(SETTLE_TIME_S)
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop all processes and close the history."""
        self.cluster.stop_all()
        self.history.close()

    def run_phase(self, phase: Phase) -> measure.PhaseResult:
        """Send the jobs of a phase, run its actions meanwhile and return its result."""
        traffic = self.get_traffic()
        usage = self.get_usage()
        host_cpu_s = self.get_host_cpu_s()
        greenlets = [
            gevent.spawn_later(action.at_s, action.run, self)
            for action in phase.actions
        ]
        results = self.client.run(phase.jobs)
        gevent.joinall(greenlets, raise_error=True)
        return measure.PhaseResult(
            name=phase.name,
            seconds=phase.seconds,
            results=tuple(results),
            ideal=ideal.get_ideal(phase.jobs, self.stations),
            traffic=self.get_traffic().minus(traffic),
            usage=tuple(
                children.Usage(
                    now.cpu_s - usage[name].cpu_s if name in usage else now.cpu_s,
                    now.memory_bytes,
                )
                for name, now in self.get_usage().items()
            ),
            host_cpu_s=self.get_host_cpu_s() - host_cpu_s,
            max_send_delay_ms=self.client.max_send_delay_ms,
        )

    def get_traffic(self) -> measure.Traffic:
        """Return the traffic that the links of the running entry VMs sent so far."""
        running = [vm for vm in self.plan.vms if vm.name in self.cluster.entries]
        statuses = [gevent.spawn(self.cluster.get_status, vm) for vm in running]
        gevent.joinall(statuses)
        return measure.sum_traffic(status.value for status in statuses)

    def get_usage(self) -> dict[str, children.Usage]:
        """Return the resource usage of each running entry VM so far."""
        return {name: child.get_usage() for name, child in self.cluster.entries.items()}

    def get_host_cpu_s(self) -> float:
        """Return the processor time of the processes that host the endpoints."""
        return sum(child.get_usage().cpu_s for child in self.cluster.hosts)

    def check(self) -> report.Report:
        """Check the histories; call it after the processes have stopped."""
        return report.check_folder(self.root / "histories")
