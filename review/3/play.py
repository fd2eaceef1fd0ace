"""A frozen process handles the sign-off of an executor that has started again since.

The executor drains and sends its sign-off to the process that it pings, which is frozen
at that moment. It ends, starts again under its id and gets work from the next
dispatcher. Then the frozen process wakes and passes the old sign-off on.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal

from stand_ins import case, deployment, executors, http, record

EXECUTORS = 24
LABELLED = 2
# `drainMs` and a little longer.
DRAIN_S = 2.5
FREEZE_S = 2.8
ACK_TIMEOUT_S = 1.0
RESTART_S = 0.15
WORK_S = 3.0
WATCH_S = 12.0
# What the pages allow for a stop, and the time of a call.
MIN_OVERLAP_S = 0.06


async def play(rec: record.Record, is_troubled: bool) -> list[str]:
    """Play the case and return the breaks of the rule."""
    system = deployment.Deployment(rec)
    pool = [
        executors.Executor(
            f"i-{n:02}",
            f"{system.network}.{101 + n}",
            system.list_control(),
            rec,
            lambda task, attempt: (WORK_S, "done"),
            labels=("b" if n < LABELLED else "a", f"r1-{n // 6}"),
        )
        for n in range(EXECUTORS)
    ]
    try:
        system.start()
        for executor in pool:
            await executor.start()
        await system.put_manifest(deployment.build_manifest())
        await system.wait_ready()
        await asyncio.sleep(6)
        await replace(system, pool[0], rec, is_troubled)
        return find_breaks(pool)
    finally:
        for executor in pool:
            executor.crash()
        system.close()


async def replace(
    system: deployment.Deployment,
    leaver: executors.Executor,
    rec: record.Record,
    is_troubled: bool,
) -> None:
    """Let an executor leave and start again while its process is frozen."""
    leaver.state = "draining"
    if not await leaver.ping():
        raise deployment.CannotRunError("the executor's notice was not acknowledged")
    rec.add("draining acknowledged", executor=leaver.name)
    await asyncio.sleep(DRAIN_S)
    address = leaver.heartbeat_address
    dispatcher = system.find_name(address)
    rec.add("roles", dispatcher=dispatcher)
    if not dispatcher:
        raise deployment.CannotRunError("the dispatcher is not known")
    wake_s = rec.now_s() + FREEZE_S
    if is_troubled:
        system.signal(dispatcher, signal.SIGSTOP)
    leaver.pinger.cancel()
    others = [each for each in system.list_control() if each != address]
    for each in (address, *others):
        reply = await http.call(
            each,
            "DELETE",
            f"/knapweedbeam/instances/{leaver.name}",
            timeout_s=ACK_TIMEOUT_S,
        )
        rec.add("signed off", at_process=system.find_name(each), status=reply.status)
        if reply.status == 200:
            break
    leaver.crash()
    await asyncio.sleep(RESTART_S)
    leaver.control = [*others, address]
    leaver.heartbeat_address = ""
    await leaver.start()
    await asyncio.sleep(0.3)
    jobs = asyncio.gather(
        submit(system, rec, "5c0e7a21d94b3601", False),
        submit(system, rec, "5c0e7a21d94b3602", True),
    )
    await asyncio.sleep(max(0.0, wake_s - rec.now_s()))
    if is_troubled:
        system.signal(dispatcher, signal.SIGCONT)
    await asyncio.sleep(WATCH_S)
    await jobs


async def submit(
    system: deployment.Deployment, rec: record.Record, job: str, is_best_effort: bool
) -> None:
    """Submit a job of one task for the executors with the label."""
    phase = {
        "count": 1,
        "cpu": 27_000,
        "memMb": 64,
        "estimateMs": 3_000,
        "requiredLabel": "b",
    }
    body = {"spec": "cut", "phases": [phase]}
    if is_best_effort:
        body["bestEffort"] = True
    reply = await http.call(
        system.get_address("e1"),
        "POST",
        f"/q/{job}",
        body,
        timeout_s=12,
        headers={"Knapweedbeam-Deadline-Ms": "12000"},
    )
    rec.add("answered", job=job, status=reply.status, body=reply.body)


def find_breaks(pool: list[executors.Executor]) -> list[str]:
    """Return the pairs of runs of one task that were at work at the same time."""
    runs = sorted(
        (run for executor in pool for run in executor.runs), key=lambda run: run.began_s
    )
    breaks = []
    for index, first in enumerate(runs):
        for second in runs[index + 1 :]:
            if first.task != second.task:
                continue
            overlap_s = (first.ended_s or second.began_s) - second.began_s
            if overlap_s > MIN_OVERLAP_S:
                breaks.append(
                    f"{first.task}: attempt {first.attempt} on {first.executor} ran"
                    f" from {first.began_s:.3f} to {first.ended_s:.3f} ({first.how}),"
                    f" attempt {second.attempt} on {second.executor} from"
                    f" {second.began_s:.3f}:"
                    f" both for {overlap_s:.3f} s"
                )
    return breaks


if __name__ == "__main__":
    case.main(pathlib.Path(__file__).parent, play)
