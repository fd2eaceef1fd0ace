"""Detect that a client closes its connection while it waits for its answer."""

from __future__ import annotations

import collections.abc
import socket
import typing

import gevent

READABLE = 1


class ClientWatch:
    """Context manager that calls `on_disconnect` once if the client disconnects."""

    def __init__(
        self, client: typing.Any, on_disconnect: collections.abc.Callable[[], None]
    ) -> None:
        self.client = client
        self.on_disconnect = on_disconnect
        self.watcher = gevent.get_hub().loop.io(client.fileno(), READABLE)

    def __enter__(self) -> ClientWatch:
        """Start watching."""
        self.watcher.start(self.on_readable)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop watching."""
        self.watcher.stop()
        self.watcher.close()

    def on_readable(self) -> None:
        """Call `on_disconnect` on a close; a next request only ends the watch."""
        self.watcher.stop()
        try:
            peeked = self.client.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            self.watcher.start(self.on_readable)
            return
        except OSError:
            peeked = b""
        if not peeked:
            self.on_disconnect()
