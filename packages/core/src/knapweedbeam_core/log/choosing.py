"""Selection of the control VMs that replicate the log, when found at run time."""

from __future__ import annotations

import collections.abc
import dataclasses

# A voter without contact for this long is removed if the number of voters is even.
EVEN_UNRESPONSIVE_MS = 2_000
# A voter without contact for this long is lost; longer than any expected partition.
LOST_AFTER_MS = 30_000
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
) -> frozenset[str]:
    """Return the names of the control VMs that should replicate the log.

    The initial VMs count only until there are voters. A voter that has not been
    contacted since this process started counts as silent for its `uptime_ms`.
    """
    contacted = list(control_vms)
    names = {each.name for each in contacted}
    uncontacted = [ControlVm(name, uptime_ms) for name in sorted(voters - names)]
    return select_replicas(voters or set(initial_names), contacted + uncontacted)


def select_replicas(
    voters: collections.abc.Collection[str],
    control_vms: collections.abc.Iterable[ControlVm],
) -> frozenset[str]:
    """Return the names of the control VMs that should replicate the log.

    These are all responsive control VMs and all voters, responsive or not: a voter that
    restarts must not lead to a smaller group, which the loss of one disk could end.
    There are two exceptions while more than three voters remain. If their number is
    even, an unresponsive voter is left out, because the smaller odd group tolerates one
    more loss. A lost voter is always left out. Both are included again once they are
    back.
    """
    since_contact_ms = {each.name: each.since_contact_ms for each in control_vms}
    reachable = {
        name
        for name, age_ms in since_contact_ms.items()
        if age_ms < EVEN_UNRESPONSIVE_MS
    }
    selected = set(voters)
    unresponsive = {
        name
        for name in selected
        if since_contact_ms.get(name, 0) >= EVEN_UNRESPONSIVE_MS
    }
    for name in sorted(unresponsive, key=lambda name: (-since_contact_ms[name], name)):
        is_lost = since_contact_ms[name] >= LOST_AFTER_MS
        if len(selected) > MIN_VOTERS and (is_lost or len(selected) % 2 == 0):
            selected.discard(name)
    return frozenset(selected | reachable)
