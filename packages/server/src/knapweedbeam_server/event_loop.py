"""Settings of the event loop that every process shares."""

from __future__ import annotations

import gevent

# Between two polls of the sockets, gevent runs the greenlets that others woke for at
# most this long. With its default of 5 ms, sockets that are always ready leave them a
# small share of a busy loop, although they send heartbeats, calls and answers.
MAX_WAKE_RUN_S = 0.2


def set_up() -> None:
    """Let all woken greenlets run before sockets are polled again."""
    gevent.setswitchinterval(MAX_WAKE_RUN_S)
