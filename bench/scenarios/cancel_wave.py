"""Ten thousand tasks are cancelled at once, most of them queued."""

from __future__ import annotations

import gevent
import msgspec

from bench import cluster, deployment, environment, probe, trace
from bench.scenarios import model
from knapweedbeam_core import clock

JOBS = 100
TASKS = 100
WORK_MS = 2_000.0
BASE_LOAD = 0.1
SECONDS = 8.0
SEND_AT_MS = 1_000.0
CANCEL_AT_S = 4.0
PROBE_AT_S = 3.0
PROBE_SECONDS = 4.0
WAVE_CLASS = "wave"
RESULT_FILE = "probe-result.json"


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase with a light load and the jobs that are cancelled."""
    base = model.build_jobs(plan, options.seed, SECONDS, BASE_LOAD)
    member = plan.members[0].name
    wave = tuple(
        trace.TraceJob(n, SEND_AT_MS, member, WAVE_CLASS, (WORK_MS,) * TASKS)
        for n in range(JOBS)
    )
    actions = (
        environment.Action(PROBE_AT_S, run_probe),
        environment.Action(CANCEL_AT_S, cancel_wave),
    )
    return (environment.Phase("", SECONDS, trace.merge(base, wave), actions),)


def cancel_wave(running: environment.Environment) -> None:
    """Cancel all jobs of the wave at once."""
    jobs = [
        each
        for each in running.client.open_jobs.values()
        if each.job.job_class == WAVE_CLASS
    ]
    gevent.joinall([gevent.spawn(running.client.cancel, each) for each in jobs])


def run_probe(running: environment.Environment) -> None:
    """Probe the entry VMs while the wave is cancelled."""
    spec = probe.ProbeSpec(
        tuple(vm.callers for vm in running.plan.vms),
        str(running.root / RESULT_FILE),
        PROBE_SECONDS,
    )
    child = running.cluster.start_fake("probe", spec)
    child.wait(PROBE_SECONDS + cluster.CALL_TIMEOUT_S)


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return the slowest probe of an entry VM and when the wave's jobs had ended."""
    (phase,) = scenario_run.phases
    wave = [each for each in phase.results if each.job_class == WAVE_CLASS]
    path = scenario_run.root / RESULT_FILE
    probe_result = msgspec.json.decode(path.read_bytes(), type=probe.ProbeResult)
    last = max((each.at_ms + each.response_ms for each in wave), default=0.0)
    return {
        "stall_worst_ms": max(probe_result.worst_ms.values()),
        "probes": float(probe_result.probes),
        "wave_tasks": float(sum(each.tasks for each in wave)),
        "wave_ended_after_ms": last - CANCEL_AT_S * clock.SECOND_MS,
    }


SCENARIO = model.LoadScenario(
    name="cancel-wave",
    summary="10,000 tasks are cancelled at once.",
    build=build,
    compute_figures=compute_figures,
    policies=(model.OWN_POLICY,),
)
