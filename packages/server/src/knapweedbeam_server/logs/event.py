"""One kind of log event."""

from __future__ import annotations

import dataclasses
import enum
import string


class Level(enum.StrEnum):
    """How urgent an event is."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One kind of event; the braces of `template` are its fields."""

    number: int
    name: str
    level: Level
    template: str
    meaning: str
    action: str = "None."

    def get_fields(self) -> frozenset[str]:
        """Return the names of the fields that each such event carries."""
        parts = string.Formatter().parse(self.template)
        return frozenset(name for _, name, _, _ in parts if name)
