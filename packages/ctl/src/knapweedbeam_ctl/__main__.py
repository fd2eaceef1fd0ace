"""The command line of `knapweedctl`."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_ctl import bundle_app, options
from knapweedbeam_ctl.commands import explain as explain_command
from knapweedbeam_ctl.commands import histograms as histograms_command
from knapweedbeam_ctl.commands import limits as limits_command
from knapweedbeam_ctl.commands import status as status_command
from knapweedbeam_ctl.commands import submit as submit_command

EXIT_CODES_HELP = (
    "Exit status: 0 done, 2 wrong command line, 3 a file cannot be used, "
    "4 no server answers, 5 refused, 10 not run, 11 failed, 12 outcome unknown, "
    "13 pending, 20 invalid bundle, 21 conflict, 22 signatures, 23 no quorum, "
    "24 bundles differ."
)

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    epilog=EXIT_CODES_HELP,
)
job_app = typer.Typer(no_args_is_help=True)
app.add_typer(job_app, name="job", help="Show or cancel a job by its ticket.")
app.add_typer(bundle_app.app, name="bundle", help="Make, sign, roll and read bundles.")


@app.callback()
def root() -> None:
    """Submit jobs to knapweedbeam, and operate it."""


@app.command()
def submit(
    file: typing.Annotated[
        pathlib.Path | None,
        typer.Argument(metavar="[FILE]", help="The job as JSON; - for stdin."),
    ] = None,
    service: typing.Annotated[
        str, typer.Option(help="The service, in place of a file.")
    ] = "",
    payload: typing.Annotated[
        list[str] | None,
        typer.Option(metavar="JSON", help="One task's payload; give one a task."),
    ] = None,
    job_class: typing.Annotated[
        str, typer.Option("--class", help="The class that histograms name.")
    ] = "",
    deadline_ms: typing.Annotated[
        int | None, typer.Option(min=1, max=86_400_000, help="The job's deadline.")
    ] = None,
    ticket: typing.Annotated[
        str, typer.Option(help="Submit again under this ticket.")
    ] = "",
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Submit a job and print its final answer.

    The ticket goes to stderr first. A lost connection is followed by the same
    submission under the same ticket, so nothing runs twice.
    """
    if (file is None) == (not service):
        raise typer.BadParameter("give either FILE, or --service and --payload")
    if service and not payload:
        raise typer.BadParameter("--service needs one --payload or more")
    access = options.connect(server, token_file, as_json, options.CALLER_SERVER)
    job = submit_command.JobOptions(
        file, service, tuple(payload or ()), job_class, deadline_ms
    )
    raise typer.Exit(submit_command.submit(access, job, ticket))


@job_app.command("show", context_settings=options.TICKET_SETTINGS)
def show_job(
    ticket: options.Ticket,
    wait_ms: options.WaitMs = 0,
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Print the outcome of a job, or that it is pending."""
    access = options.connect(server, token_file, as_json, options.CALLER_SERVER)
    raise typer.Exit(submit_command.call_job(access, "GET", ticket, wait_ms))


@job_app.command("cancel", context_settings=options.TICKET_SETTINGS)
def cancel_job(
    ticket: options.Ticket,
    wait_ms: options.WaitMs = 5_000,
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Cancel a job and print what became of it."""
    access = options.connect(server, token_file, as_json, options.CALLER_SERVER)
    raise typer.Exit(submit_command.call_job(access, "DELETE", ticket, wait_ms))


@app.command()
def endpoints(
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """List the endpoints that the named servers know together, for operators.

    A process knows those that it keeps or holds slots of.
    """
    access = options.connect(server, token_file, as_json, options.OPERATOR_SERVER)
    raise typer.Exit(status_command.show_endpoints(access))


@app.command()
def explain(
    request: typing.Annotated[
        str, typer.Argument(metavar="ID", help="The request's id.")
    ],
    files: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(metavar="FILE...", help="Log files of the processes."),
    ],
    as_json: options.Json = False,
) -> None:
    """Put in order what log files say of one request, and what changed meanwhile."""
    raise typer.Exit(explain_command.show(request, files, as_json))


@app.command()
def histograms(
    member: typing.Annotated[str, typer.Option(help="Only this member.")] = "",
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show histograms, merged over all servers that are named.

    Operators ask the operators' port and see all members; a member asks the
    callers' port (--server) and sees its own.
    """
    access = options.connect(server, token_file, as_json, options.OPERATOR_SERVER)
    raise typer.Exit(histograms_command.show(access, member))


@app.command()
def limits(
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show limits and their use, added up over all servers that are named.

    A member sees its own; operators ask the operators' port (--server) and see
    those of all members.
    """
    access = options.connect(server, token_file, as_json, options.CALLER_SERVER)
    raise typer.Exit(limits_command.show(access))


@app.command()
def status(
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show a process, the bundles in force where, and cut-off failure domains."""
    access = options.connect(server, token_file, as_json, options.OPERATOR_SERVER)
    raise typer.Exit(status_command.show_status(access))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
