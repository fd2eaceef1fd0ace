"""Exit statuses of `knapweedctl`; typer exits with 2 on a wrong command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """The exit status of a command."""

    OK = 0
    BAD_FILE = 3
    UNREACHABLE = 4
    REFUSED = 5
    NOT_RUN = 10
    FAILED = 11
    UNKNOWN = 12
    PENDING = 13
    INVALID = 20
    CONFLICT = 21
    SIGNATURES = 22
    NO_QUORUM = 23
    DIFFERS = 24
    DOUBTFUL = 25
