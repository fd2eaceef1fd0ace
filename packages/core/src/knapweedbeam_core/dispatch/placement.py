"""The interface of placement policies, which choose an endpoint for a task."""

from __future__ import annotations

import dataclasses
import random
import typing

from knapweedbeam_core import jobs
from knapweedbeam_core.dispatch import service_times, usage
from knapweedbeam_core.slots import held


@dataclasses.dataclass(slots=True)
class Request:
    """A task to place.

    `may_use_trial` allows an endpoint that is on trial. `avoided_endpoint` names
    the endpoint at which the task failed before.
    """

    job: jobs.Job
    need: usage.Need
    may_use_trial: bool
    avoided_endpoint: str = ""


class Fits(typing.Protocol):
    """A check whether a task may go to an endpoint now."""

    def __call__(self, endpoint: held.HeldEndpoint, request: Request) -> bool:
        """Return whether the endpoint is allowed and its worker has the resources."""


class Placement(typing.Protocol):
    """A policy that chooses among the endpoints with a free slot."""

    def choose(self, pool: held.SlotPool, request: Request) -> held.HeldEndpoint | None:
        """Return an endpoint for the task, or None if it fits nowhere now."""

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Handle a change of an endpoint's free slots or speed."""


@dataclasses.dataclass(slots=True)
class PolicyContext:
    """The services that a policy may use."""

    rng: random.Random
    times: service_times.ServiceTimes
    fits: Fits


PolicyBuilder = typing.Callable[[PolicyContext], Placement]
