"""Forwarding of announcements from the receiving entry VM to the keeper.

A new or changed announcement is sent at once. A repeated one is sent with the
next heartbeat as a short refresh, and every `FULL_REPEAT_INTERVAL` repeats in
full, in case the first message was lost.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import effects, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import messages

FULL_REPEAT_INTERVAL = 8
MAX_ENDPOINTS = 16_384
MAX_DELAY_MS = 420


@dataclasses.dataclass(slots=True)
class ForwardedAnnouncement:
    """The announcement of an endpoint that was last forwarded."""

    announcement: parts.Announcement
    keeper: str
    repeats: int = 0


@dataclasses.dataclass(slots=True)
class PendingBatch:
    """Announcements to send with the next heartbeat to one keeper.

    A later announcement of an endpoint replaces an earlier one.
    """

    since_ms: int
    announcements: dict[str, PendingAnnouncement] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class PendingAnnouncement:
    """An announcement, when it was received and whether to send it in full."""

    announcement: parts.Announcement
    received_ms: int
    is_full: bool


class AnnouncementForwarder:
    """Forwards announcements and batches repeated ones by keeper."""

    def __init__(self) -> None:
        self.forwarded: dict[str, ForwardedAnnouncement] = {}
        self.waiting: dict[str, PendingBatch] = {}

    def forward(
        self, keeper: str, announcement: parts.Announcement, now_ms: int
    ) -> list[effects.Send]:
        """Return the message for a new or changed announcement, or queue a repeat."""
        name = announcement.endpoint
        last = self.forwarded.get(name)
        if last is None or last.keeper != keeper or has_changed(last, announcement):
            if last is None and len(self.forwarded) >= MAX_ENDPOINTS:
                del self.forwarded[next(iter(self.forwarded))]
            self.forwarded[name] = ForwardedAnnouncement(announcement, keeper)
            seen = (messages.Seen(announcement, 0),)
            return [effects.Send(keeper, messages.EndpointsSeen(seen, ()))]
        last.repeats += 1
        last.announcement = announcement
        is_full = last.repeats % FULL_REPEAT_INTERVAL == 0
        waiting = self.waiting.setdefault(keeper, PendingBatch(now_ms))
        waiting.announcements[name] = PendingAnnouncement(announcement, now_ms, is_full)
        return []

    def collect_overdue(self, now_ms: int) -> list[effects.Send]:
        """Return the batches that no heartbeat has carried within `MAX_DELAY_MS`."""
        overdue = [
            keeper
            for keeper, waiting in self.waiting.items()
            if now_ms - waiting.since_ms >= MAX_DELAY_MS
        ]
        return [
            send for keeper in overdue for send in self.collect_pending(keeper, now_ms)
        ]

    def collect_pending(self, keeper: str, now_ms: int) -> list[effects.Send]:
        """Return the batch to send to a keeper with a heartbeat."""
        waiting = self.waiting.pop(keeper, None)
        if waiting is None:
            return []
        seen = []
        refreshes = []
        for entry in waiting.announcements.values():
            announcement = entry.announcement
            age_ms = now_ms - entry.received_ms
            if entry.is_full:
                seen.append(messages.Seen(announcement, age_ms))
                continue
            refresh = messages.Refresh(
                announcement.endpoint,
                announcement.incarnation,
                announcement.sequence,
                age_ms,
            )
            refreshes.append(refresh)
        message = messages.EndpointsSeen(tuple(seen), tuple(refreshes))
        return [effects.Send(keeper, message)]


def has_changed(last: ForwardedAnnouncement, announcement: parts.Announcement) -> bool:
    """Return whether an announcement differs in more than its sequence number."""
    renumbered = dataclasses.replace(announcement, sequence=last.announcement.sequence)
    return renumbered != last.announcement


def validate(record: parts.Announcement) -> outcomes.Refusal | None:
    """Return why an announcement is invalid, or none if it is valid."""
    for name in ("endpoint", "service", "address", "domain"):
        if not getattr(record, name):
            return outcomes.Refusal(reasons.Reason.INVALID, f"{name} is empty")
    if record.slots < 1 or record.connections < 0 or record.sequence < 0:
        return outcomes.Refusal(reasons.Reason.INVALID, "a count is out of range")
    return None
