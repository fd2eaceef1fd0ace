"""A whole deployment in simulated time: processes, links, endpoints and callers.

Every failure domain has core VMs, entry VMs, endpoints and callers. The rules TWICE,
LIMIT and REFUSED are checked by what endpoints and callers see.
"""

from __future__ import annotations

import collections
import collections.abc
import itertools
import random

from bench.fleet import callers, endpoint_calls, network, observed
from bench.fleet import node as nodes
from bench.pool import simulation
from knapweedbeam_core.pool import attempt_tracker, calls

START_SPREAD_MS = 300
ENDPOINTS_PER_SHARD = 8
TASK_CPU_MILLIS = 27_000
BOUNDS = attempt_tracker.ProtocolBounds(
    simulation.LEASE_MS, simulation.STOP_MS, observed.ANNOUNCE_INTERVAL_MS
)


class Deployment(simulation.Simulation):
    """Processes, endpoints and callers in failure domains, and what they saw."""

    def __init__(
        self,
        seed: int = 1,
        domain_count: int = 3,
        cores_per_domain: int = 1,
        entries_per_domain: int = 2,
        endpoints_per_domain: int = 8,
        endpoints_per_shard: int = ENDPOINTS_PER_SHARD,
    ) -> None:
        super().__init__(seed)
        self.domains = [f"d{number}" for number in range(domain_count)]
        self.endpoints_per_shard = endpoints_per_shard
        self.bounds = BOUNDS
        self.network = network.Network(self, random.Random(f"{seed} network"))
        self.callers = callers.Callers(self, random.Random(f"{seed} callers"))
        self.call_rng = random.Random(f"{seed} calls")
        self.lossy_share = 0.0
        self.log: list[tuple[int, str, object]] = []
        self.runs: dict[tuple[str, str], observed.Run] = {}
        self.runs_by_job: dict[str, list[observed.Run]] = collections.defaultdict(list)
        self.found: list[observed.Breach] = []
        self.nodes: dict[str, nodes.Node] = {}
        self.incarnations = itertools.count(1)
        self.seeds = tuple(
            f"core-{domain}-{number}"
            for domain in self.domains
            for number in range(cores_per_domain)
        )
        for domain, number in itertools.product(
            self.domains, range(cores_per_domain + entries_per_domain)
        ):
            is_core = number < cores_per_domain
            kind = "core" if is_core else "entry"
            place = number if is_core else number - cores_per_domain
            self.start_node(
                f"{kind}-{domain}-{place}", domain, self.rng.randint(1, START_SPREAD_MS)
            )
        for domain, number in itertools.product(
            self.domains, range(endpoints_per_domain)
        ):
            endpoint = observed.Endpoint(self, f"i-{domain}-{number}", domain)
            self.endpoints[endpoint.name] = endpoint
            self.schedule_after(
                self.rng.randint(1, observed.ANNOUNCE_INTERVAL_MS), endpoint.announce
            )

    # Processes.

    def start_node(self, name: str, domain: str, delay_ms: int = 0) -> nodes.Node:
        """Start a process, or start it again with an empty memory."""
        made = nodes.Node(
            self,
            name,
            domain,
            name.startswith("core"),
            self.seeds,
            next(self.incarnations),
        )
        self.nodes[name] = made
        made.schedule_after(delay_ms, made.tick_forever)
        return made

    def build_calls(self, node: nodes.Node) -> endpoint_calls.EndpointCalls:
        """Return the calls to endpoints of a process."""
        made = endpoint_calls.EndpointCalls(
            node, self.endpoints, self.network, self.call_rng
        )
        made.lossy_share = self.lossy_share
        return made

    def kill(self, name: str) -> None:
        """End a process without a word."""
        self.record(name, "killed")
        self.nodes[name].is_dead = True

    def restart_node(self, name: str) -> None:
        """Start a killed process again."""
        if self.nodes[name].is_dead:
            self.record(name, "restarted")
            self.start_node(name, self.nodes[name].domain)

    def freeze(self, name: str) -> None:
        """Let a process do nothing, while time goes on."""
        self.record(name, "frozen")
        self.nodes[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        if self.nodes[name].is_frozen:
            self.record(name, "thawed")
            self.nodes[name].thaw(self.rng.random() < 0.5)

    def find_running(self, name: str) -> nodes.Node | None:
        """Return the running process with a name."""
        node = self.nodes.get(name)
        return None if node is None or node.is_dead else node

    def list_entries(self) -> list[nodes.Node]:
        """Return the running entry VMs."""
        return [
            node
            for node in self.nodes.values()
            if not node.is_core and not node.is_dead
        ]

    def find_heartbeat_node(self, endpoint: observed.Endpoint) -> nodes.Node | None:
        """Return the process that an endpoint announces itself to."""
        found = {
            node.name: node
            for node in self.nodes.values()
            if not node.is_dead
            and not node.is_frozen
            and self.network.is_open_both_ways(endpoint.name, node.name)
        }
        if endpoint.heartbeat_node not in found:
            endpoint.heartbeat_node = self.rng.choice(sorted(found)) if found else ""
        return found.get(endpoint.heartbeat_node)

    # Places.

    def list_places(self, domain: str) -> frozenset[str]:
        """Return all places in a domain."""
        endpoints = [name for name in self.endpoints if name.split("-")[1] == domain]
        processes = [node.name for node in self.nodes.values() if node.domain == domain]
        return frozenset((*endpoints, *processes, f"callers-{domain}"))

    def cut_for(self, cut: network.Cut, duration_ms: int) -> None:
        """Cut places off from all others for a time."""
        self.network.cuts.append(cut)
        self.record("network", f"cut {sorted(cut.places)[:3]} {cut.drops_sent}")

        def join() -> None:
            self.network.cuts.remove(cut)
            self.record("network", f"joined {sorted(cut.places)[:3]}")

        self.schedule_after(duration_ms, join)

    # Jobs.

    def submit_jobs(self, rng: random.Random, per_s: float, until_ms: int) -> None:
        """Let callers hand in random jobs until a time."""
        if self.now_ms >= until_ms:
            return
        self.submit_job(
            f"{rng.getrandbits(32):08x}",
            rng.choice(self.domains),
            rng.choice((1, 2, 4, 6)),
            rng.choice((30, 60, 200, 400, 900)),
        )
        pause_ms = max(1, round(rng.expovariate(per_s) * 1_000))
        self.schedule_after(pause_ms, lambda: self.submit_jobs(rng, per_s, until_ms))

    def submit_job(self, job_id: str, domain: str, count: int, work_ms: int) -> None:
        """Let a caller of a domain hand in a job."""
        self.work_ms[job_id] = work_ms
        self.cpu_millis[job_id] = TASK_CPU_MILLIS
        give_up_ms = self.now_ms + callers.PATIENCE_MS
        self.callers.submit(callers.Job(job_id, domain, count, work_ms, give_up_ms))

    # What endpoints and callers see.

    def record(self, name: str, event: object) -> None:
        """Write to the log."""
        self.log.append((self.now_ms, name, event))

    def record_start(
        self, endpoint: simulation.FakeEndpoint, call: calls.Start
    ) -> None:
        """Record a start, and a breach if the task runs or the endpoint is full."""
        assert isinstance(endpoint, observed.Endpoint)
        run = observed.Run(
            call.task,
            call.number,
            endpoint.name,
            endpoint.caller,
            call.fence,
            self.now_ms,
        )
        self.record(endpoint.name, run)
        job_id = call.task.partition(".")[0]
        used = sum(each.cpu_millis for each in endpoint.running_attempts.values())
        if used + self.cpu_millis[job_id] > endpoint.cpu_millis:
            held = [r for (name, _), r in self.runs.items() if name == endpoint.name]
            self.add_breach("LIMIT", job_id, (*held, run))
        others = [r for (_, task), r in self.runs.items() if task == call.task]
        if others:
            self.add_breach("TWICE", job_id, (*others, run))
        self.runs[endpoint.name, call.task] = run
        self.runs_by_job[job_id].append(run)

    def add_breach(
        self, rule: str, job_id: str, runs: tuple[observed.Run, ...]
    ) -> None:
        """Add a breach."""
        count = len(self.callers.jobs[job_id].attempts)
        self.found.append(observed.Breach(self.now_ms, rule, job_id, runs, count))

    def on_end(
        self,
        endpoint: observed.Endpoint,
        run: simulation.RunningAttempt,
        kind: calls.EndKind,
    ) -> None:
        """Record the end of a run."""
        self.record(endpoint.name, f"{run.task} {run.number} {kind}")
        self.runs.pop((endpoint.name, run.task), None)

    def list_breaches(self) -> list[observed.Breach]:
        """Return all breaches, those of REFUSED as seen now."""
        refused = [
            observed.Breach(self.now_ms, "REFUSED", job.job_id, tuple(runs))
            for job in self.callers.jobs.values()
            if (runs := self.runs_by_job.get(job.job_id)) and job.is_refused
        ]
        return [*self.found, *refused]
