"""Where a task goes: the interface of policies, and the choice by name."""

from __future__ import annotations

import dataclasses
import random
import typing

from knapweedbeam_core import jobs
from knapweedbeam_core.dispatch import service_times, usage
from knapweedbeam_core.slots import held


@dataclasses.dataclass(slots=True)
class Request:
    """A task to place; `may_try` allows an endpoint whose health is on trial.

    `avoid` names the endpoint that failed it before.
    """

    job: jobs.Job
    need: usage.Need
    may_use_trial: bool
    avoided_endpoint: str = ""


class Fits(typing.Protocol):
    """Says whether a task may go to an endpoint now."""

    def __call__(self, endpoint: held.HeldEndpoint, request: Request) -> bool:
        """Return whether the task may be tried there and its worker has room."""


class Placement(typing.Protocol):
    """A policy that chooses among the endpoints with a free slot."""

    def choose(self, pool: held.SlotPool, request: Request) -> held.HeldEndpoint | None:
        """Return an endpoint for the task, or none when it fits nowhere now."""

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Take note that an endpoint's free slots or speed changed."""


@dataclasses.dataclass(slots=True)
class PolicyContext:
    """What a policy may use."""

    rng: random.Random
    times: service_times.ServiceTimes
    fits: Fits


PolicyBuilder = typing.Callable[[PolicyContext], Placement]
