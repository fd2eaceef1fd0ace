"""Bundle commands on files: keygen, new, check, sign; differences of bundles."""

from __future__ import annotations

import base64
import collections.abc
import dataclasses
import pathlib
import sys

import msgspec

from knapweedbeam_core.bundles import compare, explain, model, signing, template
from knapweedbeam_ctl import exit_codes, failures, files, output

PUBLIC_SUFFIX = ".pub"
ExitCode = exit_codes.ExitCode


class CheckContent(msgspec.Struct):
    """The JSON form of the result of a check."""

    valid: bool
    errors: tuple[model.BundleError, ...]
    limits: tuple[explain.LimitLine, ...]
    digest: str
    signatures: tuple[str, ...]


class KeyContent(msgspec.Struct):
    """The JSON form of a new key."""

    private_key_file: str
    public_key_file: str
    public_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class NewBundleOptions:
    """The operators, failure domains and control VMs of a first bundle."""

    operators: collections.abc.Mapping[str, pathlib.Path]
    domains: collections.abc.Mapping[str, tuple[str, ...]]
    control_vms: tuple[str, ...]


def create_key(path: pathlib.Path, as_json: bool) -> ExitCode:
    """Write a key pair: the private key with mode 0600, the public one to `.pub`."""
    private, public = signing.generate_key()
    public_path = path.with_name(path.name + PUBLIC_SUFFIX)
    failure = files.create_file(
        path, files.encode_key(private), files.SECRET_MODE
    ) or files.create_file(public_path, files.encode_key(public), files.PUBLIC_MODE)
    if failure is not None:
        return output.print_failure(failure, as_json)
    text = base64.b64encode(public).decode()
    if as_json:
        output.print_json(KeyContent(str(path), str(public_path), text))
    else:
        print(text)
    return ExitCode.OK


def create_bundle(options: NewBundleOptions) -> ExitCode:
    """Print a template for the first bundle."""
    keys = {}
    for name, path in options.operators.items():
        key = files.read_public_key(path)
        if isinstance(key, failures.BadFile):
            return output.print_failure(key, as_json=False)
        keys[name] = key
    text = template.build_bundle_text(keys, options.domains, options.control_vms)
    print(text, end="")
    return ExitCode.OK


def print_errors(
    source: str, errors: collections.abc.Iterable[model.BundleError]
) -> None:
    """Print one line to stderr for each error of a bundle."""
    for error in errors:
        field = f"{error.field}: " if error.field else ""
        print(f"error: {source}: {field}{error.detail}", file=sys.stderr)


def check(path: pathlib.Path, as_json: bool) -> ExitCode:
    """Print all errors of a bundle, or its limits as written and in exact numbers."""
    text = files.read_text(path)
    if isinstance(text, failures.BadFile):
        return output.print_failure(text, as_json)
    content = build_check(text)
    if as_json:
        output.print_json(content)
    elif content.valid:
        print_limits(content)
    else:
        print_errors(str(path), content.errors)
    return ExitCode.OK if content.valid else ExitCode.INVALID


def build_check(text: str) -> CheckContent:
    """Check the text of a bundle and return the result."""
    signed = signing.parse_signed(text)
    if isinstance(signed, model.BundleError):
        return CheckContent(False, (signed,), (), "", ())
    bundle = model.parse_bundle(text)
    if isinstance(bundle, tuple):
        return CheckContent(False, bundle, (), signed.digest, ())
    signers = tuple(base64.b64encode(entry.key).decode() for entry in signed.signatures)
    limits = explain.explain_limits(bundle)
    return CheckContent(True, (), limits, signed.digest, signers)


def print_limits(content: CheckContent) -> None:
    """Print the limits and signers of a valid bundle."""
    rows = [
        (line.member, line.limit, line.written, line.exact) for line in content.limits
    ]
    if rows:
        output.print_table(("member", "limit", "as written", "exactly"), rows)
    print(f"valid, digest {content.digest}, {len(content.signatures)} signatures")


def sign(
    path: pathlib.Path, key_path: pathlib.Path, target: pathlib.Path | None
) -> ExitCode:
    """Add a signature to a bundle; print the bundle or write it to a new file."""
    text = files.read_text(path)
    if isinstance(text, failures.BadFile):
        return output.print_failure(text, as_json=False)
    bundle = model.parse_bundle(text)
    if isinstance(bundle, tuple):
        print_errors(str(path), bundle)
        return ExitCode.INVALID
    key = files.read_private_key(key_path)
    if isinstance(key, failures.BadFile):
        return output.print_failure(key, as_json=False)
    signed = signing.sign_bundle(text, key)
    if isinstance(signed, model.BundleError):
        print_errors(str(path), (signed,))
        return ExitCode.INVALID
    if target is None:
        print(signed, end="")
        return ExitCode.OK
    failure = files.create_file(target, signed.encode(), files.PUBLIC_MODE)
    return output.print_failure(failure, as_json=False) if failure else ExitCode.OK


def print_changes(old: model.Bundle, new: model.Bundle, as_json: bool) -> ExitCode:
    """Print what a new bundle changes for whom."""
    changes = compare.compare_bundles(old, new)
    if as_json:
        output.print_json({"changes": changes})
    elif changes:
        rows = [
            (change.whom, change.what, change.old, change.new) for change in changes
        ]
        output.print_table(("for whom", "what", "old", "new"), rows)
    else:
        print("no difference")
    return ExitCode.DIFFERS if changes else ExitCode.OK
