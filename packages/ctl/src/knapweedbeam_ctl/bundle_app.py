"""The command lines of `knapweedctl bundle`."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_ctl import options
from knapweedbeam_ctl.commands import bundle_calls, bundle_files

app = typer.Typer(no_args_is_help=True)

BundleFile = typing.Annotated[
    pathlib.Path, typer.Argument(metavar="FILE", help="The bundle; - for stdin.")
]
Source = typing.Annotated[
    str, typer.Argument(help="A file, or @VERSION at the servers; @0 is the newest.")
]


@app.command("keygen")
def create_key(
    file: typing.Annotated[
        pathlib.Path,
        typer.Argument(help="The private key's new file; the public one adds .pub."),
    ],
    as_json: options.Json = False,
) -> None:
    """Make an operator's key pair; print the public key."""
    raise typer.Exit(bundle_files.create_key(file, as_json))


@app.command("new")
def create_bundle(
    operator: typing.Annotated[
        list[str],
        typer.Option(
            metavar="NAME=FILE.pub", help="An operator and the public key's file."
        ),
    ],
    domain: typing.Annotated[
        list[str] | None,
        typer.Option(metavar="NAME=VM,VM", help="A failure domain and its entry VMs."),
    ] = None,
    control: typing.Annotated[
        str, typer.Option(metavar="VM,VM,VM", help="The VMs with a data folder.")
    ] = "",
) -> None:
    """Print the text that a first bundle starts from."""
    keys = options.split_pairs(operator, "--operator")
    domains = options.split_pairs(domain, "--domain")
    named = bundle_files.NewOptions(
        {name: pathlib.Path(path) for name, path in keys.items()},
        {name: tuple(vms.split(",")) for name, vms in domains.items()},
        tuple(control.split(",")) if control else (),
    )
    raise typer.Exit(bundle_files.create_bundle(named))


@app.command("check")
def check_bundle(file: BundleFile, as_json: options.Json = False) -> None:
    """Show every error of a bundle, or each limit as written and in exact numbers."""
    raise typer.Exit(bundle_files.check(file, as_json))


@app.command("diff")
def diff_bundles(
    old: Source,
    new: Source,
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Show what a bundle would change for whom; exit status 24 if anything."""
    access = options.connect(server, token_file, as_json, options.OPERATOR_SERVER)
    raise typer.Exit(bundle_calls.diff(access, old, new))


@app.command("sign")
def sign_bundle(
    file: BundleFile,
    key: typing.Annotated[
        pathlib.Path, typer.Option(help="The private key's file, of mode 0600.")
    ],
    output: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="The new file to write; stdout without it."),
    ] = None,
) -> None:
    """Add a signature to a bundle; earlier ones of other operators stay."""
    raise typer.Exit(bundle_files.sign(file, key, output))


@app.command("roll")
def roll_bundle(
    file: BundleFile,
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """Roll a signed bundle; sending the same one again is safe."""
    access = options.connect(server, token_file, as_json, options.OPERATOR_SERVER)
    raise typer.Exit(bundle_calls.roll(access, file))


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
    access = options.connect(server, token_file, as_json, options.OPERATOR_SERVER)
    raise typer.Exit(bundle_calls.show(access, version))


@app.command("history")
def list_history(
    count: typing.Annotated[
        int, typer.Option(min=1, max=1_000, help="How many versions at most.")
    ] = 10,
    server: options.OperatorServers = None,
    token_file: options.TokenFile = None,
    as_json: options.Json = False,
) -> None:
    """List the newest bundles with their digests and signers."""
    access = options.connect(server, token_file, as_json, options.OPERATOR_SERVER)
    raise typer.Exit(bundle_calls.list_history(access, count))
