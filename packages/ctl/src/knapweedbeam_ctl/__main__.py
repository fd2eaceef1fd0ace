"""Commands and options of `knapweedctl`."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_ctl import bundle_app, config_app, options
from knapweedbeam_ctl.commands import explain as explain_command
from knapweedbeam_ctl.commands import histograms as histograms_command
from knapweedbeam_ctl.commands import limits as limits_command
from knapweedbeam_ctl.commands import status as status_command
from knapweedbeam_ctl.commands import submit as submit_command

EXIT_CODES_HELP = (
    "Exit status: 0 done, 2 wrong command line, 3 a file cannot be used, "
    "4 no server answers, 5 refused, 10 not run, 11 failed, 12 outcome unknown, "
    "13 pending, 20 invalid bundle, 21 conflict, 22 signatures, 23 no quorum, "
    "24 configurations differ, 25 a valid configuration has doubtful entries."
)

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    epilog=EXIT_CODES_HELP,
)
job_app = typer.Typer(no_args_is_help=True)
app.add_typer(job_app, name="job", help="Show or cancel a job by its ticket.")
app.add_typer(
    bundle_app.app, name="bundle", help="Create, sign, roll and read bundles."
)
app.add_typer(
    config_app.app, name="config", help="Check a configuration before it is sent."
)


@app.callback()
def root() -> None:
    """Submit jobs to knapweedbeam, and operate it."""


@app.command()
def submit(
    file: typing.Annotated[
        pathlib.Path | None,
        typer.Argument(
            metavar="[FILE]", help="A file with the job as JSON; - for stdin."
        ),
    ] = None,
    service: typing.Annotated[
        str, typer.Option(help="The service to call, if no FILE is given.")
    ] = "",
    payload: typing.Annotated[
        list[str] | None,
        typer.Option(
            metavar="JSON", help="The payload of one task; repeat it for each task."
        ),
    ] = None,
    job_class: typing.Annotated[
        str, typer.Option("--class", help="The job class, as shown in histograms.")
    ] = "",
    deadline_ms: typing.Annotated[
        int | None, typer.Option(min=1, max=86_400_000, help="The job's deadline.")
    ] = None,
    ticket: typing.Annotated[
        str, typer.Option(help="The ticket of an earlier submission to repeat.")
    ] = "",
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Submit a job and print its final answer.

    The ticket is printed to stderr first. If a connection is lost, the same job is
    submitted again under the same ticket, so that nothing runs twice.
    """
    if (file is None) == (not service):
        raise typer.BadParameter("give either FILE or --service with --payload")
    if service and not payload:
        raise typer.BadParameter("--service needs at least one --payload")
    settings = options.build_settings(
        server, token_file, as_json, options.CALLER_SERVER
    )
    job = submit_command.JobOptions(
        file, service, tuple(payload or ()), job_class, deadline_ms
    )
    raise typer.Exit(submit_command.submit(settings, job, ticket))


@job_app.command("show", context_settings=options.TICKET_SETTINGS)
def show_job(
    ticket: options.Ticket,
    wait_ms: options.WaitMs = 0,
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Print the outcome of a job, or `pending` if there is none yet."""
    settings = options.build_settings(
        server, token_file, as_json, options.CALLER_SERVER
    )
    raise typer.Exit(submit_command.call_job(settings, "GET", ticket, wait_ms))


@job_app.command("cancel", context_settings=options.TICKET_SETTINGS)
def cancel_job(
    ticket: options.Ticket,
    wait_ms: options.WaitMs = 5_000,
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Cancel a job and print its outcome."""
    settings = options.build_settings(
        server, token_file, as_json, options.CALLER_SERVER
    )
    raise typer.Exit(submit_command.call_job(settings, "DELETE", ticket, wait_ms))


@app.command()
def endpoints(
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """List the endpoints that the given servers know, for operators.

    A process knows the endpoints that it is the keeper of or holds slots of.
    """
    settings = options.build_settings(
        server, token_file, as_json, options.OPERATOR_SERVER
    )
    raise typer.Exit(status_command.show_endpoints(settings))


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
    """Show the log lines of one request in order, and the changes in between."""
    raise typer.Exit(explain_command.show(request, files, as_json))


@app.command()
def histograms(
    member: typing.Annotated[str, typer.Option(help="Show only this member.")] = "",
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show histograms, merged over all given servers.

    Operators use the operators' port and see all members; a member uses the
    callers' port (--server) and sees its own.
    """
    settings = options.build_settings(
        server, token_file, as_json, options.OPERATOR_SERVER
    )
    raise typer.Exit(histograms_command.show(settings, member))


@app.command()
def limits(
    server: options.CallerServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show limits and their usage, summed over all given servers.

    A member sees its own limits; operators use the operators' port (--server) and
    see those of all members.
    """
    settings = options.build_settings(
        server, token_file, as_json, options.CALLER_SERVER
    )
    raise typer.Exit(limits_command.show(settings))


@app.command()
def status(
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show a process, the bundle in force at each process and unreachable domains."""
    settings = options.build_settings(
        server, token_file, as_json, options.OPERATOR_SERVER
    )
    raise typer.Exit(status_command.show_status(settings))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
