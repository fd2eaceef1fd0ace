"""Keeper changes: who keeps an endpoint next, and what is handed over."""

from __future__ import annotations

import collections

from knapweedbeam_core import effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import membership, rendezvous
from knapweedbeam_core.slots import (
    departures,
    held,
    holder,
    keeper,
    lease_times,
    messages,
)

REPEAT_MS = 300
REPEATS = 4


class Moving:
    """Hands endpoints over when the live entry VMs change.

    A keeper that is chosen no longer forwards what it knows and stops soon
    after. Holders show what they hold to the new keeper, a few times, since
    both may learn of the change at different times.
    """

    def __init__(
        self,
        membership: membership.Membership,
        keeper: keeper.Keeper,
        holder: holder.Holder,
    ) -> None:
        self.membership = membership
        self.keeper = keeper
        self.holder = holder
        self.epoch = membership.epoch
        self.repeats = 0
        self.repeat_ms = 0
        self.stopping = False
        self.moved: collections.deque[tuple[int, str]] = collections.deque()

    def stop(self) -> None:
        """Hand everything over, since this process stops."""
        self.stopping = True
        self.epoch = -1

    def get_open_ms(self, record: parts.Announcement) -> int:
        """Return from when a new endpoint's slots may be granted to all.

        An earlier keeper may have leased them out: nobody without other entry
        VMs, else one that is live or was until a moment ago.
        """
        now_ms = self.keeper.clock.now_ms()
        if not self.membership.contacts:
            return now_ms
        heard_ms = [
            contact.last_contact_ms
            for contact in self.membership.contacts.values()
            if contact.near and not contact.live and contact.process is not None
        ]
        lost_ms = max(heard_ms, default=-lease_times.HANDOVER_MS)
        recently = now_ms - lost_ms < lease_times.HANDOVER_MS
        start_ms = lost_ms if recently else now_ms
        return start_ms + lease_times.HANDOVER_MS

    def tick(self, now_ms: int) -> list[effects.Send]:
        """Hand over after a change of the live entry VMs."""
        while self.moved and self.moved[0][0] <= now_ms:
            name = self.moved.popleft()[1]
            known = self.keeper.endpoints.get(name)
            if known is not None and known.is_moved:
                self.keeper.drop(name)
        if self.epoch != self.membership.epoch:
            self.epoch = self.membership.epoch
            self.repeats = REPEATS
            self.repeat_ms = now_ms
        if not self.repeats or now_ms < self.repeat_ms:
            return []
        self.repeats -= 1
        self.repeat_ms = now_ms + REPEAT_MS
        return [*self.forward_moved(now_ms), *self.show(now_ms)]

    def choose(self, record: parts.Announcement) -> ids.ProcessId | None:
        """Return the process that should keep an endpoint now."""
        names = self.membership.get_names(record.domain)
        if self.stopping:
            names = tuple(name for name in names if name != self.membership.me.name)
        return self.membership.get_process(rendezvous.choose(record.endpoint, names))

    def forward_moved(self, now_ms: int) -> list[effects.Send]:
        """Forward the endpoints that others keep from now on."""
        by_keeper: dict[str, list[messages.Seen]] = {}
        for name, known in self.keeper.endpoints.items():
            chosen = self.choose(known.record)
            if chosen is None:
                continue
            if chosen == self.membership.me:
                known.is_moved = False
                continue
            seen = messages.Seen(known.record, now_ms - known.seen_ms)
            by_keeper.setdefault(chosen.name, []).append(seen)
            if not known.is_moved:
                known.is_moved = True
                self.keeper.refresh(known)
                self.moved.append((now_ms + lease_times.MOVE_MS, name))
        return [
            effects.Send(name, messages.EndpointsSeen(tuple(seen), ()))
            for name, seen in by_keeper.items()
        ]

    def show(self, now_ms: int) -> list[effects.Send]:
        """Show what is held to the keepers that are chosen now."""
        by_keeper: dict[ids.ProcessId, list[messages.HeldSlots]] = {}
        for pool in self.holder.pools.values():
            for endpoint in pool.endpoints.values():
                chosen = self.get_new_keeper(endpoint, now_ms)
                if chosen is not None:
                    shown = messages.HeldSlots(endpoint.record, endpoint.held)
                    by_keeper.setdefault(chosen, []).append(shown)
        sends = []
        for chosen, slots in by_keeper.items():
            message = messages.SlotsShown(chosen.incarnation, tuple(slots))
            if chosen == self.membership.me:
                self.keeper.take_shown(chosen, slots)
            else:
                sends.append(effects.Send(chosen.name, message))
        return sends

    def get_new_keeper(
        self, endpoint: held.HeldEndpoint, now_ms: int
    ) -> ids.ProcessId | None:
        """Return whom to show an endpoint's slots, none when nothing changed."""
        lease = endpoint.lease
        if endpoint.revoked or endpoint.held <= 0 or lease.until_ms <= now_ms:
            return None
        record = endpoint.record
        version = departures.Version(record.incarnation, record.sequence)
        if self.keeper.leavers.has_left(record.endpoint, version):
            return None
        chosen = self.choose(record)
        return chosen if chosen != lease.keeper else None
