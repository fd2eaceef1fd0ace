"""The problems of a settings file, collected to be shown together."""

from __future__ import annotations

import dataclasses
import enum


class Severity(enum.StrEnum):
    """Whether a problem prevents the process from starting."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem; `key` is empty if it concerns an entire section or file."""

    severity: Severity
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one readable line."""
        place = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{self.severity}: {place}: found {self.found}; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsProblems:
    """All problems of a settings file, of which at least one is an error."""

    problems: tuple[Problem, ...]


def has_error(problems: tuple[Problem, ...]) -> bool:
    """Return whether one of the problems prevents the process from starting."""
    return any(problem.severity is Severity.ERROR for problem in problems)
