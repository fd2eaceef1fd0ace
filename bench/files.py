"""Writes the settings and keys of a run's processes and builds their bundles."""

from __future__ import annotations

import base64
import configparser
import dataclasses
import hashlib
import pathlib
import secrets

from bench import deployment
from knapweedbeam_core.bundles import model, signing

KEY_BYTES = 32
KEY_MODE = 0o600
OPERATOR_NAME = "bench"
STOP_DEADLINE_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Secrets:
    """Keys and tokens with which the bench acts as operator, endpoint and platform."""

    operator_key: bytes
    operator_public: bytes
    operator_token: str
    endpoint_token: str
    platform_token: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunFolder:
    """Paths of the files of a run."""

    root: pathlib.Path

    @property
    def histories(self) -> pathlib.Path:
        """Return the folder of the histories, as read by the `check` command."""
        return self.root / "histories"

    def get_settings(self, name: str) -> pathlib.Path:
        """Return the settings file of an entry VM."""
        return self.root / f"{name}.ini"

    def get_log(self, name: str) -> pathlib.Path:
        """Return the file that receives the output of a process."""
        return self.root / f"{name}.log"

    def get_history(self, name: str) -> pathlib.Path:
        """Return the history file of a process."""
        return self.histories / f"{name}.history"


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Server settings that differ between runs; an empty policy means the default."""

    policy: str = ""
    keep_history: bool = True


def build_secrets() -> Secrets:
    """Return newly generated keys and tokens for a run."""
    private, public = signing.generate_key()
    operator, endpoint, platform = (secrets.token_hex(16) for _ in range(3))
    return Secrets(private, public, operator, endpoint, platform)


def write_keys(folder: RunFolder) -> None:
    """Write the keys that all entry VMs share."""
    folder.histories.mkdir(parents=True, exist_ok=True)
    for name in ("link.key", "ticket.key"):
        path = folder.root / name
        path.touch(mode=KEY_MODE)
        path.write_text(base64.b64encode(secrets.token_bytes(KEY_BYTES)).decode())


def write_settings(
    folder: RunFolder,
    plan: deployment.Deployment,
    vm: deployment.EntryVm,
    run_secrets: Secrets,
    options: ServerOptions,
) -> None:
    """Write the settings of one entry VM."""
    data = folder.root / f"{vm.name}.data"
    if vm.has_disk:
        data.mkdir(exist_ok=True)
    parser = configparser.ConfigParser()
    parser["process"] = {
        "name": vm.name,
        "domain": vm.domain,
        "data_folder": str(data) if vm.has_disk else "",
    }
    parser["listen"] = {
        "callers": vm.callers,
        "operators": vm.operators,
        "links": vm.links,
    }
    parser["peers"] = {
        peer.name: f"{peer.domain} {get_link_address(plan, vm, peer)}"
        for peer in plan.vms
        if peer is not vm
    }
    parser["control"] = {
        "replicas": " ".join(each.name for each in plan.vms if each.has_disk),
        "operator_keys": base64.b64encode(run_secrets.operator_public).decode(),
        "signatures": "1",
    }
    parser["keys"] = {
        "link_key_file": str(folder.root / "link.key"),
        "ticket_key_file": str(folder.root / "ticket.key"),
    }
    parser["platform"] = {"address": f"http://{plan.platform}"}
    parser["log"] = {"format": "json", "level": "info"}
    history = str(folder.get_history(vm.name)) if options.keep_history else ""
    parser["history"] = {"file": history}
    parser["stopping"] = {"deadline_ms": str(STOP_DEADLINE_MS)}
    if options.policy:
        parser["dispatch"] = {"policy": options.policy}
    with folder.get_settings(vm.name).open("w") as file:
        parser.write(file)


def get_link_address(
    plan: deployment.Deployment, source: deployment.EntryVm, target: deployment.EntryVm
) -> str:
    """Return the address at which `source` reaches `target`.

    It is a relay if the two are in different failure domains.
    """
    if source.domain == target.domain:
        return target.links
    return plan.get_relay(source, target)


def get_token_digest(token: str) -> str:
    """Return the SHA-256 of a token in hexadecimal, as bundles hold it."""
    return hashlib.sha256(token.encode()).hexdigest()


def build_bundle(
    plan: deployment.Deployment, run_secrets: Secrets, version: int
) -> str:
    """Return the signed bundle of a deployment.

    Raises `ValueError` if the text is not a valid bundle.
    """
    text = "\n".join(
        [
            f"version = {version}",
            "signatures = 1",
            f"control_vms = {build_array([vm.name for vm in plan.vms if vm.has_disk])}",
            *build_credentials(run_secrets),
            *build_domains(plan),
            *build_members(plan),
            *build_services(plan),
            *build_contracts(plan),
            "",
        ]
    )
    errors = model.parse_bundle(text)
    if isinstance(errors, tuple):
        raise ValueError(f"bundle of {plan.name}: {errors}")
    signed = signing.sign_bundle(text, run_secrets.operator_key)
    if isinstance(signed, model.BundleError):
        raise ValueError(f"bundle of {plan.name}: {signed}")
    return signed


def build_credentials(run_secrets: Secrets) -> list[str]:
    """Return the lines of the operator and of the tokens that belong to no member."""
    public = base64.b64encode(run_secrets.operator_public).decode()
    lines = ["[[operators]]", f'name = "{OPERATOR_NAME}"', f'key = "{public}"']
    tokens = {
        "operator": run_secrets.operator_token,
        "endpoint": run_secrets.endpoint_token,
        "platform": run_secrets.platform_token,
    }
    for role, token in tokens.items():
        digest = get_token_digest(token)
        lines += ["[[tokens]]", f'role = "{role}"', f'token_sha256 = "{digest}"']
    return lines


def build_domains(plan: deployment.Deployment) -> list[str]:
    """Return the lines of the failure domains."""
    lines = []
    for domain in plan.domains:
        names = build_array([vm.name for vm in plan.get_vms(domain)])
        lines += ["[[failure_domains]]", f'name = "{domain}"', f"entry_vms = {names}"]
    return lines


def build_members(plan: deployment.Deployment) -> list[str]:
    """Return the lines of the members."""
    lines = []
    for member in plan.members:
        digest = get_token_digest(member.token)
        lines += ["[[members]]", f'name = "{member.name}"']
        lines += [f"standing = {member.standing}", f'token_sha256 = ["{digest}"]']
    return lines


def build_services(plan: deployment.Deployment) -> list[str]:
    """Return the lines of the services."""
    lines = []
    for service in plan.services:
        lines += ["[[services]]", f'name = "{service.name}"']
        lines += [f"repeatable = {str(service.repeatable).lower()}"]
        lines += [f"deadline_ms = {service.deadline_ms}"]
    return lines


def build_contracts(plan: deployment.Deployment) -> list[str]:
    """Return the lines of units and contracts, none if no member has a limit."""
    limited = [member for member in plan.members if member.task_starts]
    if not limited:
        return []
    lines = ["[[units]]", 'name = "start"', 'dimension = "task_starts"']
    for member in limited:
        lines += ["[[contracts]]", f'member = "{member.name}"']
        lines += ["[[contracts.limits]]", 'name = "starts"', 'unit = "start"']
        lines += [f'amount = "{member.task_starts}"', f"window_s = {member.window_s}"]
    return lines


def build_array(names: list[str]) -> str:
    """Return names as a TOML array of strings."""
    return "[" + ", ".join(f'"{name}"' for name in names) + "]"
