"""Requests for slots: which keepers to ask, and for how many.

A backlog without slots is requested at once from keepers that reported free
slots, with those in the same failure domain preferred. If none has any, the
demand is sent to all keepers in proportion to their capacity, so that they can
divide their slots by max-min fairness.
"""

from __future__ import annotations

import collections.abc
import math
import typing

from knapweedbeam_core import clock, ids
from knapweedbeam_core.membership import messages as membership_messages
from knapweedbeam_core.slots import grants, holder, links

REPLY_WAIT_MS = 4
BROADCAST_INTERVAL_MS = 60
TOLERATED_SHARE = 1.0
SEVERE_SHARE = 0.5
NO_OFFER_PAUSE_MS = 4
REPEAT_DEMAND_MS = 400
CHANGE_SHARE = 0.25
MIN_CHANGE = 2
MAX_DEMAND = 65_536
OWN_SLOT_FACTOR = 0.9
REMOTE_SLOT_FACTOR = 1.05
MAX_MESSAGE_COST = 16.0

Demands = collections.abc.Mapping[str, int]
GetDemands = collections.abc.Callable[[str], Demands]


class CapacityLookup(typing.Protocol):
    """Looks up the capacity and failure domain of keepers."""

    def get_capacity(self, keeper: ids.ProcessId, service: str) -> int:
        """Return the number of slots of a service at a keeper."""

    def is_near(self, keeper: ids.ProcessId) -> bool:
        """Return whether a keeper is in this failure domain."""


class SlotRequester:
    """Sends the demand for slots to keepers.

    `message_cost` is the weight of a message relative to response time: the
    higher it is, the larger a backlog is tolerated before slots are requested.
    """

    def __init__(
        self, clock: clock.Clock, holder: holder.Holder, directory: CapacityLookup
    ) -> None:
        self.clock = clock
        self.holder = holder
        self.directory = directory
        self.next_broadcast_ms: dict[str, int] = {}
        self.next_request_ms: dict[str, int] = {}
        self.message_cost = 1.0

    def needs_slots(self, service: str, backlog: int, own_free: int) -> bool:
        """Return whether a backlog needs slots to be requested now.

        Free slots kept by this process cost no message and are always requested.
        Otherwise a backlog that is small relative to the running tasks waits for
        one of their slots, and after a request that found no offer there is a
        pause of `NO_OFFER_PAUSE_MS`.
        """
        pool = self.holder.get_pool(service)
        if backlog <= pool.free_slots:
            return False
        if own_free:
            return True
        if (
            backlog
            <= TOLERATED_SHARE * self.message_cost * pool.running + pool.free_slots
        ):
            return False
        now_ms = self.clock.now_ms()
        return now_ms >= self.next_request_ms.get(service, 0)

    def request_slots(
        self, service: str, backlog: int, get_demands: GetDemands
    ) -> None:
        """Request the slots that a backlog is missing from the best offers.

        If the offers leave a severe shortfall, send every keeper its part of the
        demand.
        """
        now_ms = self.clock.now_ms()
        running = self.holder.get_pool(service).running
        missing = backlog - self.count_expected_slots(service, now_ms)
        counts: dict[ids.ProcessId, int] = {}
        tolerated = TOLERATED_SHARE * self.message_cost * running
        for offer, link in self.get_offers(service):
            if missing <= tolerated and link.lease.keeper != self.holder.me:
                continue
            count = min(missing, offer.slots)
            offer.slots -= count
            keeper = link.lease.keeper
            counts[keeper] = counts.get(keeper, 0) + count
            missing -= count
            if missing <= 0:
                break
        is_severe = missing > SEVERE_SHARE * self.message_cost * running
        is_broadcast_due = is_severe and now_ms >= self.next_broadcast_ms.get(
            service, 0
        )
        if not counts and not is_broadcast_due:
            self.next_request_ms[service] = now_ms + NO_OFFER_PAUSE_MS
            return
        demands = get_demands(service)
        for keeper, count in counts.items():
            self.send_demand(self.holder.links[keeper], service, demands, count, now_ms)
        if is_broadcast_due:
            self.next_broadcast_ms[service] = now_ms + BROADCAST_INTERVAL_MS
            self.broadcast_demand(service, demands, missing, now_ms)

    def count_expected_slots(self, service: str, now_ms: int) -> int:
        """Return the number of free slots and of those requested a moment ago."""
        expected = self.holder.get_pool(service).free_slots
        for link in self.holder.links.values():
            if now_ms - link.requested_ms.get(service, -REPLY_WAIT_MS) < REPLY_WAIT_MS:
                expected += link.pending.get(service, 0)
        return expected

    def set_weights(self, response: int, messages: int) -> None:
        """Set the weights of response time and of messages."""
        self.message_cost = min(MAX_MESSAGE_COST, max(1.0, messages / max(1, response)))

    def get_offers(self, service: str) -> list[tuple[links.Offer, links.KeeperLink]]:
        """Return the keepers' offers of free slots, best first."""
        offers = [
            (offer, link)
            for link in self.holder.links.values()
            for offer in link.offers.get(service, [])
            if offer.slots > 0
        ]
        rank = self.rank_by_speed if self.message_cost <= 1.0 else self.rank_by_keeper
        offers.sort(key=lambda pair: rank(pair[0], pair[1]))
        return offers

    def rank_by_speed(
        self, offer: links.Offer, link: links.KeeperLink
    ) -> tuple[float, float]:
        """Return an order in which fast slots go first, then large offers."""
        return offer.speed * self.get_distance(link), -offer.slots

    def rank_by_keeper(
        self, offer: links.Offer, link: links.KeeperLink
    ) -> tuple[float, float]:
        """Return a sort key for the keeper that can do the most work first.

        With this order few keepers are asked.
        """
        rate = link.get_rate(offer.service)
        return self.get_distance(link) / rate, offer.speed

    def get_distance(self, link: links.KeeperLink) -> float:
        """Return a factor that prefers own slots, then near ones."""
        keeper = link.lease.keeper
        if keeper == self.holder.me:
            return OWN_SLOT_FACTOR
        return 1.0 if self.directory.is_near(keeper) else REMOTE_SLOT_FACTOR

    def send_demand(
        self,
        link: links.KeeperLink,
        service: str,
        demands: Demands,
        more: int,
        now_ms: int,
    ) -> None:
        """Request `more` slots from one keeper than are held from it."""
        total = link.held.get(service, 0) + more
        link.requested_ms[service] = now_ms
        link.pending[service] = more
        link.update_demand(service, split_demand(total, demands))
        if link.stream.has_unsent():
            self.holder.dirty[link.lease.keeper] = link

    def broadcast_demand(
        self, service: str, demands: Demands, missing: int, now_ms: int
    ) -> None:
        """Send every keeper its part of the demand that no offer can meet.

        A keeper gets it when its last request is `REPEAT_DEMAND_MS` old or when
        the demand has grown noticeably.
        """
        capacities = {
            keeper: self.directory.get_capacity(keeper, service)
            for keeper in self.holder.links
        }
        capacity = sum(capacities.values())
        for keeper, slots in capacities.items():
            link = self.holder.links[keeper]
            more = math.ceil(missing * slots / capacity)
            total = link.held.get(service, 0) + more
            sent = link.get_sent_demand(service)
            is_due = (
                now_ms - link.requested_ms.get(service, -REPEAT_DEMAND_MS)
                >= REPEAT_DEMAND_MS
            )
            if slots and (
                is_due or total > sent + max(MIN_CHANGE, CHANGE_SHARE * sent)
            ):
                self.send_demand(link, service, demands, more, now_ms)

    def reduce_demand(
        self, link: links.KeeperLink, service: str, demands: Demands
    ) -> None:
        """Reduce the demand sent to a keeper to the tasks that remain."""
        own = link.held.get(service, 0)
        pool = self.holder.get_pool(service)
        missing = sum(demands.values()) - pool.running - pool.free_slots
        target = own + max(0, missing)
        if link.get_sent_demand(service) > target:
            link.update_demand(service, split_demand(target, demands))

    def update_offers(
        self,
        keeper: ids.ProcessId,
        free: collections.abc.Iterable[membership_messages.FreeSlots],
    ) -> None:
        """Replace the offers of a keeper with its latest report of free slots."""
        link = self.holder.links.get(keeper)
        if link is None:
            return
        link.offers = {}
        for slots in free:
            speed = slots.speed_percent / 100.0
            offer = links.Offer(slots.service, slots.slots, speed)
            link.offers.setdefault(slots.service, []).append(offer)


def split_demand(total: int, demands: Demands) -> dict[str, int]:
    """Divide a demand over members in proportion to their own demands."""
    total = min(total, MAX_DEMAND)
    parts = [grants.Demand(total, slots) for slots in demands.values()]
    shares = grants.split(total, parts)
    return {m: n for m, n in zip(demands, shares, strict=True) if n}


def is_change(old: int, new: int) -> bool:
    """Return whether a demand differs enough to be sent."""
    return abs(new - old) > max(MIN_CHANGE, CHANGE_SHARE * old)
