"""Ejection of failing endpoints by their keeper, based on holders' reports."""

from __future__ import annotations

import typing

from knapweedbeam_core.slots import kept, messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.slots import keeper

MAX_EJECTED_SHARE = 0.5


def handle_health_note(owner: keeper.Keeper, note: messages.HealthNote) -> None:
    """Apply a holder's report of an endpoint's health."""
    known = owner.endpoints.get(note.endpoint)
    if known is None or known.record.incarnation != note.incarnation:
        return
    known.speed = note.speed_percent / 100.0
    if note.health is messages.Health.EJECTED:
        eject(owner, known)
    elif note.health is messages.Health.SUSPECT:
        suspect(owner, known)
    elif note.health is messages.Health.HEALTHY:
        readmit(owner, known)
    else:
        owner.update_free_slots(known)


def readmit(owner: keeper.Keeper, known: kept.KeptEndpoint) -> None:
    """Grant all slots of an endpoint again."""
    known.is_suspect = False
    if known.is_ejected:
        known.is_ejected = False
        known.pause_ms = max(kept.MIN_TRIAL_PAUSE_MS, known.pause_ms // 2)
        owner.handle_change(known)
    else:
        owner.update_free_slots(known)


def suspect(owner: keeper.Keeper, known: kept.KeptEndpoint) -> None:
    """Grant single slots until a task succeeds; a second report ejects."""
    if known.is_suspect:
        eject(owner, known)
        return
    known.is_suspect = True
    owner.update_free_slots(known)


def eject(owner: keeper.Keeper, known: kept.KeptEndpoint) -> None:
    """Stop grants of a failing endpoint for a growing pause, then allow one trial."""
    service = owner.services[known.record.service]
    ejected = sum(other.is_ejected for other in service.endpoints.values())
    if not known.is_ejected and ejected + 1 > MAX_EJECTED_SHARE * len(
        service.endpoints
    ):
        return
    known.is_ejected = True
    known.open_ms = max(known.open_ms, owner.clock.now_ms() + known.pause_ms)
    known.pause_ms = min(kept.MAX_TRIAL_PAUSE_MS, known.pause_ms * 2)
    owner.opening_timers.add(known.open_ms, known.record.endpoint)
    owner.handle_change(known)
