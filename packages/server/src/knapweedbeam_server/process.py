"""Run one process from its settings until a signal stops it."""

from __future__ import annotations

import enum
import signal
import sys

import gevent
import gevent.event

from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import records as log_records
from knapweedbeam_server import assembly, change_logger, event_loop, shell
from knapweedbeam_server.config import settings as settings_
from knapweedbeam_server.http import wsgi_server
from knapweedbeam_server.logs import catalogue, emit
from knapweedbeam_wire import store

VERSION = "0.1.0"
POLL_INTERVAL_S = 0.02
LINGER_MS = 500
MS_PER_S = 1_000


class ExitStatus(enum.IntEnum):
    """The exit status of a process; `CUT` means that requests got no answer."""

    STOPPED = 0
    CUT = 1
    LISTEN_FAILED = 3
    STORE_FAILED = 4


class Process:
    """A shell with its servers, greenlets and signal handlers."""

    def __init__(
        self,
        settings: settings_.Settings,
        process_shell: shell.Shell,
        data_store: store.Store | None,
    ) -> None:
        self.settings = settings
        self.shell = process_shell
        self.data_store = data_store
        self.callers, self.operators = assembly.build_servers(settings, process_shell)
        self.stop_requested = gevent.event.Event()
        self.stop_forced = gevent.event.Event()

    def run(self) -> ExitStatus:
        """Serve until a stop is requested, and return the exit status."""
        event_loop.set_up()
        gevent.signal_handler(signal.SIGTERM, self.on_signal)
        gevent.signal_handler(signal.SIGINT, self.on_signal)
        if not self.listen():
            return ExitStatus.LISTEN_FAILED
        gevent.spawn(self.shell.run_ticks)
        gevent.spawn(self.shell.flush_records)
        own_settings = self.settings.process
        neighbours = [p for p in self.settings.peers if p.domain == own_settings.domain]
        change_log = change_logger.ChangeLogger(
            own_settings.name, own_settings.domain, bool(neighbours)
        )
        gevent.spawn(change_log.run, self.shell.control, self.shell.dispatcher)
        if self.data_store is not None:
            gevent.spawn(self.shell.run_persistence, self.data_store)
        self.stop_requested.wait()
        return self.stop()

    def listen(self) -> bool:
        """Open all ports; log the first that fails and return False."""
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
        """Request a graceful stop; a second signal forces an immediate one."""
        if self.stop_requested.is_set():
            self.stop_forced.set()
        self.stop_requested.set()

    def stop(self) -> ExitStatus:
        """Finish the accepted work, close everything and return the exit status."""
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
        """Wait until all requests are answered, the deadline or a second signal.

        An idle process still waits `LINGER_MS`, so that calls that are already on
        their way reach it before its ports close.
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
            self.stop_forced.wait(POLL_INTERVAL_S)

    def close(self, cut: int) -> None:
        """Close the ports and files; `cut` is the number of unanswered requests."""
        close_server(self.callers)
        close_server(self.operators)
        self.shell.links.stop()
        self.shell.close(cut)
        if self.data_store is not None:
            self.data_store.close()


def close_server(server: wsgi_server.WsgiServer) -> None:
    """Accept no more connections and close the open ones."""
    server.stop(timeout=1)


def run(settings: settings_.Settings) -> int:
    """Run a process and return its exit status."""
    data_store = assembly.open_store(settings)
    restored = log_records.RestoredState() if data_store is None else data_store.load()
    if isinstance(restored, store.StoreFailure):
        fault, detail = restored.fault, restored.detail
        emit.emit(catalogue.STORE_FAILED, reason=fault, detail=detail)
        return ExitStatus.STORE_FAILED
    process_shell = assembly.build_shell(settings, restored)
    emit.emit(
        catalogue.PROCESS_STARTED,
        process=settings.process.name,
        domain=settings.process.domain,
        version=VERSION,
    )
    if is_standalone(settings):
        serve_standalone(process_shell)
    return Process(settings, process_shell, data_store).run()


def is_standalone(settings: settings_.Settings) -> bool:
    """Return whether the process is standalone: no bundle can ever reach it."""
    return not settings.peers and not settings.control.operator_keys


def serve_standalone(process_shell: shell.Shell) -> None:
    """Serve under local rules and print this run's tokens to stderr."""
    tokens = assembly.build_tokens()
    rules = assembly.build_local_rules(tokens)
    process_shell.execute_effects(
        process_shell.node.route_events([parts.RulesInForce(rules)])
    )
    process_shell.is_standalone = True
    print(f"caller token:   {tokens.caller}", file=sys.stderr)
    print(f"endpoint token: {tokens.endpoint}", file=sys.stderr)
    print(f"platform token: {tokens.platform}", file=sys.stderr)
    print(f"operator token: {tokens.operator}", file=sys.stderr)
