"""Probes entry VMs' health without pause and keeps the slowest answers.

It runs in a process of its own, so that a busy client adds nothing.
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
WATCH_S = 0.5
PATH = "/healthz"


class ProbeSpec(msgspec.Struct):
    """Which addresses are probed, and where the result goes."""

    addresses: tuple[str, ...]
    result: str
    life_s: float


class ProbeResult(msgspec.Struct):
    """The slowest answer of each address, in milliseconds."""

    worst_ms: dict[str, float]
    probes: int


class Probe:
    """Probes each address in turn, each from a greenlet of its own."""

    def __init__(self, spec: ProbeSpec) -> None:
        self.spec = spec
        self.result = ProbeResult(dict.fromkeys(spec.addresses, 0.0), 0)

    def run(self) -> None:
        """Probe until the parent ends or the time is over."""
        for address in self.spec.addresses:
            gevent.spawn(self.probe, address)
        parent = os.getppid()
        end_s = time.monotonic() + self.spec.life_s
        while os.getppid() == parent and time.monotonic() < end_s:
            gevent.sleep(WATCH_S)

    def probe(self, address: str) -> None:
        """Probe one address for ever."""
        caller = calls.Caller(address, "", TIMEOUT_S, connections=1)
        caller.call("GET", PATH)
        while True:
            started_s = time.monotonic()
            caller.call("GET", PATH)
            took_ms = (time.monotonic() - started_s) * 1_000
            worst_ms = self.result.worst_ms
            worst_ms[address] = max(worst_ms[address], took_ms)
            self.result.probes += 1
            gevent.sleep(PAUSE_S)

    def save(self) -> None:
        """Write the result to its file."""
        pathlib.Path(self.spec.result).write_bytes(msgspec.json.encode(self.result))
