"""Bringing announcements from whoever took them to the endpoint's keeper.

What is new goes at once. What only repeats goes with the next heartbeat, as a
few numbers, and whole now and then in case the first one was lost.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import effects, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import messages

WHOLE_EVERY = 8
MAX_ENDPOINTS = 16_384
MAX_WAIT_MS = 420


@dataclasses.dataclass(slots=True)
class Forwarded:
    """What was last forwarded of one endpoint."""

    announcement: parts.Announcement
    keeper: str
    repeats: int = 0


@dataclasses.dataclass(slots=True)
class Waiting:
    """What waits for the next heartbeat to one keeper; latest wins."""

    since_ms: int
    announcements: dict[str, Taken] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Taken:
    """An announcement and when it was taken."""

    announcement: parts.Announcement
    taken_ms: int
    whole: bool


class Announcing:
    """What waits to be forwarded, by the name of the keeper."""

    def __init__(self) -> None:
        self.forwarded: dict[str, Forwarded] = {}
        self.waiting: dict[str, Waiting] = {}

    def forward(
        self, keeper: str, announcement: parts.Announcement, now_ms: int
    ) -> list[effects.Send]:
        """Forward an announcement, at once when it says something new."""
        name = announcement.endpoint
        last = self.forwarded.get(name)
        if last is None or last.keeper != keeper or is_news(last, announcement):
            if last is None and len(self.forwarded) >= MAX_ENDPOINTS:
                del self.forwarded[next(iter(self.forwarded))]
            self.forwarded[name] = Forwarded(announcement, keeper)
            seen = (messages.Seen(announcement, 0),)
            return [effects.Send(keeper, messages.EndpointsSeen(seen, ()))]
        last.repeats += 1
        last.announcement = announcement
        whole = last.repeats % WHOLE_EVERY == 0
        waiting = self.waiting.setdefault(keeper, Waiting(now_ms))
        waiting.announcements[name] = Taken(announcement, now_ms, whole)
        return []

    def take_late(self, now_ms: int) -> list[effects.Send]:
        """Return what no heartbeat took along in time."""
        late = [
            keeper
            for keeper, waiting in self.waiting.items()
            if now_ms - waiting.since_ms >= MAX_WAIT_MS
        ]
        return [send for keeper in late for send in self.take_waiting(keeper, now_ms)]

    def take_waiting(self, keeper: str, now_ms: int) -> list[effects.Send]:
        """Return what should ride with a heartbeat."""
        waiting = self.waiting.pop(keeper, None)
        if waiting is None:
            return []
        seen = []
        refreshes = []
        for taken in waiting.announcements.values():
            known = taken.announcement
            age_ms = now_ms - taken.taken_ms
            if taken.whole:
                seen.append(messages.Seen(known, age_ms))
                continue
            refresh = messages.Refresh(
                known.endpoint, known.incarnation, known.sequence, age_ms
            )
            refreshes.append(refresh)
        message = messages.EndpointsSeen(tuple(seen), tuple(refreshes))
        return [effects.Send(keeper, message)]


def is_news(last: Forwarded, announcement: parts.Announcement) -> bool:
    """Say whether an announcement differs in more than its sequence."""
    same = dataclasses.replace(announcement, sequence=last.announcement.sequence)
    return same != last.announcement


def check(record: parts.Announcement) -> outcomes.Refusal | None:
    """Return why an announcement makes no sense, none when it does."""
    for name in ("endpoint", "service", "address", "domain"):
        if not getattr(record, name):
            return outcomes.Refusal(reasons.Reason.INVALID, f"{name} is empty")
    if record.slots < 1 or record.connections < 0 or record.sequence < 0:
        return outcomes.Refusal(reasons.Reason.INVALID, "a count is out of range")
    return None
