"""Announces a fake endpoint to entry VMs until it left."""

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
NEXT_MIN_MS = 50
NEXT_MAX_MS = 10_000


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
    """Announces one endpoint, at the next entry VM when one does not answer."""

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
        self.place = rng.randrange(len(entries))
        self.sequence = 0
        self.wake = gevent.event.Event()
        self.caller = self.build_caller()

    def build_caller(self) -> calls.Caller:
        """Return a caller for the entry VM whose turn it is."""
        address = self.entries[self.place]
        return calls.Caller(address, self.token, CALL_TIMEOUT_S, connections=1)

    def run(self) -> None:
        """Announce again whenever it is due."""
        while True:
            wait_s = self.announce()
            self.wake.wait(wait_s)
            self.wake.clear()

    def leave(self) -> None:
        """Announce at once that the endpoint leaves, and go on saying so."""
        self.target.leaving = True
        self.wake.set()

    def come_back(self) -> None:
        """Announce the endpoint again, as a new run of it."""
        self.target.incarnation += 1
        process = self.history.process
        self.history.process = dataclasses.replace(
            process, incarnation=self.target.incarnation
        )
        self.target.leaving = False
        self.sequence = 0
        self.wake.set()

    def announce(self) -> float:
        """Send one announcement and return the pause until the next."""
        spec, leaving = self.target.spec, self.target.leaving
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
            state="leaving" if leaving else "up",
        )
        path = f"/v1/endpoints/{spec.name}"
        answer = self.caller.call("PUT", path, msgspec.json.encode(body))
        if isinstance(answer, calls.Lost) or answer.status != 200:
            self.turn_to_next()
            return RETRY_S
        self.record(leaving)
        try:
            lease = msgspec.json.decode(answer.body, type=LeaseBody)
        except msgspec.MsgspecError:
            return RETRY_S
        next_ms = min(max(lease.next_ms, NEXT_MIN_MS), NEXT_MAX_MS)
        return next_ms / clock.SECOND_MS

    def record(self, leaving: bool) -> None:
        """Write down that an entry VM took the announcement."""
        spec, incarnation = self.target.spec, self.target.incarnation
        name, sequence = spec.name, self.sequence
        if leaving:
            self.history.write(history.Leaving(name, incarnation, sequence))
            return
        self.history.write(history.Announced(name, incarnation, sequence, spec.slots))

    def turn_to_next(self) -> None:
        """Use the next entry VM from now on."""
        self.caller.close()
        self.place = (self.place + 1) % len(self.entries)
        self.caller = self.build_caller()
