"""Bundle commands that call servers: roll, show, diff and history."""

from __future__ import annotations

import base64
import pathlib
import sys

import msgspec

from knapweedbeam_core.bundles import model, signing
from knapweedbeam_ctl import client, exit_codes, failures, files, models, output
from knapweedbeam_ctl.commands import bundle_files, connection

PATH = "/v1/bundles"
NEWEST_VERSION = 0
MAX_ROLL_ATTEMPTS = 3
VERSION_PREFIX = "@"
UNKNOWN_OUTCOME_REASON = "outcome_unknown"
ExitCode = exit_codes.ExitCode


class VersionSummary(msgspec.Struct):
    """One bundle in the history."""

    version: int
    digest: str
    signers: tuple[str, ...]


def roll(settings: connection.ConnectionSettings, path: pathlib.Path) -> ExitCode:
    """Roll a signed bundle; send it again if the outcome is unknown."""
    content = files.read_file(path)
    if isinstance(content, failures.BadFile):
        return output.print_failure(content, settings.as_json)
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    accepted = post_bundle(api, content)
    if not isinstance(accepted, models.AcceptedBody):
        return output.print_failure(accepted, settings.as_json)
    if settings.as_json:
        output.print_json(accepted)
        return ExitCode.OK
    print(f"bundle {accepted.version} is accepted, digest {accepted.digest}")
    rows = sorted(accepted.in_force.items())
    output.print_table(("process", "bundle in force"), rows)
    if accepted.unreachable_domains:
        print("cut off: " + " ".join(accepted.unreachable_domains))
    return ExitCode.OK


def post_bundle(
    api: client.Client, content: bytes
) -> models.AcceptedBody | failures.Refused | failures.Unreachable:
    """Post a bundle; retry unknown outcomes, `MAX_ROLL_ATTEMPTS` in all."""
    result: models.AcceptedBody | failures.Refused | failures.Unreachable
    result = failures.Unreachable(())
    for _ in range(MAX_ROLL_ATTEMPTS):
        response = api.call("POST", PATH, content)
        if isinstance(response, failures.Unreachable):
            return response
        result = client.decode(response, models.AcceptedBody)
        if (
            not isinstance(result, failures.Refused)
            or result.reason != UNKNOWN_OUTCOME_REASON
        ):
            return result
    return result


def fetch_bundle(api: client.Client, version: int) -> str | failures.Failure:
    """Return the text of an accepted bundle."""
    body = api.get(f"{PATH}/{version}", models.BundleBody)
    return body.bundle if isinstance(body, models.BundleBody) else body


def show(settings: connection.ConnectionSettings, version: int) -> ExitCode:
    """Print the text of an accepted bundle."""
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    text = fetch_bundle(api, version)
    if not isinstance(text, str):
        return output.print_failure(text, settings.as_json)
    if settings.as_json:
        output.print_json(models.BundleBody(text))
    else:
        print(text, end="")
    return ExitCode.OK


def read_bundle(
    settings: connection.ConnectionSettings, source: str
) -> model.Bundle | tuple[model.BundleError, ...] | failures.Failure:
    """Return the bundle in a file, or version N from the servers for `@N`."""
    text: str | failures.Failure
    if source.startswith(VERSION_PREFIX):
        version = source.removeprefix(VERSION_PREFIX)
        if not version.isdecimal():
            return failures.BadFile(source, "is not a version, such as @7 or @0")
        api = settings.create_client()
        if isinstance(api, failures.BadFile):
            return api
        text = fetch_bundle(api, int(version))
    else:
        text = files.read_text(pathlib.Path(source))
    return model.parse_bundle(text) if isinstance(text, str) else text


def diff(settings: connection.ConnectionSettings, old: str, new: str) -> ExitCode:
    """Print the differences between two bundles."""
    bundles = []
    for source in (old, new):
        bundle = read_bundle(settings, source)
        if isinstance(bundle, tuple):
            bundle_files.print_errors(source, bundle)
            return ExitCode.INVALID
        if not isinstance(bundle, model.Bundle):
            return output.print_failure(bundle, settings.as_json)
        bundles.append(bundle)
    return bundle_files.print_changes(bundles[0], bundles[1], settings.as_json)


def list_history(settings: connection.ConnectionSettings, count: int) -> ExitCode:
    """Print the newest versions with their digests and signers.

    If a version cannot be fetched, only the newer ones are printed.
    """
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    summaries: list[VersionSummary] = []
    version = NEWEST_VERSION
    while len(summaries) < count:
        text = fetch_bundle(api, version)
        if not isinstance(text, str):
            if summaries:
                break
            return output.print_failure(text, settings.as_json)
        summary = summarize_bundle(text)
        if summary is None:
            print("warning: a server sent a malformed bundle", file=sys.stderr)
            break
        summaries.append(summary)
        version = summary.version - 1
        if version < 1:
            break
    print_history(summaries, settings.as_json)
    return ExitCode.OK


def summarize_bundle(text: str) -> VersionSummary | None:
    """Return a bundle's version, digest and signers; None if it is malformed.

    A signer that is not an operator of the bundle is shown by its key.
    """
    signed = signing.parse_signed(text)
    bundle = model.parse_bundle(text)
    if isinstance(signed, model.BundleError) or isinstance(bundle, tuple):
        return None
    names = {operator.key: operator.name for operator in bundle.operators}
    keys = [base64.b64encode(entry.key).decode() for entry in signed.signatures]
    signers = tuple(names.get(key, key) for key in keys)
    return VersionSummary(bundle.version, signed.digest, signers)


def print_history(summaries: list[VersionSummary], as_json: bool) -> None:
    """Print bundle versions in the given order."""
    if as_json:
        output.print_json({"versions": summaries})
        return
    rows = [(item.version, item.digest, " ".join(item.signers)) for item in summaries]
    output.print_table(("version", "digest", "signed by"), rows)
