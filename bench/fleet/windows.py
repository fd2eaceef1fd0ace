"""Plays that aim at two windows in which a task may run twice."""

from __future__ import annotations

import random

from bench.fleet import callers, days, deployment

CUTS = 5
GAP_MS = 4_000
JOB_INTERVAL_MS = 250
LONG_WORK_MS = 2_500


def hand_in_at(
    played: deployment.Deployment, rng: random.Random, domain: str, until_ms: int
) -> None:
    """Let callers of a domain hand in long jobs at an entry VM of their own domain."""
    if played.now_ms >= until_ms:
        return
    job_id = f"{rng.getrandbits(32):08x}"
    played.work_ms[job_id] = LONG_WORK_MS
    played.cpu_millis[job_id] = deployment.TASK_CPU_MILLIS
    give_up_ms = played.now_ms + 2 * callers.PATIENCE_MS
    job = callers.Job(job_id, domain, 2, LONG_WORK_MS, give_up_ms)
    entry = rng.choice([e.name for e in played.list_entries() if e.domain == domain])
    played.callers.submit(job, entry)
    played.schedule_after(
        JOB_INTERVAL_MS, lambda: hand_in_at(played, rng, domain, until_ms)
    )


def play_claimed_runs(seed: int) -> deployment.Deployment:
    """Cut off entry VMs whose jobs belong to owners outside, with endpoints of both.

    A successor inside claims the runs there and renews their lease.
    """
    played = deployment.Deployment(seed)
    played.callers.be_patient()
    played.advance(days.WARM_UP_MS)
    rng = random.Random(f"{seed} claims")
    domain = played.domains[-1]
    for number in range(CUTS):
        at_ms = (number + 1) * GAP_MS + rng.randint(0, 1_000)
        kind = days.Kind.CUT
        trouble = days.Trouble(at_ms, kind, (domain,), rng.randint(1_300, 2_200))
        days.schedule(played, trouble)
    until_ms = played.now_ms + (CUTS + 1) * GAP_MS
    hand_in_at(played, rng, domain, until_ms)
    played.advance((CUTS + 2) * GAP_MS)
    return played


def play_repeated_jobs(seed: int) -> deployment.Deployment:
    """Restart core VMs, while most callers hand their jobs in at several entry VMs."""
    played = deployment.Deployment(seed)
    played.callers.hasty_share = played.callers.repeat_share = 0.5
    played.advance(days.WARM_UP_MS)
    rng = random.Random(f"{seed} restarts")
    for number in range(4):
        core = rng.choice(played.seeds)
        kind = rng.choice((days.Kind.KILL, days.Kind.FREEZE))
        at_ms = number * 3_000 + rng.randint(0, 500)
        trouble = days.Trouble(at_ms, kind, (core,), rng.randint(1_000, 2_500))
        days.schedule(played, trouble)
    jobs_rng = random.Random(f"{seed} jobs")
    played.submit_jobs(jobs_rng, days.JOBS_PER_S, played.now_ms + 12_000)
    played.advance(15_000)
    return played
