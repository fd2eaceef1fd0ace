"""Print results: tables for people, one JSON object a line for scripts."""

from __future__ import annotations

import collections.abc
import sys
import typing

import msgspec
import rich.console
import rich.markup
import rich.table

from knapweedbeam_ctl import exit_codes, failures

PIPE_WIDTH = 160


class ErrorContent(msgspec.Struct):
    """A failure as scripts read it."""

    error: str
    detail: str


def print_json(content: typing.Any) -> None:
    """Print one JSON object on a line of stdout."""
    print(msgspec.json.encode(content).decode())


def print_failure(failure: failures.Failure, as_json: bool) -> exit_codes.ExitCode:
    """Print a failure, and return its exit status."""
    if as_json:
        name = failure.reason if isinstance(failure, failures.Refused) else ""
        name = name or type(failure).__name__.lower()
        print_json(ErrorContent(name, str(failure)))
    else:
        print(f"error: {failure}", file=sys.stderr)
    return failures.get_exit_code(failure)


def print_left_out(lost: collections.abc.Iterable[str]) -> None:
    """Name the servers whose answers are missing."""
    for detail in lost:
        print(f"warning: left out {detail}", file=sys.stderr)


def print_table(
    headings: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> None:
    """Print rows under headings."""
    table = rich.table.Table(box=None, pad_edge=False, header_style="bold")
    for heading in headings:
        table.add_column(heading, no_wrap=True)
    for row in rows:
        table.add_row(*(rich.markup.escape(str(cell)) for cell in row))
    width = None if sys.stdout.isatty() else PIPE_WIDTH
    rich.console.Console(width=width).print(table)
