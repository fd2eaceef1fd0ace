"""Submit a job and print its final answer."""

from __future__ import annotations

import dataclasses
import pathlib
import sys

import msgspec

from knapweedbeam_ctl import (
    client,
    exit_codes,
    failures,
    files,
    output,
    submitting,
    system_clock,
)
from knapweedbeam_ctl.commands import connection

OUTCOME_CODES = {
    "complete": exit_codes.ExitCode.OK,
    "not_run": exit_codes.ExitCode.NOT_RUN,
    "failed": exit_codes.ExitCode.FAILED,
}
UNKNOWN_REASONS = frozenset({"outcome_unknown", "expired"})


@dataclasses.dataclass(frozen=True, slots=True)
class JobOptions:
    """A job as the command line states it: a file, or a service and payloads."""

    file: pathlib.Path | None
    service: str
    payloads: tuple[str, ...]
    job_class: str
    deadline_ms: int | None


class TaskContent(msgspec.Struct):
    """One task of a submission."""

    payload: msgspec.Raw


class JobContent(msgspec.Struct, omit_defaults=True):
    """A submission."""

    service: str
    tasks: list[TaskContent]
    job_class: str = msgspec.field(default="", name="class")
    deadline_ms: int | None = None


class UnknownContent(msgspec.Struct):
    """What scripts read when there is no final answer."""

    outcome: str
    ticket: str
    detail: str


def build_content(options: JobOptions) -> bytes | failures.BadFile:
    """Return the body to submit."""
    if options.file is not None:
        return files.read_file(options.file)
    tasks = []
    for payload in options.payloads:
        try:
            msgspec.json.decode(payload)
        except msgspec.DecodeError as error:
            return failures.BadFile("--payload", f"is not JSON: {error}")
        tasks.append(TaskContent(msgspec.Raw(payload.encode())))
    job = JobContent(options.service, tasks, options.job_class, options.deadline_ms)
    return msgspec.json.encode(job)


def submit(
    access: connection.Connection, options: JobOptions, ticket: str
) -> exit_codes.ExitCode:
    """Submit a job, under `ticket` if it is given, and print its answer."""
    content = build_content(options)
    if isinstance(content, failures.BadFile):
        return output.print_failure(content, access.as_json)
    job = submitting.read_job(content)
    if isinstance(job, failures.BadFile):
        return output.print_failure(job, access.as_json)
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    minted = ticket or submitting.mint(api)
    if not isinstance(minted, str):
        return output.print_failure(minted, access.as_json)
    print(f"ticket {minted}", file=sys.stderr)
    deadline_ms = job.deadline_ms or submitting.DEFAULT_DEADLINE_MS
    submission = submitting.Submission(api, system_clock.SystemClock())
    result = submission.run(minted, content, deadline_ms)
    return print_result(result, access.as_json)


def print_result(result: submitting.Result, as_json: bool) -> exit_codes.ExitCode:
    """Print the end of a submission, and return its exit status."""
    match result:
        case submitting.Answered(answer, text):
            print_answer(answer, text, as_json)
            return get_answer_code(answer)
        case submitting.Unknown(ticket, detail):
            if as_json:
                output.print_json(UnknownContent("unknown", ticket, detail))
            else:
                print(f"outcome unknown: {detail}; ask again with job show {ticket}")
            return exit_codes.ExitCode.UNKNOWN
        case _:
            return output.print_failure(result, as_json)


def get_answer_code(answer: submitting.AnswerBody) -> exit_codes.ExitCode:
    """Return the exit status of a final answer."""
    if answer.outcome == "failed" and answer.reason in UNKNOWN_REASONS:
        return exit_codes.ExitCode.UNKNOWN
    return OUTCOME_CODES[answer.outcome]


def print_answer(answer: submitting.AnswerBody, text: bytes, as_json: bool) -> None:
    """Print a final answer; a complete one as one line a task."""
    if as_json:
        print(text.decode())
        return
    match answer.outcome:
        case "complete":
            for task in answer.answers:
                print(bytes(task).decode())
        case "not_run":
            retry = f", again after {answer.retry_after_ms} ms"
            tail = retry if answer.retry_after_ms else ""
            print(f"not run: {answer.reason}{tail}")
        case _:
            ran = "may have run" if answer.may_have_run else "nothing ran"
            print(f"failed: {answer.reason}, {ran}")


def call_job(
    access: connection.Connection, method: str, ticket: str, wait_ms: int
) -> exit_codes.ExitCode:
    """Look a job up or cancel it, and print what became of it."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    found = api.call(method, f"/v1/jobs/{ticket}?wait_ms={wait_ms}")
    if isinstance(found, failures.Unreachable):
        return output.print_failure(found, access.as_json)
    answered = submitting.read_answer(found)
    if answered is not None:
        print_answer(answered.answer, answered.text, access.as_json)
        return get_answer_code(answered.answer)
    if found.status == submitting.PENDING_STATUS:
        print(found.body.decode() if access.as_json else "pending")
        return exit_codes.ExitCode.PENDING
    return output.print_failure(client.build_refused(found), access.as_json)
