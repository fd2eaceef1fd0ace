"""A process that hosts fake endpoints and their fake platform.

`POST /control/endpoints/{id}` with `{"fault", "slowdown", "leaving"}` changes an
endpoint while it runs.
"""

from __future__ import annotations

import os
import pathlib
import random
import typing

import gevent
import gevent.pywsgi
import msgspec

from bench import announcer, deployment, endpoint, faults, platform
from knapweedbeam_core import ids
from knapweedbeam_server import history, system_clock

FLUSH_S = history.FLUSH_MS / 1_000
PARENT_CHECK_S = 0.5
CONTROL_PREFIX = "/control/endpoints/"


class HostSpec(msgspec.Struct):
    """What a host process runs; it exits with its parent or after `life_s`."""

    endpoints: tuple[deployment.EndpointSpec, ...]
    entries: dict[str, tuple[str, ...]]
    endpoint_token: str
    platform_token: str
    platform: str
    siblings: tuple[str, ...]
    history_folder: str
    life_s: float
    seed: int = 1


class Control(msgspec.Struct):
    """A change to one endpoint; omitted fields stay as they are."""

    fault: faults.Fault | None = None
    slowdown: float | None = None
    leaving: bool | None = None


class Host:
    """Fake endpoints, their announcers and their platform in one process."""

    def __init__(self, spec: HostSpec) -> None:
        self.spec = spec
        self.clock = system_clock.SystemClock()
        self.rng = random.Random(spec.seed)
        self.writers: list[history.HistoryWriter] = []
        self.endpoints: dict[str, endpoint.FakeEndpoint] = {}
        self.announcers: dict[str, announcer.Announcer] = {}
        for each in spec.endpoints:
            self.add_endpoint(each)
        all_entries = tuple(a for some in spec.entries.values() for a in some)
        self.platform = platform.FakePlatform(
            self.endpoints,
            all_entries,
            spec.platform_token,
            spec.siblings,
            self.clock,
            self.rng,
        )
        host, _, port = spec.platform.rpartition(":")
        self.server = gevent.pywsgi.WSGIServer(
            (host, int(port)),
            self.serve,
            handler_class=endpoint.Handler,
            log=None,
            error_log=None,
        )

    def add_endpoint(self, spec: deployment.EndpointSpec) -> None:
        """Build an endpoint with its history and its announcer."""
        incarnation = self.clock.wall_ms()
        path = pathlib.Path(self.spec.history_folder) / f"{spec.name}.history"
        process = ids.ProcessId(spec.name, incarnation)
        writer = history.FileHistory(path, process, self.clock, history.Role.ENDPOINT)
        self.writers.append(writer)
        fake = endpoint.FakeEndpoint(spec, writer, self.clock, incarnation)
        entries = self.spec.entries[spec.domain]
        self.endpoints[spec.name] = fake
        self.announcers[spec.name] = announcer.Announcer(
            fake, entries, self.spec.endpoint_token, writer, self.rng
        )

    def serve(
        self, environ: dict[str, typing.Any], start_response: endpoint.StartResponse
    ) -> list[bytes]:
        """Handle a control request, or pass the request to the platform."""
        path = environ["PATH_INFO"]
        if not path.startswith(CONTROL_PREFIX):
            return self.platform.serve(environ, start_response)
        name = path.removeprefix(CONTROL_PREFIX)
        if name not in self.endpoints:
            return endpoint.reply(start_response, 404, b"{}")
        change = msgspec.json.decode(environ["wsgi.input"].read(), type=Control)
        self.apply_change(name, change)
        return endpoint.reply(start_response, 200, b"{}")

    def apply_change(self, name: str, change: Control) -> None:
        """Apply a change to one endpoint."""
        fake = self.endpoints[name]
        if change.fault is not None:
            fake.fault = change.fault
        if change.slowdown is not None:
            fake.slowdown = change.slowdown
        if change.leaving:
            self.announcers[name].leave()
        elif change.leaving is False:
            self.announcers[name].rejoin()

    def run(self) -> None:
        """Serve until the parent exits or `life_s` is over."""
        self.server.start()
        for fake in self.endpoints.values():
            fake.start()
        for each in self.announcers.values():
            gevent.spawn(each.run)
        gevent.spawn(self.platform.run)
        parent = os.getppid()
        end_ms = self.clock.now_ms() + int(self.spec.life_s * 1_000)
        while os.getppid() == parent and self.clock.now_ms() < end_ms:
            gevent.sleep(min(PARENT_CHECK_S, FLUSH_S))
            for writer in self.writers:
                writer.flush()

    def close(self) -> None:
        """Flush and close the histories."""
        for writer in self.writers:
            writer.close()
