"""What a keeper makes of its endpoints' health, as holders see it."""

from __future__ import annotations

import typing

from knapweedbeam_core.slots import kept, messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.slots import keeper

MAX_SHARE = 0.5


def take_note(owner: keeper.Keeper, note: messages.HealthNote) -> None:
    """Take what a holder saw of an endpoint."""
    known = owner.endpoints.get(note.endpoint)
    if known is None or known.record.incarnation != note.incarnation:
        return
    known.speed = note.speed_percent / 100.0
    if note.health is messages.Health.EJECTED:
        doubt(owner, known)
    elif note.health is messages.Health.SUSPECT:
        suspect(owner, known)
    elif note.health is messages.Health.HEALTHY:
        trust(owner, known)
    else:
        owner.refresh(known)


def trust(owner: keeper.Keeper, known: kept.KeptEndpoint) -> None:
    """Grant all slots of an endpoint again."""
    known.suspect = False
    if known.doubtful:
        known.doubtful = False
        known.pause_ms = max(kept.FIRST_PAUSE_MS, known.pause_ms // 2)
        owner.changed(known)
    else:
        owner.refresh(known)


def suspect(owner: keeper.Keeper, known: kept.KeptEndpoint) -> None:
    """Grant single slots of an endpoint until one does well; then doubt it."""
    if known.suspect:
        doubt(owner, known)
        return
    known.suspect = True
    owner.refresh(known)


def doubt(owner: keeper.Keeper, known: kept.KeptEndpoint) -> None:
    """Stop an endpoint that failed, until a pause before one trial is over."""
    service = owner.services[known.record.service]
    doubtful = sum(other.doubtful for other in service.endpoints.values())
    if not known.doubtful and doubtful + 1 > MAX_SHARE * len(service.endpoints):
        return
    known.doubtful = True
    known.open_ms = max(known.open_ms, owner.clock.now_ms() + known.pause_ms)
    known.pause_ms = min(kept.MAX_PAUSE_MS, known.pause_ms * 2)
    owner.opening.add(known.open_ms, known.record.endpoint)
    owner.changed(known)
