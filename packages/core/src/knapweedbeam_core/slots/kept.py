"""A keeper's records of its endpoints and of the holders of their slots."""

from __future__ import annotations

import dataclasses
import heapq
import math
import typing

from knapweedbeam_core import ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import deltas, lease_times, messages

HEAP_SLACK = 4
STEPS_PER_DOUBLING = 3
MIN_SPEED = 1.0 / 64.0
DEMAND_VALID_MS = 450
MIN_TRIAL_PAUSE_MS = 1_000
MAX_TRIAL_PAUSE_MS = 60_000


class EndpointKey(typing.NamedTuple):
    """One run of an endpoint, as the key of a change to send to holders."""

    endpoint: str
    incarnation: int


class ServiceKey(typing.NamedTuple):
    """A service, as the key of a changed allotment to send to holders."""

    service: str


Key = EndpointKey | ServiceKey


@dataclasses.dataclass(slots=True)
class LeasedSlots:
    """The slots of one endpoint leased to one holder; both totals only grow."""

    record: parts.Announcement
    granted: int = 0
    returned: int = 0

    @property
    def held(self) -> int:
        """Return how many slots the holder may be using."""
        return self.granted - self.returned


@dataclasses.dataclass(slots=True, eq=False)
class HolderSession:
    """A keeper's record of one holder's lease.

    `required` is the version of the keeper's deltas that the holder must have
    applied before its lease counts as renewed.
    """

    holder: ids.ProcessId
    number: int
    until_ms: int
    stream: deltas.DeltaStream[Key] = dataclasses.field(
        default_factory=deltas.DeltaStream
    )
    applied: deltas.DeltaReceiver = dataclasses.field(
        default_factory=deltas.DeltaReceiver
    )
    required: int = 0
    leases: dict[EndpointKey, LeasedSlots] = dataclasses.field(default_factory=dict)
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    demands: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    bounds: dict[str, messages.Allotment] = dataclasses.field(default_factory=dict)
    sent_ms: int = 0
    echo_ms: int = 0

    def add_held(self, service: str, count: int) -> None:
        """Add granted, or subtract returned, slots of a service."""
        self.held[service] = self.held.get(service, 0) + count

    def get_demand(self, service: str) -> int:
        """Return the holder's demand for slots of a service, over all members."""
        return sum(self.demands.get(service, {}).values())

    def get_missing(self, service: str, now_ms: int) -> int:
        """Return how many more slots of a service the holder could use.

        Its demand counts for `DEMAND_VALID_MS` after the last contact.
        """
        if self.until_ms - now_ms < lease_times.SLOT_LEASE_MS - DEMAND_VALID_MS:
            return 0
        return max(0, self.get_demand(service) - self.held.get(service, 0))


@dataclasses.dataclass(slots=True, eq=False)
class KeptEndpoint:
    """An endpoint that is kept here.

    Before `open_ms` only slots that a holder reports as held are granted, and
    none once the endpoint has moved to another keeper. While it is ejected, one
    task at a time runs there as a trial, through one holder.
    """

    record: parts.Announcement
    seen_ms: int
    open_ms: int
    is_unresponsive: bool = False
    is_ejected: bool = False
    is_suspect: bool = False
    pause_ms: int = MIN_TRIAL_PAUSE_MS
    is_moved: bool = False
    speed: float = 1.0
    leased_by_holder: dict[ids.ProcessId, int] = dataclasses.field(default_factory=dict)
    leased_slots: int = 0
    entry_number: int = 0

    @property
    def key(self) -> EndpointKey:
        """Return the key of this run of the endpoint."""
        return EndpointKey(self.record.endpoint, self.record.incarnation)

    @property
    def capacity(self) -> int:
        """Return how many tasks may run at the endpoint at once."""
        record = self.record
        if self.is_unresponsive or record.leaving:
            return 0
        if self.is_ejected:
            return 1
        if record.connections > 0:
            return min(record.slots, record.connections)
        return record.slots

    def get_free(self, now_ms: int) -> int:
        """Return the number of slots that may be granted now."""
        if self.is_moved or now_ms < self.open_ms:
            return 0
        if self.is_suspect and self.leased_slots:
            return 0
        free = max(0, self.capacity - self.leased_slots)
        return min(1, free) if self.is_suspect else free


@dataclasses.dataclass(frozen=True, slots=True)
class CountedSlots:
    """An endpoint's free slots as counted in its service, and its speed step."""

    slots: int
    step: int


NOT_COUNTED = CountedSlots(0, 0)


def get_speed_step(speed: float) -> int:
    """Return a speed as a logarithmic step; `STEPS_PER_DOUBLING` steps double it."""
    return round(STEPS_PER_DOUBLING * math.log2(max(speed, MIN_SPEED)))


def get_step_percent(step: int) -> int:
    """Return the speed that a step stands for, in percent."""
    return round(100 * 2 ** (step / STEPS_PER_DOUBLING))


class KeptService:
    """The kept endpoints of one service, with a heap of the free ones by speed.

    A change adds a heap entry and invalidates the endpoint's earlier ones by its
    `entry_number`. The heap is rebuilt when most of its entries are invalid.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.endpoints: dict[str, KeptEndpoint] = {}
        self.heap: list[tuple[float, int, KeptEndpoint]] = []
        self.entry_count = 0
        self.free = 0
        self.counted: dict[str, CountedSlots] = {}
        self.by_speed: dict[int, int] = {}
        self.balanced_ms = -(1 << 40)
        self.scarce_since_ms = 1 << 60
        self.is_bounded = False

    def update(self, endpoint: KeptEndpoint, now_ms: int) -> None:
        """Update counts and heap after a change of an endpoint's slots or speed."""
        name = endpoint.record.endpoint
        free = endpoint.get_free(now_ms) if name in self.endpoints else 0
        old = self.counted.pop(name, NOT_COUNTED)
        self.free += free - old.slots
        self.by_speed[old.step] = self.by_speed.get(old.step, 0) - old.slots
        endpoint.entry_number = 0
        if not free:
            return
        step = get_speed_step(endpoint.speed)
        self.by_speed[step] = self.by_speed.get(step, 0) + free
        self.counted[name] = CountedSlots(free, step)
        if len(self.heap) > HEAP_SLACK * len(self.endpoints) + HEAP_SLACK:
            self.heap = [
                entry for entry in self.heap if entry[2].entry_number == entry[1]
            ]
            heapq.heapify(self.heap)
        self.entry_count += 1
        endpoint.entry_number = self.entry_count
        heapq.heappush(self.heap, (endpoint.speed, self.entry_count, endpoint))

    def get_best(self) -> KeptEndpoint | None:
        """Return the fastest endpoint with a free slot."""
        while self.heap:
            _, entry_number, endpoint = self.heap[0]
            if endpoint.entry_number == entry_number:
                return endpoint
            heapq.heappop(self.heap)
        return None

    def get_capacity(self) -> int:
        """Return the total number of usable slots."""
        return sum(endpoint.capacity for endpoint in self.endpoints.values())
