"""A network in simulated time, with cuts between places and packets sent again.

A place is a process, an endpoint or a group of callers, by its name.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

LATENCY_MS = 1
# A packet that is lost is sent again at this interval.
RETRANSMIT_MS = 100

Action: typing.TypeAlias = collections.abc.Callable[[], None]


class Scheduler(typing.Protocol):
    """Runs actions at simulated times."""

    @property
    def now_ms(self) -> int:
        """Return the time."""

    def schedule_after(self, delay_ms: int, call: Action) -> None:
        """Run an action after a delay."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Cut:
    """A cut between some places and all others, in one direction or in both."""

    places: frozenset[str]
    drops_sent: bool = True
    drops_received: bool = True

    def drops(self, sender: str, receiver: str) -> bool:
        """Return whether packets of a sender to a receiver are lost."""
        is_inside = sender in self.places
        if is_inside == (receiver in self.places):
            return False
        return self.drops_sent if is_inside else self.drops_received


class Network:
    """Passes packets between places that no cut keeps apart.

    `slow_ms` is the additional delay of all that a place sends and receives.
    """

    def __init__(self, scheduler: Scheduler, rng: random.Random) -> None:
        self.scheduler = scheduler
        self.rng = rng
        self.cuts: list[Cut] = []
        self.slow_ms: dict[str, int] = {}

    def is_open(self, sender: str, receiver: str) -> bool:
        """Return whether packets arrive."""
        return not any(cut.drops(sender, receiver) for cut in self.cuts)

    def is_open_both_ways(self, one: str, other: str) -> bool:
        """Return whether two places exchange packets."""
        return self.is_open(one, other) and self.is_open(other, one)

    def get_latency_ms(self, sender: str, receiver: str) -> int:
        """Return how long a packet takes."""
        slow_ms = self.slow_ms.get(sender, 0) + self.slow_ms.get(receiver, 0)
        return LATENCY_MS + (self.rng.randint(0, slow_ms) if slow_ms else 0)

    def end_delay(self, place: str) -> None:
        """End the additional delay of a place."""
        self.slow_ms.pop(place, None)

    def transmit(
        self, sender: str, receiver: str, arrive: Action, retry_ms: int = 0
    ) -> None:
        """Run `arrive` at the receiver, or after a cut that ends within `retry_ms`."""
        if self.is_open(sender, receiver):
            delay_ms = self.get_latency_ms(sender, receiver)
            self.scheduler.schedule_after(delay_ms, arrive)
        elif retry_ms >= RETRANSMIT_MS:
            left_ms = retry_ms - RETRANSMIT_MS
            self.scheduler.schedule_after(
                RETRANSMIT_MS,
                lambda: self.transmit(sender, receiver, arrive, left_ms),
            )
