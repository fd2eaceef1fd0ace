"""Generate documentation pages: `python -m tools.docs events`."""

from __future__ import annotations

import pathlib
import sys

from knapweedbeam_server.logs import catalogue

ROOT = pathlib.Path(__file__).resolve().parent.parent
EVENTS_PAGE = ROOT / "docs" / "events.md"
EVENTS_HEAD = """# Log events

Generated from `knapweedbeam_server/logs/catalogue.py` by `python -m tools.docs
events`; a test keeps the two the same.

With `[log] format = json` each line is one JSON object: `time` (UTC), `level`,
`event` (the number below), `name`, `message` and `fields`. A number never gets
another meaning. Of one kind of event at most 50 lines are written in a second (200 on
the users' platform); the next line of that kind then carries `suppressed`, the count of
those left out. Events carry no payloads, no tokens and no member's name.
"""


def build_event(event: catalogue.Event) -> str:
    """Return the section of one event."""
    is_planned = event in catalogue.NOT_EMITTED_YET
    planned = "Declared; nothing emits it yet.\n\n" if is_planned else ""
    return (
        f"\n## {event.number} {event.name}\n\n{planned}"
        f"Level {event.level}: `{event.template}`\n\n"
        f"{event.meaning}\n\nWhat to do: {event.action}\n"
    )


def build_events() -> str:
    """Return the page of all events."""
    return EVENTS_HEAD + "".join(map(build_event, catalogue.get_events()))


def main() -> int:
    """Write the page named on the command line and return the exit status."""
    if sys.argv[1:] != ["events"]:
        print("usage: python -m tools.docs events", file=sys.stderr)
        return 2
    EVENTS_PAGE.write_text(build_events())
    return 0


if __name__ == "__main__":
    sys.exit(main())
