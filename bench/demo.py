"""Demo: failures while jobs run, checked by the recorded histories."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import time
import typing

import gevent

from bench import client, cluster, deployment, progress, results, trace
from bench.check import breaches, report
from knapweedbeam_core import ids
from knapweedbeam_server import history, system_clock

SECONDS = 20.0
LOAD = 0.4
SEED = 11
RESEND_SHARE = 0.1
KILL_AT_S = 7.0
STOP_AT_S = 13.0
CLASSES = (
    trace.JobClass(trace.SINGLE, 0.5, 120.0),
    trace.JobClass("quote", 0.4, 120.0, 20.0, 1.2),
    trace.JobClass("batch", 0.1, 60.0, 150.0, 0.8),
)
PROMISES = (
    breaches.Promise.SINGLE_START,
    breaches.Promise.WHOLE_OUTCOME,
    breaches.Promise.TRUE_NOT_RUN,
    breaches.Promise.GRACEFUL_STOP,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Last line of the demo; breaches are counted from the recorded histories."""

    jobs: int
    complete: int
    failed: int
    not_run: int
    tasks_started: int
    double_starts: int
    partial_answers: int
    false_not_run: int
    cut_by_shutdown: int
    seconds: float


def run_demo() -> tuple[Summary, int]:
    """Run the demo and return its summary and the exit status."""
    started_s = time.monotonic()
    root = results.create_run_folder("demo")
    job_results, stop_status = run_jobs(root)
    checked = report.check_folder(root / "histories")
    counts = collections.Counter(result.outcome for result in job_results)
    summary = Summary(
        jobs=len(job_results),
        complete=counts[history.OutcomeKind.COMPLETE],
        failed=counts[history.OutcomeKind.FAILED],
        not_run=counts[history.OutcomeKind.NOT_RUN],
        tasks_started=checked.tasks_started,
        double_starts=checked.count(breaches.Promise.SINGLE_START),
        partial_answers=checked.count(breaches.Promise.WHOLE_OUTCOME),
        false_not_run=checked.count(breaches.Promise.TRUE_NOT_RUN),
        cut_by_shutdown=checked.count(breaches.Promise.GRACEFUL_STOP),
        seconds=round(time.monotonic() - started_s, 1),
    )
    return summary, get_exit_status(checked, summary, stop_status)


def get_exit_status(
    checked: report.Report, summary: Summary, stop_status: int | None
) -> int:
    """Log all breaches and failures and return the exit status."""
    for breach in checked.found:
        progress.log(breach.describe())
    unanswered = summary.jobs - summary.complete - summary.failed - summary.not_run
    if unanswered:
        progress.log(f"{unanswered} jobs got no final answer")
    if stop_status != 0:
        progress.log(f"the graceful stop ended with status {stop_status}")
    has_no_complete_job = not summary.complete
    return int(
        bool(checked.found or unanswered or stop_status != 0 or has_no_complete_job)
    )


def run_jobs(root: pathlib.Path) -> tuple[list[client.JobResult], int | None]:
    """Start the deployment, send the jobs and inject the failures.

    Returns the job results and the exit status of the entry VM that was stopped.
    """
    block = cluster.reserve_block()
    plan = deployment.build_deployment(deployment.DEMO, block.number)
    clock = system_clock.SystemClock()
    try:
        with cluster.Cluster(plan, root) as running:
            domains, vms = len(plan.domains), len(plan.vms)
            progress.log(f"starting {vms} entry VMs in {domains} failure domains")
            running.start()
            progress.log("bundle 1 is in force, every entry VM is ready")
            process = ids.ProcessId("client", clock.wall_ms())
            path = running.folder.get_history("client")
            writer = history.FileHistory(path, process, clock, history.Role.CLIENT)
            options = client.ClientOptions(
                plan.services[0].name, resend_share=RESEND_SHARE, seed=SEED
            )
            load_client = client.Client(plan, writer, clock, options)
            job_results, status = send_jobs(running, load_client)
            writer.close()
    finally:
        block.release()
    return job_results, status


def send_jobs(
    running: cluster.Cluster, load_client: client.Client
) -> tuple[list[client.JobResult], int | None]:
    """Send the jobs; meanwhile kill one entry VM and stop another."""
    plan = running.plan
    spec = trace.TraceSpec(
        SEED, SECONDS, LOAD, CLASSES, tuple(member.name for member in plan.members)
    )
    jobs = trace.build_trace(spec, plan.capacity)
    load_client.prepare()
    progress.log(f"sending {len(jobs)} jobs over {SECONDS:.0f} s")
    victim, stopped = plan.vms[-1].name, plan.vms[-2].name
    killing = gevent.spawn_later(KILL_AT_S, kill, running, load_client, victim)
    stopping = gevent.spawn_later(STOP_AT_S, stop, running, load_client, stopped)
    job_results = load_client.run(jobs)
    gevent.joinall([killing, stopping])
    progress.log(f"{len(job_results)} jobs have ended")
    return job_results, typing.cast("int | None", stopping.value)


def kill(running: cluster.Cluster, load_client: client.Client, name: str) -> None:
    """Kill an entry VM; the load balancer notices a second later."""
    progress.log(f"killing {name}")
    running.kill(name)
    gevent.sleep(1.0)
    load_client.drop_entry(name)


def stop(running: cluster.Cluster, load_client: client.Client, name: str) -> int | None:
    """Stop an entry VM gracefully after the load balancer stopped sending to it."""
    progress.log(f"stopping {name} gracefully")
    load_client.drop_entry(name)
    status = running.stop(name)
    progress.log(f"{name} ended with status {status}")
    return status
