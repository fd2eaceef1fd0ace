"""Checks over several options of one settings file."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_server.config import problems, settings

Problems = collections.abc.Iterator[problems.Problem]
REPLICA_COUNTS = (1, 3, 5)


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One check and the sections that it compares."""

    sections: frozenset[str]
    find: collections.abc.Callable[[settings.Settings], Problems]


def error(section: str, key: str, found: str, allowed: str) -> problems.Problem:
    """Return a problem that keeps the process from starting."""
    severity = problems.Severity.ERROR
    return problems.Problem(severity, section, key, found, allowed)


def warning(section: str, key: str, found: str, allowed: str) -> problems.Problem:
    """Return a problem that is shown and passed over."""
    severity = problems.Severity.WARNING
    return problems.Problem(severity, section, key, found, allowed)


def check_listen(found: settings.Settings) -> Problems:
    """Refuse two listening ports at one address."""
    listen = found.listen
    used: dict[settings.Address, str] = {}
    for key in ("callers", "operators", "links"):
        address: settings.Address = getattr(listen, key)
        if address in used:
            yield error(
                "listen", key, f"{address}, as {used[address]}", "addresses that differ"
            )
        used[address] = key


def check_peers(found: settings.Settings) -> Problems:
    """Refuse peers that stand for this process or share an address."""
    used = {found.listen.links: found.process.name}
    for peer in found.peers:
        if peer.name == found.process.name:
            yield error("peers", peer.name, "this process itself", "the others only")
        elif peer.address in used:
            holder = used[peer.address]
            yield error(
                "peers", peer.name, f"{peer.address}, as {holder}", "its own address"
            )
        used[peer.address] = peer.name


def check_keys(found: settings.Settings) -> Problems:
    """Refuse one secret for two purposes, and random ones among peers."""
    for key in ("link_key", "ticket_key"):
        if found.peers and not getattr(found.keys, key):
            yield error("keys", f"{key}_file", "nothing", "the file all peers share")
    if found.keys.link_key and found.keys.link_key == found.keys.ticket_key:
        yield error(
            "keys", "ticket_key_file", "the key of link_key_file", "a key of its own"
        )


def check_replicas(found: settings.Settings) -> Problems:
    """Refuse unknown replicas and a replica without a data folder."""
    replicas = found.control.replicas
    known = {found.process.name} | {peer.name for peer in found.peers}
    for name in replicas:
        if name not in known:
            allowed = "this process or a peer: " + ", ".join(sorted(known))
            yield error("control", "replicas", name, allowed)
    if found.peers and not replicas:
        yield error("control", "replicas", "nothing", "the VMs with a data folder")
    if replicas and len(replicas) not in REPLICA_COUNTS:
        yield warning("control", "replicas", f"{len(replicas)} names", "1, 3 or 5")
    yield from check_data_folder(found)


def check_data_folder(found: settings.Settings) -> Problems:
    """Compare the data folder with the list of replicas."""
    folder = found.process.data_folder
    listed = found.process.name in found.control.replicas
    if listed and folder is None:
        yield error("process", "data_folder", "nothing", "a folder, as for any replica")
    if found.peers and folder is not None and not listed:
        yield warning(
            "process", "data_folder", str(folder), "empty where not in replicas"
        )


def check_signatures(found: settings.Settings) -> Problems:
    """Refuse a first bundle that nobody could sign."""
    keys = len(found.control.operator_keys)
    if found.peers and not keys:
        yield error("control", "operator_keys", "nothing", "one key or more")
    elif keys and found.control.signatures > keys:
        signatures = found.control.signatures
        yield error("control", "signatures", str(signatures), f"at most {keys}")


def check_limits(found: settings.Settings) -> Problems:
    """Refuse a limit that another one makes useless."""
    whole = found.caller_limits.memory_bytes
    if found.member_limits.memory_bytes > whole:
        size = found.member_limits.memory_bytes
        yield error(
            "member_limits", "memory_bytes", str(size), f"at most {whole}, as for all"
        )
    if found.caller_limits.body_bytes > found.member_limits.memory_bytes:
        size = found.caller_limits.body_bytes
        allowed = f"at most {found.member_limits.memory_bytes}, as for one member"
        yield error("caller_limits", "body_bytes", str(size), allowed)


CHECKS: tuple[Check, ...] = (
    Check(frozenset({"listen"}), check_listen),
    Check(frozenset({"process", "listen", "peers"}), check_peers),
    Check(frozenset({"keys", "peers"}), check_keys),
    Check(frozenset({"process", "peers", "control"}), check_replicas),
    Check(frozenset({"peers", "control"}), check_signatures),
    Check(frozenset({"caller_limits", "member_limits"}), check_limits),
)


def check(
    found: settings.Settings, wrong: frozenset[str]
) -> tuple[problems.Problem, ...]:
    """Return the problems between options, leaving out the sections in `wrong`."""
    return tuple(
        problem
        for check in CHECKS
        if not check.sections & wrong
        for problem in check.find(found)
    )
