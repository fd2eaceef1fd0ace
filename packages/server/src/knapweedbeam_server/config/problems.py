"""What is wrong with a settings file, gathered to be shown together."""

from __future__ import annotations

import dataclasses
import enum


class Severity(enum.StrEnum):
    """Whether a problem keeps the process from starting."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem; `key` is empty where a whole section or file is meant."""

    severity: Severity
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return one line for people."""
        place = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{self.severity}: {place}: found {self.found}; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsProblems:
    """Every problem of one settings file, at least one of them an error."""

    problems: tuple[Problem, ...]


def has_error(problems: tuple[Problem, ...]) -> bool:
    """Say whether one of the problems keeps the process from starting."""
    return any(problem.severity is Severity.ERROR for problem in problems)
