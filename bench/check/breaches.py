"""Breaches: a broken promise and the records that prove it."""

from __future__ import annotations

import dataclasses
import enum
import typing

from bench.check import reader

MAX_PROOF_LINES = 6
Proof = tuple[reader.Record[typing.Any], ...]


class Promise(enum.StrEnum):
    """The guarantees that every run has to keep."""

    SINGLE_START = "no task of a submission starts twice"
    WHOLE_OUTCOME = "an answer is complete or failed, never partial"
    OWN_ANSWER = "a caller gets the whole answer to its own request"
    TRUE_NOT_RUN = "a refusal that says not run is true"
    AT_MOST_ONCE = "a request that may not be repeated runs at most once"
    LEAVING = "a leaving endpoint gets no new work after a few seconds"
    GRACEFUL_STOP = "a graceful shutdown cuts no request"
    BUNDLES = "an accepted bundle is in force everywhere and never reverts"
    LIMITS = "no contract limit is exceeded"


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """One broken promise; `subject` names what it concerns, such as a ticket."""

    promise: Promise
    subject: str
    detail: str
    proof: Proof

    def describe(self) -> str:
        """Return the breach and the first records of its proof as text."""
        head = f"{self.promise.name}: {self.subject}: {self.detail}"
        lines = [f"  {record.describe()}" for record in self.proof[:MAX_PROOF_LINES]]
        omitted = len(self.proof) - len(lines)
        if omitted > 0:
            lines.append(f"  and {omitted} more")
        return "\n".join([head, *lines])
