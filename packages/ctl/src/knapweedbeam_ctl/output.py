"""Print results as tables, or as one line of JSON for scripts."""

from __future__ import annotations

import collections.abc
import sys
import typing

import msgspec
import rich.console
import rich.markup
import rich.table

from knapweedbeam_ctl import exit_codes, failures

WIDTH_WITHOUT_TERMINAL = 160


class ErrorContent(msgspec.Struct):
    """The JSON form of a failure."""

    error: str
    detail: str


def print_json(content: typing.Any) -> None:
    """Print a value to stdout as one line of JSON."""
    print(msgspec.json.encode(content).decode())


def print_failure(failure: failures.Failure, as_json: bool) -> exit_codes.ExitCode:
    """Print a failure and return its exit status."""
    if as_json:
        name = failure.reason if isinstance(failure, failures.Refused) else ""
        name = name or type(failure).__name__.lower()
        print_json(ErrorContent(name, str(failure)))
    else:
        print(f"error: {failure}", file=sys.stderr)
    return failures.get_exit_code(failure)


def print_unanswered(unanswered: collections.abc.Iterable[str]) -> None:
    """Print a warning to stderr for each server that did not answer."""
    for detail in unanswered:
        print(f"warning: left out {detail}", file=sys.stderr)


def print_table(
    headings: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> None:
    """Print a table with headings; without a terminal it has a fixed width."""
    table = rich.table.Table(box=None, pad_edge=False, header_style="bold")
    for heading in headings:
        table.add_column(heading, no_wrap=True)
    for row in rows:
        table.add_row(*(rich.markup.escape(str(cell)) for cell in row))
    width = None if sys.stdout.isatty() else WIDTH_WITHOUT_TERMINAL
    rich.console.Console(width=width).print(table)
