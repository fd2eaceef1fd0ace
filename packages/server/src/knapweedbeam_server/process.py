"""Run one process from its settings until it is told to stop."""

from __future__ import annotations

import enum
import signal
import sys

import gevent
import gevent.event

from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import records as log_records
from knapweedbeam_server import assembly, shell, watch
from knapweedbeam_server.config import settings as settings_
from knapweedbeam_server.http import wsgi_server
from knapweedbeam_server.logs import catalogue, emit
from knapweedbeam_wire import store

VERSION = "0.1.0"
POLL_S = 0.02
LINGER_MS = 500
MS_PER_S = 1_000


class ExitStatus(enum.IntEnum):
    """How a process ended."""

    STOPPED = 0
    CUT = 1
    LISTEN_FAILED = 3
    STORE_FAILED = 4


class Process:
    """A shell with its servers, its greenlets and its signals."""

    def __init__(
        self,
        settings: settings_.Settings,
        built: shell.Shell,
        disk: store.Store | None,
    ) -> None:
        self.settings = settings
        self.shell = built
        self.disk = disk
        self.callers, self.operators = assembly.build_servers(settings, built)
        self.stop_asked = gevent.event.Event()
        self.stop_forced = gevent.event.Event()

    def run(self) -> ExitStatus:
        """Serve until a stop, and return how it ended."""
        gevent.signal_handler(signal.SIGTERM, self.on_signal)
        gevent.signal_handler(signal.SIGINT, self.on_signal)
        if not self.listen():
            return ExitStatus.LISTEN_FAILED
        gevent.spawn(self.shell.run_ticks)
        gevent.spawn(self.shell.flush_records)
        own = self.settings.process
        neighbours = [p for p in self.settings.peers if p.domain == own.domain]
        watching = watch.Watch(own.name, own.domain, bool(neighbours))
        gevent.spawn(watching.run, self.shell.control, self.shell.dispatcher)
        if self.disk is not None:
            gevent.spawn(self.shell.run_saves, self.disk)
        self.stop_asked.wait()
        return self.stop()

    def listen(self) -> bool:
        """Open every port, or say which one cannot be had."""
        listen = self.settings.listen
        for purpose, address, server in (
            ("callers", listen.callers, self.callers),
            ("operators", listen.operators, self.operators),
            ("links", listen.links, self.shell.links),
        ):
            try:
                server.start()
            except OSError as error:
                emit.emit(
                    catalogue.LISTEN_FAILED,
                    purpose=purpose,
                    address=str(address),
                    error=str(error),
                )
                return False
            emit.emit(catalogue.LISTENING, purpose=purpose, address=str(address))
        return True

    def on_signal(self) -> None:
        """Stop gracefully, or at once the second time."""
        if self.stop_asked.is_set():
            self.stop_forced.set()
        self.stop_asked.set()

    def stop(self) -> ExitStatus:
        """Answer what was taken, then end."""
        began_ms = self.shell.now_ms()
        deadline_ms = self.settings.stopping.deadline_ms
        emit.emit(
            catalogue.STOP_BEGUN,
            jobs=self.shell.recorder.get_open_jobs(),
            deadline_ms=deadline_ms,
        )
        self.shell.stop()
        self.wait_until_idle(began_ms, deadline_ms)
        cut = self.shell.get_unanswered()
        self.close(cut)
        took_ms = self.shell.now_ms() - began_ms
        emit.emit(catalogue.STOPPED, took_ms=took_ms, cut=cut)
        return ExitStatus.CUT if cut else ExitStatus.STOPPED

    def wait_until_idle(self, began_ms: int, deadline_ms: int) -> None:
        """Wait until all is answered, the deadline, or a second signal.

        A process that is idle at once still lingers, so that calls on their way
        meet it before its ports close.
        """
        while True:
            took_ms = self.shell.now_ms() - began_ms
            if self.shell.is_idle() and took_ms >= LINGER_MS:
                return
            if self.stop_forced.is_set():
                cut = self.shell.get_unanswered()
                emit.emit(catalogue.STOP_FORCED, cut=cut)
                return
            if took_ms >= deadline_ms:
                cut = self.shell.get_unanswered()
                emit.emit(catalogue.STOP_DEADLINE, cut=cut)
                return
            self.stop_forced.wait(POLL_S)

    def close(self, cut: int) -> None:
        """Close ports and files."""
        close_server(self.callers)
        close_server(self.operators)
        self.shell.links.stop()
        self.shell.close(cut)
        if self.disk is not None:
            self.disk.close()


def close_server(server: wsgi_server.WsgiServer) -> None:
    """Take no more connections and end the open ones."""
    server.stop(timeout=1)


def run(settings: settings_.Settings) -> int:
    """Run a process and return its exit status."""
    disk = assembly.open_store(settings)
    restored = log_records.RestoredState() if disk is None else disk.load()
    if isinstance(restored, store.StoreFailure):
        fault, detail = restored.fault, restored.detail
        emit.emit(catalogue.STORE_FAILED, reason=fault, detail=detail)
        return ExitStatus.STORE_FAILED
    built = assembly.build_shell(settings, restored)
    emit.emit(
        catalogue.PROCESS_STARTED,
        process=settings.process.name,
        domain=settings.process.domain,
        version=VERSION,
    )
    if is_alone(settings):
        serve_alone(built)
    return Process(settings, built, disk).run()


def is_alone(settings: settings_.Settings) -> bool:
    """Say whether no bundle can ever be rolled here."""
    return not settings.peers and not settings.control.operator_keys


def serve_alone(built: shell.Shell) -> None:
    """Serve under local rules and print the tokens of this run."""
    tokens = assembly.build_tokens()
    rules = assembly.build_local_rules(tokens)
    built.carry_out(built.node.route_events([parts.RulesInForce(rules)]))
    built.alone = True
    print(f"caller token:   {tokens.caller}", file=sys.stderr)
    print(f"endpoint token: {tokens.endpoint}", file=sys.stderr)
    print(f"platform token: {tokens.platform}", file=sys.stderr)
    print(f"operator token: {tokens.operator}", file=sys.stderr)
