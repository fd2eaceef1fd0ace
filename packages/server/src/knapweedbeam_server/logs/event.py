"""The description of a kind of log event."""

from __future__ import annotations

import dataclasses
import enum
import string


class Level(enum.StrEnum):
    """The severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One kind of event; the names in braces in `template` are its fields."""

    number: int
    name: str
    level: Level
    template: str
    meaning: str
    action: str = "None."

    def get_fields(self) -> frozenset[str]:
        """Return the names of the template's fields."""
        parts = string.Formatter().parse(self.template)
        return frozenset(name for _, name, _, _ in parts if name)
