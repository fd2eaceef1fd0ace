"""Placement policies by name."""

from __future__ import annotations

import enum

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.dispatch.policies import (
    least_finish,
    least_outstanding,
    random_choice,
    round_robin,
    two_choices,
)


class Policy(enum.StrEnum):
    """Names of the placement policies, as accepted in the settings."""

    LEAST_FINISH = "least_finish"
    LEAST_OUTSTANDING = "least_outstanding"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    TWO_CHOICES = "two_choices"


BUILDERS: dict[Policy, placement.PolicyBuilder] = {
    Policy.LEAST_FINISH: least_finish.LeastFinish,
    Policy.LEAST_OUTSTANDING: least_outstanding.LeastOutstanding,
    Policy.RANDOM: random_choice.RandomChoice,
    Policy.ROUND_ROBIN: round_robin.RoundRobin,
    Policy.TWO_CHOICES: two_choices.TwoChoices,
}


def build_policy(name: str, context: placement.PolicyContext) -> placement.Placement:
    """Build the policy `name`; raise `ValueError` for an unknown one."""
    return BUILDERS[Policy(name)](context)
