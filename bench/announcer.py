"""Announces a fake endpoint to entry VMs."""

from __future__ import annotations

import dataclasses
import random

import gevent
import msgspec

from bench import calls, endpoint
from knapweedbeam_core import clock
from knapweedbeam_server import history

CALL_TIMEOUT_S = 2.0
RETRY_S = 0.2
MIN_INTERVAL_MS = 50
MAX_INTERVAL_MS = 10_000


class AnnouncementBody(msgspec.Struct):
    """The body of `PUT /v1/endpoints/{id}`."""

    service: str
    address: str
    domain: str
    worker: str
    incarnation: int
    sequence: int
    slots: int
    connections: int
    state: str


class LeaseBody(msgspec.Struct):
    """The answer to an announcement."""

    lease_ms: int
    next_ms: int


class Announcer:
    """Announces one endpoint to an entry VM, or to the next if that does not answer."""

    def __init__(
        self,
        target: endpoint.FakeEndpoint,
        entries: tuple[str, ...],
        token: str,
        writer: history.FileHistory,
        rng: random.Random,
    ) -> None:
        self.target = target
        self.entries = entries
        self.token = token
        self.history = writer
        self.entry_index = rng.randrange(len(entries))
        self.sequence = 0
        self.announce_now = gevent.event.Event()
        self.caller = self.build_caller()

    def build_caller(self) -> calls.Caller:
        """Return a caller for the current entry VM."""
        address = self.entries[self.entry_index]
        return calls.Caller(address, self.token, CALL_TIMEOUT_S, connections=1)

    def run(self) -> None:
        """Announce the endpoint whenever an announcement is due."""
        while True:
            wait_s = self.announce()
            self.announce_now.wait(wait_s)
            self.announce_now.clear()

    def leave(self) -> None:
        """Announce the endpoint as leaving, now and from now on."""
        self.target.is_leaving = True
        self.announce_now.set()

    def rejoin(self) -> None:
        """Announce the endpoint as up again, with a new incarnation."""
        self.target.incarnation += 1
        process = self.history.process
        self.history.process = dataclasses.replace(
            process, incarnation=self.target.incarnation
        )
        self.target.is_leaving = False
        self.sequence = 0
        self.announce_now.set()

    def announce(self) -> float:
        """Send one announcement and return the seconds until the next."""
        spec, is_leaving = self.target.spec, self.target.is_leaving
        self.sequence += 1
        body = AnnouncementBody(
            service=spec.service,
            address=self.target.address,
            domain=spec.domain,
            worker=spec.worker,
            incarnation=self.target.incarnation,
            sequence=self.sequence,
            slots=spec.slots,
            connections=spec.connections,
            state="leaving" if is_leaving else "up",
        )
        path = f"/v1/endpoints/{spec.name}"
        answer = self.caller.call("PUT", path, msgspec.json.encode(body))
        if isinstance(answer, calls.CallFailure) or answer.status != 200:
            self.switch_entry()
            return RETRY_S
        self.record(is_leaving)
        try:
            lease = msgspec.json.decode(answer.body, type=LeaseBody)
        except msgspec.MsgspecError:
            return RETRY_S
        next_ms = min(max(lease.next_ms, MIN_INTERVAL_MS), MAX_INTERVAL_MS)
        return next_ms / clock.SECOND_MS

    def record(self, is_leaving: bool) -> None:
        """Write to the history that an entry VM accepted the announcement."""
        spec, incarnation = self.target.spec, self.target.incarnation
        name, sequence = spec.name, self.sequence
        if is_leaving:
            self.history.write(history.Leaving(name, incarnation, sequence))
            return
        self.history.write(history.Announced(name, incarnation, sequence, spec.slots))

    def switch_entry(self) -> None:
        """Close the connection and use the next entry VM."""
        self.caller.close()
        self.entry_index = (self.entry_index + 1) % len(self.entries)
        self.caller = self.build_caller()
