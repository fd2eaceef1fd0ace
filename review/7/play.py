"""A stored job whose executor is cut off, and the next one as well."""

from __future__ import annotations

import asyncio
import pathlib

import case
import deployment
import executors
import recording

JOB = "5c0e7a21d94b36f8"
PATH = f"/lohu930/{JOB}"
WORK_S = 2.0
CUT_AFTER_S = 0.4
CUT_FOR_S = 5.5
CUTS = 2
ANSWER_S = 30.0


async def play(record: recording.Record, is_troubled: bool) -> list[str]:
    """Play the case and return what broke the rule."""

    def plan(_: executors.Executor, __: str, ___: int) -> tuple[float, str]:
        return (WORK_S, "done")

    labels = [["a", f"r1-{n // 8}"] for n in range(24)]
    played = deployment.Deployment(
        record, [deployment.build_route("lohu930", 4)], plan, labels
    )
    try:
        await played.start()
        phase = {"count": 1, "cpu": 14_000, "memMb": 64, "estimateMs": 2_000}
        body = {"spec": "text", "phases": [phase]}
        reply = await played.call("e0", "POST", PATH, body)
        if not 200 <= reply.status < 300:
            raise deployment.CannotRunError(f"the job was answered {reply}")
        if is_troubled:
            for number in range(CUTS):
                await cut_run(played, number)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + ANSWER_S
        while loop.time() < end_s:
            state = await played.call("e1", "GET", PATH)
            if state.status == 200 and state.content["state"] not in (
                "queued",
                "active",
            ):
                return judge(played.list_runs(), state.content["state"])
            await asyncio.sleep(0.5)
        raise deployment.CannotRunError("the job did not end")
    finally:
        played.close()
        case.remove_folder(played)


async def cut_run(played: deployment.Deployment, number: int) -> None:
    """Cut off the executor of the next run, soon after its start."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + 10
    while len(played.list_runs()) <= number:
        if loop.time() > end_s:
            raise deployment.CannotRunError("the task was not started again")
        await asyncio.sleep(0.01)
    run = played.list_runs()[number]
    await asyncio.sleep(CUT_AFTER_S)
    executor = next(each for each in played.executors if each.name == run.executor)
    played.spawn(executor.cut(CUT_FOR_S))


def judge(runs: list[executors.Run], state: str) -> list[str]:
    """Return whether the job failed though no run of it did and nothing crashed."""
    ends = [run.how for run in runs]
    if state == "failed" and "failed" not in ends:
        return [f"LOST: {JOB} is shown as failed; its runs ended {ends}, none failed"]
    return []


case.run(play, pathlib.Path(__file__).parent)
