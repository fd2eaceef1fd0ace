"""The command line of `knapweedctl`."""

from __future__ import annotations

import typer

app = typer.Typer(no_args_is_help=True)


@app.callback()
def root() -> None:
    """Dispatch sub-second tasks."""


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
