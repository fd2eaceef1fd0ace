"""Validated models of the bodies that callers, endpoints and the platform send."""

from __future__ import annotations

import typing

import msgspec

from knapweedbeam_core import decoding, outcomes, reasons

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1, le=2**53)]
DeadlineMs = typing.Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]

Body = typing.TypeVar("Body")


class TicketsBody(msgspec.Struct, forbid_unknown_fields=True):
    """`POST /v1/tickets`."""

    count: Positive = 1


class TaskBody(msgspec.Struct, forbid_unknown_fields=True):
    """One task of a submission; the sizes are those of `jobs.TaskSpec`."""

    payload: msgspec.Raw
    cpu_millis: Count = 0
    memory_mib: Count = 0
    run_ms: Count = 0


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """`PUT /v1/jobs/{ticket}` and `POST /v1/jobs`.

    Without a deadline, the service's applies.
    """

    service: Name
    tasks: typing.Annotated[list[TaskBody], msgspec.Meta(min_length=1)]
    job_class: typing.Annotated[str, msgspec.Meta(max_length=200)] = msgspec.field(
        default="", name="class"
    )
    deadline_ms: DeadlineMs | None = None


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True):
    """`PUT /v1/endpoints/{id}`; `address` is the base URL of the endpoint."""

    service: Name
    address: Name
    domain: Name
    worker: Name
    incarnation: Count
    sequence: Count
    slots: Slots
    connections: Slots
    state: typing.Literal["up", "leaving"]


class UsageBody(msgspec.Struct, forbid_unknown_fields=True):
    """`POST /v1/usage`: a worker's usage that the platform measured at `as_of_ms`."""

    worker: Name
    as_of_ms: Count
    cpu_millis: Count
    cpu_millis_in_use: Count
    memory_mib: Count
    memory_mib_in_use: Count


def decode(body: bytes, model: type[Body]) -> Body | outcomes.Refusal:
    """Return the validated body, or a refusal that names the invalid field."""
    try:
        return msgspec.json.decode(body, type=model)
    except decoding.ERRORS as error:
        return outcomes.Refusal(reasons.Reason.INVALID, str(error))


def is_json(body: bytes) -> bool:
    """Return whether `body` is one valid JSON text."""
    try:
        msgspec.json.decode(body)
    except decoding.ERRORS:
        return False
    return True
