"""Notices that a client closes its connection while its answer is awaited."""

from __future__ import annotations

import collections.abc
import socket
import typing

import gevent

READABLE = 1


class ClientWatch:
    """Calls `on_left` once when the client closes; watches as a context manager."""

    def __init__(
        self, client: typing.Any, on_left: collections.abc.Callable[[], None]
    ) -> None:
        self.client = client
        self.on_left = on_left
        self.watcher = gevent.get_hub().loop.io(client.fileno(), READABLE)

    def __enter__(self) -> ClientWatch:
        """Begin to watch."""
        self.watcher.start(self.look)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop watching."""
        self.watcher.stop()
        self.watcher.close()

    def look(self) -> None:
        """Tell a close from a next request that came early."""
        self.watcher.stop()
        try:
            peeked = self.client.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            self.watcher.start(self.look)
            return
        except OSError:
            peeked = b""
        if not peeked:
            self.on_left()
