"""Handover of endpoints and leases when their keeper changes."""

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

REPEAT_INTERVAL_MS = 300
REPEATS = 4


class Handover:
    """Hands endpoints over when the live entry VMs change.

    A keeper that is no longer chosen for an endpoint forwards its announcement and
    drops it soon after. Holders report the slots they hold to the new keeper. They
    do so `REPEATS` times, since the two may learn of the change at different times.
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
        self.removals: collections.deque[tuple[int, str]] = collections.deque()

    def stop(self) -> None:
        """Hand over all endpoints, as this process stops."""
        self.stopping = True
        self.epoch = -1

    def get_open_ms(self, record: parts.Announcement) -> int:
        """Return the time from which a new endpoint's slots may be granted.

        An earlier keeper may have leased them out: one that is still live or was
        lost less than `HANDOVER_MS` ago. Without other entry VMs there is none.
        """
        now_ms = self.keeper.clock.now_ms()
        if not self.membership.contacts:
            return now_ms
        last_contact_ms = [
            contact.last_contact_ms
            for contact in self.membership.contacts.values()
            if contact.near and not contact.live and contact.process is not None
        ]
        lost_ms = max(last_contact_ms, default=-lease_times.HANDOVER_MS)
        recently = now_ms - lost_ms < lease_times.HANDOVER_MS
        start_ms = lost_ms if recently else now_ms
        return start_ms + lease_times.HANDOVER_MS

    def tick(self, now_ms: int) -> list[effects.Send]:
        """Drop endpoints that were handed over, and hand over after a change."""
        while self.removals and self.removals[0][0] <= now_ms:
            name = self.removals.popleft()[1]
            entry = self.keeper.endpoints.get(name)
            if entry is not None and entry.is_moved:
                self.keeper.remove_endpoint(name)
        if self.epoch != self.membership.epoch:
            self.epoch = self.membership.epoch
            self.repeats = REPEATS
            self.repeat_ms = now_ms
        if not self.repeats or now_ms < self.repeat_ms:
            return []
        self.repeats -= 1
        self.repeat_ms = now_ms + REPEAT_INTERVAL_MS
        return [*self.forward_endpoints(now_ms), *self.report_held_slots(now_ms)]

    def choose_keeper(self, record: parts.Announcement) -> ids.ProcessId | None:
        """Return the process that should be an endpoint's keeper now."""
        names = self.membership.get_names(record.domain)
        if self.stopping:
            names = tuple(name for name in names if name != self.membership.me.name)
        return self.membership.get_process(rendezvous.choose(record.endpoint, names))

    def forward_endpoints(self, now_ms: int) -> list[effects.Send]:
        """Forward the endpoints that have another keeper from now on."""
        by_keeper: dict[str, list[messages.Seen]] = {}
        for name, entry in self.keeper.endpoints.items():
            chosen = self.choose_keeper(entry.record)
            if chosen is None:
                continue
            if chosen == self.membership.me:
                entry.is_moved = False
                continue
            seen = messages.Seen(entry.record, now_ms - entry.seen_ms)
            by_keeper.setdefault(chosen.name, []).append(seen)
            if not entry.is_moved:
                entry.is_moved = True
                self.keeper.update_free_slots(entry)
                self.removals.append((now_ms + lease_times.MOVED_RETENTION_MS, name))
        return [
            effects.Send(name, messages.EndpointsSeen(tuple(seen), ()))
            for name, seen in by_keeper.items()
        ]

    def report_held_slots(self, now_ms: int) -> list[effects.Send]:
        """Report the slots held here to the new keepers of their endpoints."""
        by_keeper: dict[ids.ProcessId, list[messages.HeldSlots]] = {}
        for pool in self.holder.pools.values():
            for endpoint in pool.endpoints.values():
                chosen = self.get_new_keeper(endpoint, now_ms)
                if chosen is not None:
                    held_slots = messages.HeldSlots(endpoint.record, endpoint.held)
                    by_keeper.setdefault(chosen, []).append(held_slots)
        sends = []
        for chosen, slots in by_keeper.items():
            message = messages.SlotsShown(chosen.incarnation, tuple(slots))
            if chosen == self.membership.me:
                self.keeper.adopt_leases(chosen, slots)
            else:
                sends.append(effects.Send(chosen.name, message))
        return sends

    def get_new_keeper(
        self, endpoint: held.HeldEndpoint, now_ms: int
    ) -> ids.ProcessId | None:
        """Return an endpoint's new keeper, or none if nothing is to be reported."""
        lease = endpoint.lease
        if endpoint.revoked or endpoint.held <= 0 or lease.until_ms <= now_ms:
            return None
        record = endpoint.record
        version = departures.Version(record.incarnation, record.sequence)
        if self.keeper.departed.has_left(record.endpoint, version):
            return None
        chosen = self.choose_keeper(record)
        return chosen if chosen != lease.keeper else None
