"""Selection of the control VMs that replicate the log, when found at run time."""

from __future__ import annotations

import collections.abc
import dataclasses

# A voter without contact for this long is removed while enough others remain.
UNRESPONSIVE_MS = 2_000
# With fewer voters than this, one lost disk may be the last copy of the log.
MIN_VOTERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ControlVm:
    """A control VM and the time since its last contact."""

    name: str
    since_contact_ms: int


def find_targets(
    voters: collections.abc.Set[str],
    initial_names: collections.abc.Iterable[str],
    control_vms: collections.abc.Iterable[ControlVm],
    uptime_ms: int,
    tolerated_losses: int,
) -> frozenset[str]:
    """Return the names of the control VMs that should replicate the log.

    The initial VMs count only until there are voters. A voter that has not been
    contacted since this process started counts as silent for its `uptime_ms`.
    """
    contacted = list(control_vms)
    names = {each.name for each in contacted}
    uncontacted = [ControlVm(name, uptime_ms) for name in sorted(voters - names)]
    return select_replicas(
        voters or set(initial_names), contacted + uncontacted, tolerated_losses
    )


def select_replicas(
    voters: collections.abc.Collection[str],
    control_vms: collections.abc.Iterable[ControlVm],
    tolerated_losses: int,
) -> frozenset[str]:
    """Return the names of the control VMs that should replicate the log.

    These are all responsive control VMs and the voters. Unresponsive voters are left
    out, the longest silent ones first, until they are back: a group without them bears
    as many further losses or more. A majority of those that remain always outnumbers
    the `tolerated_losses`, the disks that may be lost at once.
    """
    since_contact_ms = {each.name: each.since_contact_ms for each in control_vms}
    reachable = {
        name for name, age_ms in since_contact_ms.items() if age_ms < UNRESPONSIVE_MS
    }
    selected = set(voters)
    unresponsive = {
        name for name in selected if since_contact_ms.get(name, 0) >= UNRESPONSIVE_MS
    }
    min_voters = max(MIN_VOTERS, 2 * tolerated_losses + 1)
    for name in sorted(unresponsive, key=lambda name: (-since_contact_ms[name], name)):
        if len(selected) > min_voters:
            selected.discard(name)
    return frozenset(selected | reachable)
