"""Failures of a command, one type for each kind."""

from __future__ import annotations

import dataclasses

from knapweedbeam_ctl import exit_codes


@dataclasses.dataclass(frozen=True, slots=True)
class BadFile:
    """A file that cannot be used; `detail` never contains its content."""

    path: str
    detail: str

    def __str__(self) -> str:
        """Return a one-line message."""
        return f"{self.path}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No server answered; `details` has one line for each."""

    details: tuple[str, ...]

    def __str__(self) -> str:
        """Return a one-line message."""
        return "no server answers: " + "; ".join(self.details)


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A typed error from a server."""

    status: int
    reason: str
    detail: str

    def __str__(self) -> str:
        """Return a one-line message."""
        return f"refused ({self.status}): {self.reason} {self.detail}".rstrip()


Failure = BadFile | Unreachable | Refused

CODES_BY_REASON = {
    "conflict": exit_codes.ExitCode.CONFLICT,
    "signatures": exit_codes.ExitCode.SIGNATURES,
    "no_quorum": exit_codes.ExitCode.NO_QUORUM,
    "outcome_unknown": exit_codes.ExitCode.UNKNOWN,
    "expired": exit_codes.ExitCode.UNKNOWN,
}


def get_exit_code(failure: Failure) -> exit_codes.ExitCode:
    """Return the exit status of a failure."""
    match failure:
        case BadFile():
            return exit_codes.ExitCode.BAD_FILE
        case Unreachable():
            return exit_codes.ExitCode.UNREACHABLE
        case Refused(reason=reason):
            return CODES_BY_REASON.get(reason, exit_codes.ExitCode.REFUSED)
