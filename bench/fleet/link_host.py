"""What the links of a simulated process need of it and of the network."""

from __future__ import annotations

import typing

from knapweedbeam_core import effects

if typing.TYPE_CHECKING:
    from bench.fleet import node


class LinkHost:
    """One process, as its links see it."""

    def __init__(self, owner: node.Node) -> None:
        self.node = owner
        self.name = owner.name

    @property
    def now_ms(self) -> int:
        """Return the time."""
        return self.node.now_ms

    def find_peer(self, name: str) -> node.Node | None:
        """Return the running process with a name."""
        return self.node.world.find_running(name)

    def is_open(self, sender: str, receiver: str) -> bool:
        """Return whether packets arrive."""
        return self.node.world.network.is_open(sender, receiver)

    def draw_ms(self, shortest_ms: int, longest_ms: int) -> int:
        """Return a random time."""
        return self.node.world.network.rng.randint(shortest_ms, longest_ms)

    def deliver(
        self, peer: node.Node, message: effects.Message, not_before_ms: int
    ) -> int:
        """Let a process receive a message; return when it arrives."""
        now_ms = self.now_ms
        latency_ms = self.node.world.network.get_latency_ms(self.name, peer.name)
        arrival_ms = max(not_before_ms, now_ms + latency_ms)
        peer.schedule_after(
            arrival_ms - now_ms, lambda: peer.router.route(self.name, message)
        )
        return arrival_ms

    def on_link_up(self, name: str) -> None:
        """Send the process's state on the new link."""
        self.node.participant.heartbeats.on_link_up(name)

    def on_link_down(self, name: str) -> None:
        """Find out whether the peer of a link responds."""
        self.node.participant.on_link_down(name)
