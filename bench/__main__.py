"""Command line of the bench."""

from __future__ import annotations

import typer

app = typer.Typer(help="Load tool, history checker and demo.", no_args_is_help=True)


@app.callback()
def bench() -> None:
    """Measure and check knapweedbeam against small fakes."""


if __name__ == "__main__":
    app()
