"""Links between the simulated processes of a deployment: ordered, and lost together.

A link whose peer acknowledges nothing breaks after a time; until then its messages are
sent again, so that a short cut delays them.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from knapweedbeam_core import effects

if typing.TYPE_CHECKING:
    from bench.fleet import link_host, node

CONNECT_MS = 5
# An attempt to connect into a cut ends after this time.
CONNECT_TIMEOUT_MS = 500
MIN_RETRY_MS = 20
MAX_RETRY_MS = 375
# A link whose peer acknowledges nothing breaks after this time.
UNACKED_MS = 600

Message = effects.Message


@dataclasses.dataclass(slots=True)
class Link:
    """A link to one peer, None while it is down."""

    connect_due_ms: int
    peer: node.Node | None = None
    stalled_ms: int | None = None
    arrival_ms: int = 0
    unsent: collections.deque[Message] = dataclasses.field(
        default_factory=collections.deque
    )


class Links:
    """The outgoing links of one process."""

    def __init__(self, host: link_host.LinkHost) -> None:
        self.host = host
        self.links: dict[str, Link] = {}

    def set_peers(self, peers: collections.abc.Iterable[str]) -> None:
        """Keep links to some peers and to no others."""
        wanted = set(peers)
        for name in set(self.links) - wanted:
            del self.links[name]
        for name in sorted(wanted - set(self.links)):
            self.links[name] = Link(self.host.now_ms + CONNECT_MS)

    def send(self, name: str, message: Message) -> None:
        """Send a message, which is lost if the link is down."""
        link = self.links.get(name)
        if link is not None and link.peer is not None:
            link.unsent.append(message)
            self.flush(name, link)

    def flush(self, name: str, link: Link) -> None:
        """Deliver what is unsent, if its packets arrive."""
        if not self.host.is_open(self.host.name, name):
            return
        while link.unsent and link.peer is not None:
            message = link.unsent.popleft()
            link.arrival_ms = self.host.deliver(link.peer, message, link.arrival_ms)

    def tick(self) -> None:
        """Connect, break and flush the links as the network allows."""
        for name, link in list(self.links.items()):
            if link.peer is None:
                self.connect(name, link)
            else:
                self.check(name, link)

    def connect(self, name: str, link: Link) -> None:
        """Connect a link that is due, if its peer answers."""
        if self.host.now_ms < link.connect_due_ms:
            return
        peer = self.host.find_peer(name)
        if not self.is_answering(name):
            link.connect_due_ms = self.get_retry_ms() + CONNECT_TIMEOUT_MS
            return
        if peer is None:
            link.connect_due_ms = self.get_retry_ms()
            return
        link.peer = peer
        link.stalled_ms = None
        self.host.on_link_up(name)

    def get_retry_ms(self) -> int:
        """Return when to connect again."""
        return self.host.now_ms + self.host.draw_ms(MIN_RETRY_MS, MAX_RETRY_MS)

    def check(self, name: str, link: Link) -> None:
        """Break a link whose peer is gone or has acknowledged nothing for too long."""
        now_ms = self.host.now_ms
        if self.is_answering(name):
            link.stalled_ms = None
            if self.host.find_peer(name) is link.peer:
                self.flush(name, link)
                return
        elif link.stalled_ms is None:
            link.stalled_ms = now_ms
            return
        elif now_ms - link.stalled_ms <= UNACKED_MS:
            self.flush(name, link)
            return
        self.links[name] = Link(self.get_retry_ms())
        self.host.on_link_down(name)

    def is_answering(self, name: str) -> bool:
        """Return whether packets to a peer are acknowledged."""
        own = self.host.name
        return self.host.is_open(own, name) and self.host.is_open(name, own)
