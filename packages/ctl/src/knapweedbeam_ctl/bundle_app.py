"""Commands and options of `knapweedctl bundle`."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_ctl import options
from knapweedbeam_ctl.commands import bundle_calls, bundle_files

app = typer.Typer(no_args_is_help=True)

BundleFile = typing.Annotated[
    pathlib.Path, typer.Argument(metavar="FILE", help="The bundle file; - for stdin.")
]
Source = typing.Annotated[
    str, typer.Argument(help="A file, or @VERSION from the servers; @0 is the newest.")
]


@app.command("keygen")
def create_key(
    file: typing.Annotated[
        pathlib.Path,
        typer.Argument(
            help="The new private key file; the public key goes to FILE.pub."
        ),
    ],
    as_json: options.Json = False,
) -> None:
    """Create an operator's key pair and print the public key."""
    raise typer.Exit(bundle_files.create_key(file, as_json))


@app.command("new")
def create_bundle(
    operator: typing.Annotated[
        list[str],
        typer.Option(
            metavar="NAME=FILE.pub", help="An operator and the public key file."
        ),
    ],
    domain: typing.Annotated[
        list[str] | None,
        typer.Option(metavar="NAME=VM,VM", help="A failure domain and its entry VMs."),
    ] = None,
    control: typing.Annotated[
        str,
        typer.Option(
            metavar="VM,VM,VM", help="The control VMs (those with a data folder)."
        ),
    ] = "",
) -> None:
    """Print a template for the first bundle."""
    keys = options.split_pairs(operator, "--operator")
    domains = options.split_pairs(domain, "--domain")
    new_bundle_options = bundle_files.NewBundleOptions(
        {name: pathlib.Path(path) for name, path in keys.items()},
        {name: tuple(vms.split(",")) for name, vms in domains.items()},
        tuple(control.split(",")) if control else (),
    )
    raise typer.Exit(bundle_files.create_bundle(new_bundle_options))


@app.command("check")
def check_bundle(file: BundleFile, as_json: options.Json = False) -> None:
    """Show all errors of a bundle, or each limit as written and in exact numbers."""
    raise typer.Exit(bundle_files.check(file, as_json))


@app.command("diff")
def diff_bundles(
    old: Source,
    new: Source,
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show what a bundle changes for whom; exit status 24 if they differ."""
    settings = options.build_settings(
        server, token_file, as_json, options.OPERATOR_SERVER
    )
    raise typer.Exit(bundle_calls.diff(settings, old, new))


@app.command("sign")
def sign_bundle(
    file: BundleFile,
    key: typing.Annotated[
        pathlib.Path, typer.Option(help="The private key file, with mode 0600.")
    ],
    output: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="The new file to write; default: stdout."),
    ] = None,
) -> None:
    """Add a signature to a bundle and keep those of other operators."""
    raise typer.Exit(bundle_files.sign(file, key, output))


@app.command("roll")
def roll_bundle(
    file: BundleFile,
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Roll a signed bundle; sending the same one again is safe."""
    settings = options.build_settings(
        server, token_file, as_json, options.OPERATOR_SERVER
    )
    raise typer.Exit(bundle_calls.roll(settings, file))


@app.command("show")
def show_bundle(
    version: typing.Annotated[
        int, typer.Argument(min=0, help="The version; 0 for the newest.")
    ] = 0,
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Print the text of an accepted bundle."""
    settings = options.build_settings(
        server, token_file, as_json, options.OPERATOR_SERVER
    )
    raise typer.Exit(bundle_calls.show(settings, version))


@app.command("history")
def list_history(
    count: typing.Annotated[
        int, typer.Option(min=1, max=1_000, help="The maximum number of versions.")
    ] = 10,
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """List the newest bundles with their digests and signers."""
    settings = options.build_settings(
        server, token_file, as_json, options.OPERATOR_SERVER
    )
    raise typer.Exit(bundle_calls.list_history(settings, count))
