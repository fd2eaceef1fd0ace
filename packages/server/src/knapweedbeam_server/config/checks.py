"""Checks that compare several options of one settings file."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_server.config import problems, settings

Problems = collections.abc.Iterator[problems.Problem]
REPLICA_COUNTS = (1, 3, 5)


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One check and the sections that it reads."""

    sections: frozenset[str]
    find_problems: collections.abc.Callable[[settings.Settings], Problems]


def build_error(section: str, key: str, found: str, allowed: str) -> problems.Problem:
    """Return a problem that prevents the process from starting."""
    severity = problems.Severity.ERROR
    return problems.Problem(severity, section, key, found, allowed)


def build_warning(section: str, key: str, found: str, allowed: str) -> problems.Problem:
    """Return a problem that is shown but does not prevent the start."""
    severity = problems.Severity.WARNING
    return problems.Problem(severity, section, key, found, allowed)


def check_listen(config: settings.Settings) -> Problems:
    """Report listening addresses that are used twice."""
    listen = config.listen
    used_addresses: dict[settings.Address, str] = {}
    for key in ("callers", "operators", "links"):
        address: settings.Address = getattr(listen, key)
        if address in used_addresses:
            yield build_error(
                "listen",
                key,
                f"{address}, as {used_addresses[address]}",
                "a different address",
            )
        used_addresses[address] = key


def check_peers(config: settings.Settings) -> Problems:
    """Report peers that are this process itself or share an address."""
    used_addresses = {config.listen.links: config.process.name}
    for peer in config.peers:
        if peer.name == config.process.name:
            yield build_error(
                "peers", peer.name, "this process itself", "other entry VMs only"
            )
        elif peer.address in used_addresses:
            other_name = used_addresses[peer.address]
            yield build_error(
                "peers",
                peer.name,
                f"{peer.address}, as {other_name}",
                "its own address",
            )
        used_addresses[peer.address] = peer.name


def check_keys(config: settings.Settings) -> Problems:
    """Report one secret for two purposes, and random secrets if there are peers."""
    for key in ("link_key", "ticket_key"):
        if config.peers and not getattr(config.keys, key):
            yield build_error(
                "keys", f"{key}_file", "nothing", "the file that all peers share"
            )
    if config.keys.link_key and config.keys.link_key == config.keys.ticket_key:
        yield build_error(
            "keys", "ticket_key_file", "the key of link_key_file", "a key of its own"
        )


def check_replicas(config: settings.Settings) -> Problems:
    """Report unknown replicas, and a replica without a data folder."""
    replicas = config.control.replicas
    entry_vms = {config.process.name} | {peer.name for peer in config.peers}
    for name in replicas:
        if name not in entry_vms:
            allowed = "this process or a peer: " + ", ".join(sorted(entry_vms))
            yield build_error("control", "replicas", name, allowed)
    if config.peers and not replicas:
        yield build_error(
            "control", "replicas", "nothing", "the entry VMs with a data folder"
        )
    if replicas and len(replicas) not in REPLICA_COUNTS:
        yield build_warning(
            "control", "replicas", f"{len(replicas)} names", "1, 3 or 5"
        )
    yield from check_data_folder(config)


def check_data_folder(config: settings.Settings) -> Problems:
    """Report a data folder that does not agree with the list of replicas."""
    folder = config.process.data_folder
    is_listed = config.process.name in config.control.replicas
    if is_listed and folder is None:
        yield build_error(
            "process", "data_folder", "nothing", "a folder, as for any replica"
        )
    if config.peers and folder is not None and not is_listed:
        yield build_warning(
            "process", "data_folder", str(folder), "empty if not in replicas"
        )


def check_signatures(config: settings.Settings) -> Problems:
    """Report settings under which no first bundle can have enough signatures."""
    keys = len(config.control.operator_keys)
    if config.peers and not keys:
        yield build_error("control", "operator_keys", "nothing", "one key or more")
    elif keys and config.control.signatures > keys:
        signatures = config.control.signatures
        yield build_error("control", "signatures", str(signatures), f"at most {keys}")


def check_limits(config: settings.Settings) -> Problems:
    """Report a limit that can never be reached because of a smaller one."""
    process_bytes = config.caller_limits.memory_bytes
    if config.member_limits.memory_bytes > process_bytes:
        size = config.member_limits.memory_bytes
        yield build_error(
            "member_limits",
            "memory_bytes",
            str(size),
            f"at most {process_bytes}, the limit for all",
        )
    if config.caller_limits.body_bytes > config.member_limits.memory_bytes:
        size = config.caller_limits.body_bytes
        allowed = (
            f"at most {config.member_limits.memory_bytes}, the limit for one member"
        )
        yield build_error("caller_limits", "body_bytes", str(size), allowed)


CHECKS: tuple[Check, ...] = (
    Check(frozenset({"listen"}), check_listen),
    Check(frozenset({"process", "listen", "peers"}), check_peers),
    Check(frozenset({"keys", "peers"}), check_keys),
    Check(frozenset({"process", "peers", "control"}), check_replicas),
    Check(frozenset({"peers", "control"}), check_signatures),
    Check(frozenset({"caller_limits", "member_limits"}), check_limits),
)


def check(
    config: settings.Settings, invalid_sections: frozenset[str]
) -> tuple[problems.Problem, ...]:
    """Return the problems between options.

    Checks that read a section in `invalid_sections` are skipped.
    """
    return tuple(
        problem
        for check in CHECKS
        if not check.sections & invalid_sections
        for problem in check.find_problems(config)
    )
