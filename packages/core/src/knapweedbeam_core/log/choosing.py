"""Which control VMs are to share the log, where they are found at run time."""

from __future__ import annotations

import collections.abc
import dataclasses

# A voter that is silent this long makes room for a smaller, odd group.
EVEN_SILENT_MS = 2_000
# One that is silent this long is gone; longer than any cut that is planned for.
GONE_MS = 30_000
# Below this many voters a lost disk may be the last one.
MIN_VOTERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ControlVm:
    """A control VM and for how long it has been silent."""

    name: str
    silent_ms: int


def select_replicas(
    voters: collections.abc.Collection[str], known: collections.abc.Iterable[ControlVm]
) -> frozenset[str]:
    """Return the names of the control VMs that are to share the log.

    All that are heard, and every voter, silent or not: one that restarts must not be
    replaced by a smaller group that a lost disk ends. But of an even group of four or
    more a silent voter is left out, since the odd group bears one loss more. It is
    taken in again when it is back.
    """
    silent_ms = {each.name: each.silent_ms for each in known}
    heard = {name for name, silent in silent_ms.items() if silent < EVEN_SILENT_MS}
    kept = set(voters)
    silent = {name for name in kept if silent_ms.get(name, 0) >= EVEN_SILENT_MS}
    for name in sorted(silent, key=lambda name: (-silent_ms[name], name)):
        is_gone = silent_ms[name] >= GONE_MS
        if len(kept) > MIN_VOTERS and (is_gone or len(kept) % 2 == 0):
            kept.discard(name)
    return frozenset(kept | heard)
