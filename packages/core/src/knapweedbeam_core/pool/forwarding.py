"""Decides which announcements of endpoints are passed on to other processes.

Load: hundreds of endpoints that announce themselves every second or two, and some ten
processes that may dispatch. Most announcements say nothing new. Those are passed on
only every few seconds, for processes that missed the last ones.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.pool import messages

REPEAT_INTERVAL_MS = 4_500
# Endpoints that announced nothing for this long are forgotten here.
FORGET_MS = 60_000


class Forwarding:
    """The announcements that one process passed on last, and when."""

    def __init__(self) -> None:
        self.sent: dict[str, tuple[messages.EndpointNews, int]] = {}
        self.clean_due_ms = FORGET_MS

    def is_due(self, news: messages.EndpointNews, now_ms: int) -> bool:
        """Return whether to pass on an announcement, and record that it is.

        One of an endpoint that leaves always is: its sender waits for the dispatcher.
        """
        self.forget_old(now_ms)
        last = self.sent.get(news.endpoint)
        is_leaving = news.state == messages.EndpointState.LEAVING
        if last is not None and not is_leaving:
            is_recent = now_ms - last[1] < REPEAT_INTERVAL_MS
            if is_recent and get_content(news) == get_content(last[0]):
                return False
        self.sent[news.endpoint] = (news, now_ms)
        return True

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that signed off."""
        self.sent.pop(endpoint, None)

    def forget_old(self, now_ms: int) -> None:
        """Forget endpoints that were silent for long."""
        if now_ms < self.clean_due_ms:
            return
        self.clean_due_ms = now_ms + FORGET_MS
        self.sent = {
            name: entry
            for name, entry in self.sent.items()
            if now_ms - entry[1] < FORGET_MS
        }


def get_content(news: messages.EndpointNews) -> messages.EndpointNews:
    """Return an announcement without what differs from one to the next."""
    return dataclasses.replace(news, sequence=0, clock_ms=0, age_ms=0)
