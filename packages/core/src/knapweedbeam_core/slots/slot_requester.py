"""Whom to ask for slots, and for how many.

A backlog without slots is told at once to keepers that said they have free
ones, the near ones first. When none has, the demand is told in proportion to
what each keeps, so that they can split their slots by max-min.
"""

from __future__ import annotations

import collections.abc
import math
import typing

from knapweedbeam_core import clock, ids
from knapweedbeam_core.membership import messages as membership_messages
from knapweedbeam_core.slots import grants, holder, links

ANSWER_MS = 4
HUNGRY_MS = 60
PATIENCE = 1.0
STARVED = 0.5
QUIET_MS = 4
RETELL_MS = 400
CHANGE_SHARE = 0.25
MIN_CHANGE = 2
MAX_WANT = 65_536
OWN_FACTOR = 0.9
FAR_FACTOR = 1.05
MAX_THRIFT = 16.0

Wants = collections.abc.Mapping[str, int]
GetDemands = collections.abc.Callable[[str], Wants]


class Directory(typing.Protocol):
    """Who keeps how much."""

    def get_capacity(self, keeper: ids.ProcessId, service: str) -> int:
        """Return how many slots of a service a keeper keeps."""

    def is_near(self, keeper: ids.ProcessId) -> bool:
        """Say whether a keeper is in this failure domain."""


class SlotRequester:
    """Tells keepers the demand."""

    def __init__(
        self, clock: clock.Clock, holder: holder.Holder, directory: Directory
    ) -> None:
        self.clock = clock
        self.holder = holder
        self.directory = directory
        self.hungry_ms: dict[str, int] = {}
        self.quiet_ms: dict[str, int] = {}
        self.thrift = 1.0

    def is_short(self, service: str, backlog: int, own_free: int) -> bool:
        """Say whether to look for slots now.

        Own free ones cost nothing. Else a few tasks get a slot soon when many
        run, and where nobody had a free one, nobody is asked again at once.
        """
        pool = self.holder.get_pool(service)
        if backlog <= pool.spare:
            return False
        if own_free:
            return True
        if backlog <= PATIENCE * self.thrift * pool.running + pool.spare:
            return False
        now_ms = self.clock.now_ms()
        return now_ms >= self.quiet_ms.get(service, 0)

    def ask(self, service: str, backlog: int, get_demands: GetDemands) -> None:
        """Ask for what a backlog is missing now, where the fastest slots are free."""
        now_ms = self.clock.now_ms()
        running = self.holder.get_pool(service).running
        missing = backlog - self.count_expected_slots(service, now_ms)
        counts: dict[ids.ProcessId, int] = {}
        patience = PATIENCE * self.thrift * running
        for offer, link in self.get_offers(service):
            if missing <= patience and link.lease.keeper != self.holder.me:
                continue
            count = min(missing, offer.slots)
            offer.slots -= count
            keeper = link.lease.keeper
            counts[keeper] = counts.get(keeper, 0) + count
            missing -= count
            if missing <= 0:
                break
        is_starved = missing > STARVED * self.thrift * running
        is_hungry = is_starved and now_ms >= self.hungry_ms.get(service, 0)
        if not counts and not is_hungry:
            self.quiet_ms[service] = now_ms + QUIET_MS
            return
        wants = get_demands(service)
        for keeper, count in counts.items():
            self.tell(self.holder.links[keeper], service, wants, count, now_ms)
        if is_hungry:
            self.hungry_ms[service] = now_ms + HUNGRY_MS
            self.tell_all(service, wants, missing, now_ms)

    def count_expected_slots(self, service: str, now_ms: int) -> int:
        """Return the free slots and those asked for a moment ago."""
        expected = self.holder.get_pool(service).spare
        for link in self.holder.links.values():
            if now_ms - link.asked_ms.get(service, -ANSWER_MS) < ANSWER_MS:
                expected += link.pending.get(service, 0)
        return expected

    def set_weights(self, response: int, messages: int) -> None:
        """Weigh a message against response time from now on."""
        self.thrift = min(MAX_THRIFT, max(1.0, messages / max(1, response)))

    def get_offers(self, service: str) -> list[tuple[links.Offer, links.KeeperLink]]:
        """Return what keepers said is free, best first."""
        offers = [
            (offer, link)
            for link in self.holder.links.values()
            for offer in link.free.get(service, [])
            if offer.slots > 0
        ]
        rank = self.rank_by_speed if self.thrift <= 1.0 else self.rank_by_keeper
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
        """Return an order in which few keepers are asked: who can do most work."""
        rate = link.get_rate(offer.service)
        return self.get_distance(link) / rate, offer.speed

    def get_distance(self, link: links.KeeperLink) -> float:
        """Return a factor that prefers own slots, then near ones."""
        keeper = link.lease.keeper
        if keeper == self.holder.me:
            return OWN_FACTOR
        return 1.0 if self.directory.is_near(keeper) else FAR_FACTOR

    def tell(
        self,
        link: links.KeeperLink,
        service: str,
        wants: Wants,
        more: int,
        now_ms: int,
    ) -> None:
        """Ask one keeper for `more` slots than are held from it."""
        total = link.held.get(service, 0) + more
        link.asked_ms[service] = now_ms
        link.pending[service] = more
        link.tell(service, split(total, wants))
        if link.stream.has_unsent():
            self.holder.dirty[link.lease.keeper] = link

    def tell_all(self, service: str, wants: Wants, missing: int, now_ms: int) -> None:
        """Tell every keeper its part of the demand that nobody can meet now."""
        capacities = {
            keeper: self.directory.get_capacity(keeper, service)
            for keeper in self.holder.links
        }
        capacity = sum(capacities.values())
        for keeper, slots in capacities.items():
            link = self.holder.links[keeper]
            more = math.ceil(missing * slots / capacity)
            total = link.held.get(service, 0) + more
            told = link.get_told(service)
            late = now_ms - link.asked_ms.get(service, -RETELL_MS) >= RETELL_MS
            if slots and (late or total > told + max(MIN_CHANGE, CHANGE_SHARE * told)):
                self.tell(link, service, wants, more, now_ms)

    def settle(self, link: links.KeeperLink, service: str, wants: Wants) -> None:
        """Bring the demand that a keeper knows down to what is left of it."""
        own = link.held.get(service, 0)
        pool = self.holder.get_pool(service)
        missing = sum(wants.values()) - pool.running - pool.spare
        target = own + max(0, missing)
        if link.get_told(service) > target:
            link.tell(service, split(target, wants))

    def take_free(
        self,
        keeper: ids.ProcessId,
        free: collections.abc.Iterable[membership_messages.FreeSlots],
    ) -> None:
        """Take how many slots a keeper could grant."""
        link = self.holder.links.get(keeper)
        if link is None:
            return
        link.free = {}
        for slots in free:
            speed = slots.speed_percent / 100.0
            offer = links.Offer(slots.service, slots.slots, speed)
            link.free.setdefault(slots.service, []).append(offer)


def split(total: int, wants: Wants) -> dict[str, int]:
    """Split a demand over members in proportion to what they want."""
    total = min(total, MAX_WANT)
    parts = [grants.Want(total, slots) for slots in wants.values()]
    shares = grants.share(total, parts)
    return {m: n for m, n in zip(wants, shares, strict=True) if n}


def is_change(old: int, new: int) -> bool:
    """Say whether a demand differs enough to be told."""
    return abs(new - old) > max(MIN_CHANGE, CHANGE_SHARE * old)
