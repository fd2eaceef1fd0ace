"""Submit a job, look it up or cancel it, and print its answer."""

from __future__ import annotations

import dataclasses
import pathlib
import sys

import msgspec

from knapweedbeam_core import decoding
from knapweedbeam_ctl import (
    client,
    exit_codes,
    failures,
    files,
    job_submission,
    output,
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
    """A job from the command line: a file, or a service and payloads."""

    file: pathlib.Path | None
    service: str
    payloads: tuple[str, ...]
    job_class: str
    deadline_ms: int | None


class TaskContent(msgspec.Struct):
    """The JSON form of a task."""

    payload: msgspec.Raw


class JobContent(msgspec.Struct, omit_defaults=True):
    """The JSON form of a job."""

    service: str
    tasks: list[TaskContent]
    job_class: str = msgspec.field(default="", name="class")
    deadline_ms: int | None = None


class UnknownContent(msgspec.Struct):
    """The JSON form of an unknown outcome."""

    outcome: str
    ticket: str
    detail: str


def build_content(options: JobOptions) -> bytes | failures.BadFile:
    """Return the body to submit, from the file or built from the options."""
    if options.file is not None:
        return files.read_file(options.file)
    tasks = []
    for payload in options.payloads:
        try:
            msgspec.json.decode(payload)
        except decoding.ERRORS as error:
            return failures.BadFile("--payload", f"is not JSON: {error}")
        tasks.append(TaskContent(msgspec.Raw(payload.encode())))
    job = JobContent(options.service, tasks, options.job_class, options.deadline_ms)
    return msgspec.json.encode(job)


def submit(
    settings: connection.ConnectionSettings, options: JobOptions, ticket: str
) -> exit_codes.ExitCode:
    """Submit a job and print its answer; without `ticket`, request a new one."""
    content = build_content(options)
    if isinstance(content, failures.BadFile):
        return output.print_failure(content, settings.as_json)
    job = job_submission.parse_job(content)
    if isinstance(job, failures.BadFile):
        return output.print_failure(job, settings.as_json)
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    job_ticket = ticket or job_submission.request_ticket(api)
    if not isinstance(job_ticket, str):
        return output.print_failure(job_ticket, settings.as_json)
    print(f"ticket {job_ticket}", file=sys.stderr)
    deadline_ms = job.deadline_ms or job_submission.DEFAULT_DEADLINE_MS
    submission = job_submission.Submission(api, system_clock.SystemClock())
    result = submission.run(job_ticket, content, deadline_ms)
    return print_result(result, settings.as_json)


def print_result(result: job_submission.Result, as_json: bool) -> exit_codes.ExitCode:
    """Print the result of a submission and return its exit status."""
    match result:
        case job_submission.FinalAnswer(answer, text):
            print_answer(answer, text, as_json)
            return get_answer_code(answer)
        case job_submission.UnknownOutcome(ticket, detail):
            if as_json:
                output.print_json(UnknownContent("unknown", ticket, detail))
            else:
                print(f"outcome unknown: {detail}; ask again with job show {ticket}")
            return exit_codes.ExitCode.UNKNOWN
        case _:
            return output.print_failure(result, as_json)


def get_answer_code(answer: job_submission.AnswerBody) -> exit_codes.ExitCode:
    """Return the exit status of a final answer."""
    if answer.outcome == "failed" and answer.reason in UNKNOWN_REASONS:
        return exit_codes.ExitCode.UNKNOWN
    return OUTCOME_CODES[answer.outcome]


def print_answer(answer: job_submission.AnswerBody, text: bytes, as_json: bool) -> None:
    """Print a final answer; a complete one with one line per task."""
    if as_json:
        print(text.decode())
        return
    match answer.outcome:
        case "complete":
            for task in answer.answers:
                print(bytes(task).decode())
        case "not_run":
            retry = f", retry after {answer.retry_after_ms} ms"
            tail = retry if answer.retry_after_ms else ""
            print(f"not run: {answer.reason}{tail}")
        case _:
            ran = "may have run" if answer.may_have_run else "nothing ran"
            print(f"failed: {answer.reason}, {ran}")


def call_job(
    settings: connection.ConnectionSettings, method: str, ticket: str, wait_ms: int
) -> exit_codes.ExitCode:
    """Look up or cancel a job, by HTTP method, and print its outcome."""
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    response = api.call(method, f"/v1/jobs/{ticket}?wait_ms={wait_ms}")
    if isinstance(response, failures.Unreachable):
        return output.print_failure(response, settings.as_json)
    final_answer = job_submission.parse_final_answer(response)
    if final_answer is not None:
        print_answer(final_answer.answer, final_answer.text, settings.as_json)
        return get_answer_code(final_answer.answer)
    if response.status == job_submission.PENDING_STATUS:
        print(response.body.decode() if settings.as_json else "pending")
        return exit_codes.ExitCode.PENDING
    return output.print_failure(client.build_refusal(response), settings.as_json)
