"""Probes the health of entry VMs continuously and records the slowest answers.

It runs in its own process, so that a busy client does not add to the measured times.
"""

from __future__ import annotations

import os
import pathlib
import time

import gevent
import msgspec

from bench import calls

PAUSE_S = 0.005
TIMEOUT_S = 5.0
PARENT_CHECK_S = 0.5
PATH = "/healthz"


class ProbeSpec(msgspec.Struct):
    """The addresses to probe and the file for the result."""

    addresses: tuple[str, ...]
    result: str
    life_s: float


class ProbeResult(msgspec.Struct):
    """The slowest answer of each address in milliseconds, and the number of probes."""

    worst_ms: dict[str, float]
    probes: int


class Probe:
    """Probes each address repeatedly, in one greenlet per address."""

    def __init__(self, spec: ProbeSpec) -> None:
        self.spec = spec
        self.result = ProbeResult(dict.fromkeys(spec.addresses, 0.0), 0)

    def run(self) -> None:
        """Probe until the parent exits or `life_s` is over."""
        for address in self.spec.addresses:
            gevent.spawn(self.probe, address)
        parent = os.getppid()
        end_s = time.monotonic() + self.spec.life_s
        while os.getppid() == parent and time.monotonic() < end_s:
            gevent.sleep(PARENT_CHECK_S)

    def probe(self, address: str) -> None:
        """Probe one address forever; the first call is not measured."""
        caller = calls.Caller(address, "", TIMEOUT_S, connections=1)
        caller.call("GET", PATH)
        while True:
            started_s = time.monotonic()
            caller.call("GET", PATH)
            duration_ms = (time.monotonic() - started_s) * 1_000
            worst_ms = self.result.worst_ms
            worst_ms[address] = max(worst_ms[address], duration_ms)
            self.result.probes += 1
            gevent.sleep(PAUSE_S)

    def save(self) -> None:
        """Write the result to its file."""
        pathlib.Path(self.spec.result).write_bytes(msgspec.json.encode(self.result))
