"""What a keeper knows of its endpoints and of those who hold their slots."""

from __future__ import annotations

import dataclasses
import heapq
import math
import typing

from knapweedbeam_core import ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import deltas, lease_times, messages

SLACK = 4
STEPS = 3
MIN_SPEED = 1.0 / 64.0
DEMAND_MS = 450
FIRST_PAUSE_MS = 1_000
MAX_PAUSE_MS = 60_000


class EndpointKey(typing.NamedTuple):
    """One run of one endpoint, as something that a holder must know of."""

    endpoint: str
    incarnation: int


class ServiceKey(typing.NamedTuple):
    """A service whose allotment a holder must know of."""

    service: str


Key = EndpointKey | ServiceKey


@dataclasses.dataclass(slots=True)
class Charge:
    """The slots of one endpoint that one holder has; both totals only grow."""

    record: parts.Announcement
    granted: int = 0
    returned: int = 0

    @property
    def held(self) -> int:
        """Return how many slots the holder may be using."""
        return self.granted - self.returned


@dataclasses.dataclass(slots=True, eq=False)
class HolderSession:
    """One holder's lease as its keeper sees it."""

    holder: ids.ProcessId
    number: int
    until_ms: int
    stream: deltas.DeltaStream[Key] = dataclasses.field(
        default_factory=deltas.DeltaStream
    )
    applied: deltas.Applied = dataclasses.field(default_factory=deltas.Applied)
    required: int = 0
    charges: dict[EndpointKey, Charge] = dataclasses.field(default_factory=dict)
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    demands: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    bounds: dict[str, messages.Allotment] = dataclasses.field(default_factory=dict)
    sent_ms: int = 0
    echo_ms: int = 0

    def add_held(self, service: str, count: int) -> None:
        """Count slots of a service that the holder got or gave back."""
        self.held[service] = self.held.get(service, 0) + count

    def get_wanted(self, service: str) -> int:
        """Return how many slots of a service the holder could use."""
        return sum(self.demands.get(service, {}).values())

    def get_missing(self, service: str, now_ms: int) -> int:
        """Return how many more slots the holder could use.

        A demand counts for a while after the holder was last heard.
        """
        if self.until_ms - now_ms < lease_times.SLOT_LEASE_MS - DEMAND_MS:
            return 0
        return max(0, self.get_wanted(service) - self.held.get(service, 0))


@dataclasses.dataclass(slots=True, eq=False)
class KeptEndpoint:
    """An endpoint that is kept here.

    `open_ms` is when slots that no holder has shown may be granted; nothing
    more is once it is `moved` to another keeper. While it is
    doubtful, one task at a time goes there, through one holder.
    """

    record: parts.Announcement
    seen_ms: int
    open_ms: int
    is_unresponsive: bool = False
    doubtful: bool = False
    suspect: bool = False
    pause_ms: int = FIRST_PAUSE_MS
    is_moved: bool = False
    speed: float = 1.0
    leased_by_holder: dict[ids.ProcessId, int] = dataclasses.field(default_factory=dict)
    leased_slots: int = 0
    entry_number: int = 0

    @property
    def key(self) -> EndpointKey:
        """Return which run of the endpoint this is."""
        return EndpointKey(self.record.endpoint, self.record.incarnation)

    @property
    def capacity(self) -> int:
        """Return how many tasks may run there at once."""
        record = self.record
        if self.is_unresponsive or record.leaving:
            return 0
        if self.doubtful:
            return 1
        if record.connections > 0:
            return min(record.slots, record.connections)
        return record.slots

    def get_free(self, now_ms: int) -> int:
        """Return how many slots may be granted now."""
        if self.is_moved or now_ms < self.open_ms:
            return 0
        if self.suspect and self.leased_slots:
            return 0
        free = max(0, self.capacity - self.leased_slots)
        return min(1, free) if self.suspect else free


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """An endpoint's free slots as they were counted, and its step of speed."""

    slots: int
    step: int


NOT_COUNTED = Counted(0, 0)


def get_step(speed: float) -> int:
    """Return the step of a speed; `STEPS` steps double it."""
    return round(STEPS * math.log2(max(speed, MIN_SPEED)))


def get_step_percent(step: int) -> int:
    """Return the speed that a step stands for."""
    return round(100 * 2 ** (step / STEPS))


class KeptService:
    """The kept endpoints of one service, those with free slots by speed."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.endpoints: dict[str, KeptEndpoint] = {}
        self.heap: list[tuple[float, int, KeptEndpoint]] = []
        self.count = 0
        self.free = 0
        self.counted: dict[str, Counted] = {}
        self.by_speed: dict[int, int] = {}
        self.balanced_ms = -(1 << 40)
        self.scarce_ms = 1 << 60
        self.bounded = False

    def update(self, kept: KeptEndpoint, now_ms: int) -> None:
        """Enter an endpoint anew after a change of its slots or speed."""
        name = kept.record.endpoint
        free = kept.get_free(now_ms) if name in self.endpoints else 0
        old = self.counted.pop(name, NOT_COUNTED)
        self.free += free - old.slots
        self.by_speed[old.step] = self.by_speed.get(old.step, 0) - old.slots
        kept.entry_number = 0
        if not free:
            return
        step = get_step(kept.speed)
        self.by_speed[step] = self.by_speed.get(step, 0) + free
        self.counted[name] = Counted(free, step)
        if len(self.heap) > SLACK * len(self.endpoints) + SLACK:
            self.heap = [
                entry for entry in self.heap if entry[2].entry_number == entry[1]
            ]
            heapq.heapify(self.heap)
        self.count += 1
        kept.entry_number = self.count
        heapq.heappush(self.heap, (kept.speed, self.count, kept))

    def get_best(self) -> KeptEndpoint | None:
        """Return the fastest endpoint with a free slot."""
        while self.heap:
            _, entry_number, kept = self.heap[0]
            if kept.entry_number == entry_number:
                return kept
            heapq.heappop(self.heap)
        return None

    def get_capacity(self) -> int:
        """Return how many slots there are in all."""
        return sum(kept.capacity for kept in self.endpoints.values())
