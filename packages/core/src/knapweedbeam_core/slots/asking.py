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
from knapweedbeam_core.membership import messages as roster_messages
from knapweedbeam_core.slots import grants, holder, links

ANSWER_MS = 40
HUNGRY_MS = 100
CHANGE_SHARE = 0.25
MIN_CHANGE = 2
MAX_WANT = 4_096

Wants = collections.abc.Mapping[str, int]


class Directory(typing.Protocol):
    """Who keeps how much."""

    def get_capacity(self, keeper: ids.ProcessId, service: str) -> int:
        """Return how many slots of a service a keeper keeps."""

    def is_near(self, keeper: ids.ProcessId) -> bool:
        """Say whether a keeper is in this failure domain."""


class Asking:
    """Tells keepers the demand."""

    def __init__(
        self, clock: clock.Clock, holder: holder.Holder, directory: Directory
    ) -> None:
        self.clock = clock
        self.holder = holder
        self.directory = directory
        self.hungry_ms: dict[str, int] = {}

    def ask(self, service: str, wants: Wants) -> None:
        """Ask for what is missing now."""
        now_ms = self.clock.now_ms()
        missing = sum(wants.values()) - self.get_expected(service, now_ms)
        if missing <= 0:
            return
        for link in self.get_offers(service):
            count = min(missing, link.free[service])
            link.free[service] -= count
            self.tell(link, service, wants, count, now_ms)
            missing -= count
            if missing <= 0:
                return
        if now_ms >= self.hungry_ms.get(service, 0):
            self.hungry_ms[service] = now_ms + HUNGRY_MS
            self.tell_all(service, wants, missing, now_ms)

    def get_expected(self, service: str, now_ms: int) -> int:
        """Return the slots held and those asked for a moment ago."""
        expected = self.holder.get_pool(service).held
        for link in self.holder.links.values():
            if now_ms - link.asked_ms.get(service, -ANSWER_MS) < ANSWER_MS:
                lacking = link.get_told(service) - link.held.get(service, 0)
                expected += max(0, lacking)
        return expected

    def get_offers(self, service: str) -> list[links.KeeperLink]:
        """Return the keepers that said they have free slots, best first."""
        offers = [k for k in self.holder.links.values() if k.free.get(service, 0) > 0]
        offers.sort(key=lambda link: self.rank(link, service))
        return offers

    def rank(self, link: links.KeeperLink, service: str) -> tuple[bool, bool, int]:
        """Return the order of keepers: this process, near ones, those with most."""
        keeper = link.lease.keeper
        is_other = keeper != self.holder.me
        return is_other, not self.directory.is_near(keeper), -link.free[service]

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
        if not capacity:
            return
        for keeper, slots in capacities.items():
            link = self.holder.links[keeper]
            more = math.ceil(missing * slots / capacity)
            total = link.held.get(service, 0) + more
            if slots and is_change(link.get_told(service), total):
                self.tell(link, service, wants, more, now_ms)

    def settle(self, link: links.KeeperLink, service: str, wants: Wants) -> None:
        """Bring the demand that a keeper knows down to what is left of it."""
        total = sum(wants.values())
        pool_held = self.holder.get_pool(service).held
        own = link.held.get(service, 0)
        told = link.get_told(service)
        if total >= pool_held:
            if told > own + total - pool_held:
                link.tell(service, split(own + total - pool_held, wants))
            return
        target = math.ceil(total * own / pool_held) if pool_held else 0
        if is_change(told, target) or not target:
            link.tell(service, split(target, wants))

    def take_free(
        self,
        keeper: ids.ProcessId,
        free: collections.abc.Iterable[roster_messages.FreeSlots],
    ) -> None:
        """Take how many slots a keeper could grant."""
        link = self.holder.links.get(keeper)
        if link is not None:
            link.free = {slots.service: slots.slots for slots in free}


def split(total: int, wants: Wants) -> dict[str, int]:
    """Split a demand over members in proportion to what they want."""
    parts = [grants.Want(min(slots, MAX_WANT), slots) for slots in wants.values()]
    shares = grants.share(total, parts)
    return {m: n for m, n in zip(wants, shares, strict=True) if n}


def is_change(old: int, new: int) -> bool:
    """Say whether a demand differs enough to be told."""
    return abs(new - old) > max(MIN_CHANGE, CHANGE_SHARE * old)
