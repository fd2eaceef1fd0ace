"""Declared sizes and run times are off by a factor of ten; some jobs never fit."""

from __future__ import annotations

import random

from bench import client, deployment, environment, trace
from bench.scenarios import model

LOAD = 0.5
SECONDS = 12.0
CPU_MILLIS = 2_000
MEMORY_MIB = 2_000
ERROR_FACTORS = (0.1, 10.0)
NEVER_CLASS = "never"
NEVER_CPU_MILLIS = 10_000_000
NEVER_SHARE = 0.05


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase; some of its jobs declare more than any worker has."""
    seconds = options.seconds or SECONDS
    rng = random.Random(options.seed)
    jobs = model.build_jobs(plan, options.seed, seconds, LOAD)
    never = tuple(
        trace.TraceJob(
            n, rng.uniform(0, seconds * 1_000), job.member, NEVER_CLASS, (1,)
        )
        for n, job in enumerate(jobs)
        if rng.random() < NEVER_SHARE
    )
    return (environment.Phase("", seconds, trace.merge(jobs, never)),)


def declare(job: trace.TraceJob, work_ms: float) -> client.TaskSizes:
    """Return wrong sizes of a task, off by the same factor for all tasks of a job."""
    if job.job_class == NEVER_CLASS:
        return client.TaskSizes(
            cpu_millis=NEVER_CPU_MILLIS, used_cpu_millis=NEVER_CPU_MILLIS
        )
    factor = random.Random(job.number).choice(ERROR_FACTORS)
    return client.TaskSizes(
        cpu_millis=round(CPU_MILLIS * factor),
        memory_mib=round(MEMORY_MIB * factor),
        run_ms=max(1, round(work_ms * factor)),
        used_cpu_millis=CPU_MILLIS,
        used_memory_mib=MEMORY_MIB,
    )


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return how the jobs that never fit were answered and how long it took."""
    (phase,) = scenario_run.phases
    never = [each for each in phase.results if each.job_class == NEVER_CLASS]
    refused = [each for each in never if each.outcome == "not_run"]
    others = [each for each in phase.results if each.job_class != NEVER_CLASS]
    response_times = [each.response_ms for each in never]
    return {
        "never_fit_jobs": float(len(never)),
        "never_fit_not_run": float(len(refused)),
        "never_fit_worst_ms": max(response_times, default=0.0),
        "others_not_run": float(sum(each.outcome == "not_run" for each in others)),
    }


SCENARIO = model.LoadScenario(
    name="wrong-sizes",
    summary="Declared sizes and run times are off by 10; some jobs never fit.",
    build=build,
    compute_figures=compute_figures,
    client=client.ClientOptions(declare=declare),
)
