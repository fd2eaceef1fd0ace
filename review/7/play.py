"""A stored job whose task has failed on each executor that its label allows."""

from __future__ import annotations

import asyncio
import pathlib

import case
import deployment
import executors
import http_messages
import recording

JOB = "5c0e7a21d94b36f8"
PATH = f"/lohu930/{JOB}"
EXECUTORS = 24
# 2 of 24 executors, a share of 0.083; the site's `srv_grey` takes 0.085 with x = 1.
GREY = 2
MAX_ATTEMPTS = 4
WORK_S = 0.3
GREY_FOR_S = 5.5
FINISH_S = 14.0
UNUSED_S = 3.0


async def play(record: recording.Record, is_troubled: bool) -> list[str]:
    """Play the case and return what broke the rule."""
    grey_until_s = 0.0
    loop = asyncio.get_running_loop()

    def plan(executor: executors.Executor, _: str, __: int) -> tuple[float, str]:
        is_grey = "b" in executor.labels and loop.time() < grey_until_s
        return (WORK_S, "failed" if is_grey else "done")

    kinds = ["b" if n < GREY else "a" for n in range(EXECUTORS)]
    labels = [[kind, f"r1-{n // 8}"] for n, kind in enumerate(kinds)]
    played = deployment.Deployment(
        record, [deployment.build_route("lohu930", MAX_ATTEMPTS)], plan, labels
    )
    try:
        await played.start()
        if is_troubled:
            grey_until_s = loop.time() + GREY_FOR_S
            record.write("trouble: the executors of kind b fail all that they start")
        phase = {"count": 1, "cpu": 14_000, "memMb": 64, "estimateMs": 300}
        body = {"spec": "text", "phases": [phase | {"requiredLabel": "b"}]}
        reply = await played.call("e0", "POST", PATH, body)
        if not 200 <= reply.status < 300:
            raise deployment.CannotRunError(f"the job was answered {reply}")
        await asyncio.sleep(GREY_FOR_S)
        record.write("all executors are sound")
        # The end of the traffic; jobs are asked for `finish_s` later.
        await asyncio.sleep(FINISH_S)
        return await judge(played)
    finally:
        played.close()
        case.remove_folder(played)


async def judge(played: deployment.Deployment) -> list[str]:
    """Return whether the job has nothing running for 3 s though it could run."""
    broken = []
    state = http_messages.NO_REPLY
    loop = asyncio.get_running_loop()
    end_s = loop.time() + UNUSED_S
    started = len(played.list_runs())
    while loop.time() < end_s:
        state = await played.call("e1", "GET", PATH)
        if any(executor.running for executor in played.executors):
            return []
        await asyncio.sleep(0.5)
    runs = played.list_runs()
    failed = sum(run.how == "failed" for run in runs)
    is_open = state.status == 200 and state.content["state"] in ("queued", "active")
    if is_open and len(runs) == started and failed < MAX_ATTEMPTS:
        broken.append(
            f"LOST: {JOB} is {state.content['state']} after {failed} failed runs of "
            f"{MAX_ATTEMPTS} and has had nothing running for {UNUSED_S} s"
        )
    return broken


case.run(play, pathlib.Path(__file__).parent)
