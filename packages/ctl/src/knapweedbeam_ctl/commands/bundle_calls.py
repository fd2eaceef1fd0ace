"""Bundles at the servers: roll, show, compare, list."""

from __future__ import annotations

import base64
import pathlib
import sys

import msgspec

from knapweedbeam_core.bundles import model, signing
from knapweedbeam_ctl import client, exit_codes, failures, files, models, output
from knapweedbeam_ctl.commands import bundle_files, connection

PATH = "/v1/bundles"
NEWEST = 0
ROLL_TRIES = 3
SERVED_PREFIX = "@"
UNKNOWN = "outcome_unknown"
ExitCode = exit_codes.ExitCode


class VersionContent(msgspec.Struct):
    """One version of the history."""

    version: int
    digest: str
    signers: tuple[str, ...]


def roll(access: connection.Connection, path: pathlib.Path) -> ExitCode:
    """Roll a signed bundle; a lost answer is asked for by sending it again."""
    content = files.read_file(path)
    if isinstance(content, failures.BadFile):
        return output.print_failure(content, access.as_json)
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    found = send(api, content)
    if not isinstance(found, models.AcceptedBody):
        return output.print_failure(found, access.as_json)
    if access.as_json:
        output.print_json(found)
        return ExitCode.OK
    print(f"bundle {found.version} is accepted, digest {found.digest}")
    rows = sorted(found.in_force.items())
    output.print_table(("process", "bundle in force"), rows)
    if found.unreachable_domains:
        print("cut off: " + " ".join(found.unreachable_domains))
    return ExitCode.OK


def send(
    api: client.Client, content: bytes
) -> models.AcceptedBody | failures.Refused | failures.Unreachable:
    """Send a bundle until the answer is certain, a few times at most."""
    result: models.AcceptedBody | failures.Refused | failures.Unreachable
    result = failures.Unreachable(())
    for _ in range(ROLL_TRIES):
        found = api.call("POST", PATH, content)
        if isinstance(found, failures.Unreachable):
            return found
        result = client.decode(found, models.AcceptedBody)
        if not isinstance(result, failures.Refused) or result.reason != UNKNOWN:
            return result
    return result


def fetch(api: client.Client, version: int) -> str | failures.Failure:
    """Return the text of an accepted bundle."""
    found = api.get(f"{PATH}/{version}", models.BundleBody)
    return found.bundle if isinstance(found, models.BundleBody) else found


def show(access: connection.Connection, version: int) -> ExitCode:
    """Print the text of an accepted bundle."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    text = fetch(api, version)
    if not isinstance(text, str):
        return output.print_failure(text, access.as_json)
    if access.as_json:
        output.print_json(models.BundleBody(text))
    else:
        print(text, end="")
    return ExitCode.OK


def read(
    access: connection.Connection, source: str
) -> model.Bundle | tuple[model.BundleError, ...] | failures.Failure:
    """Return a bundle from a file, or from the servers for `@VERSION`."""
    text: str | failures.Failure
    if source.startswith(SERVED_PREFIX):
        version = source.removeprefix(SERVED_PREFIX)
        if not version.isdecimal():
            return failures.BadFile(source, "is no version, such as @7 or @0")
        api = access.open()
        if isinstance(api, failures.BadFile):
            return api
        text = fetch(api, int(version))
    else:
        text = files.read_text(pathlib.Path(source))
    return model.parse_bundle(text) if isinstance(text, str) else text


def diff(access: connection.Connection, old: str, new: str) -> ExitCode:
    """Print what `new` changes against `old`."""
    bundles = []
    for source in (old, new):
        bundle = read(access, source)
        if isinstance(bundle, tuple):
            bundle_files.print_errors(source, bundle)
            return ExitCode.INVALID
        if not isinstance(bundle, model.Bundle):
            return output.print_failure(bundle, access.as_json)
        bundles.append(bundle)
    return bundle_files.print_changes(bundles[0], bundles[1], access.as_json)


def list_history(access: connection.Connection, count: int) -> ExitCode:
    """Print the newest versions with their digests and signers."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    found: list[VersionContent] = []
    version = NEWEST
    while len(found) < count:
        text = fetch(api, version)
        if not isinstance(text, str):
            if found:
                break
            return output.print_failure(text, access.as_json)
        described = describe(text)
        if described is None:
            print("warning: a server sent a malformed bundle", file=sys.stderr)
            break
        found.append(described)
        version = described.version - 1
        if version < 1:
            break
    print_history(found, access.as_json)
    return ExitCode.OK


def describe(text: str) -> VersionContent | None:
    """Return a bundle's version, digest and the names of its signers."""
    signed = signing.parse_signed(text)
    bundle = model.parse_bundle(text)
    if isinstance(signed, model.BundleError) or isinstance(bundle, tuple):
        return None
    names = {operator.key: operator.name for operator in bundle.operators}
    keys = [base64.b64encode(one.key).decode() for one in signed.signatures]
    signers = tuple(names.get(key, key) for key in keys)
    return VersionContent(bundle.version, signed.digest, signers)


def print_history(found: list[VersionContent], as_json: bool) -> None:
    """Print versions, the newest first."""
    if as_json:
        output.print_json({"versions": found})
        return
    rows = [(one.version, one.digest, " ".join(one.signers)) for one in found]
    output.print_table(("version", "digest", "signed by"), rows)
