"""Put a process together from its settings."""

from __future__ import annotations

import dataclasses
import hashlib
import random
import secrets

from knapweedbeam_core import clock, ids, rules
from knapweedbeam_core.control import control
from knapweedbeam_core.dispatch import dispatcher
from knapweedbeam_core.entry import node, parts
from knapweedbeam_core.log import records as log_records
from knapweedbeam_core.tickets import coordinator
from knapweedbeam_server import (
    histograms,
    history,
    metrics,
    recorder,
    shell,
    system_clock,
)
from knapweedbeam_server.config import settings as settings_
from knapweedbeam_server.http import (
    auth,
    callers,
    operators,
    records,
    request_body,
    router,
    workers,
    wsgi_server,
)
from knapweedbeam_server.tasks import starter
from knapweedbeam_wire import links, registry, store

INCARNATION_BITS = 62
TOKEN_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """The random tokens of a process that serves alone without a bundle."""

    caller: str
    endpoint: str
    platform: str
    operator: str


def build_incarnation() -> int:
    """Return a number that no other run has."""
    return secrets.randbits(INCARNATION_BITS)


def build_peers(settings: settings_.Settings) -> tuple[parts.Peer, ...]:
    """Return the peers as the decisions know them."""
    replicas = frozenset(settings.control.replicas)
    return tuple(
        parts.Peer(peer.name, peer.domain, peer.name in replicas)
        for peer in settings.peers
    )


def build_shell(
    settings: settings_.Settings, restored: log_records.RestoredState
) -> shell.Shell:
    """Return a shell with all its parts, not started."""
    own_clock = system_clock.SystemClock()
    me = ids.ProcessId(settings.process.name, build_incarnation())
    built = shell.Shell(
        me,
        settings.process.domain,
        own_clock,
        auth.Authenticator(),
        build_recorder(settings, me, own_clock),
    )
    made = build_decisions(settings, restored, built)
    classes = [cls for part in made.node.parts for cls in part.get_message_classes()]
    peers = tuple(
        links.PeerAddress(peer.name, peer.address.host, peer.address.port)
        for peer in settings.peers
    )
    listen = settings.listen.links
    built.connect(
        made.node,
        made.governing,
        made.dispatching,
        links.Links(
            me,
            (listen.host, listen.port),
            peers,
            settings.keys.link_key,
            registry.build_codec(classes),
            built,
        ),
        starter.TaskStarter(built.task_ended, settings.platform.address),
    )
    return built


def build_recorder(
    settings: settings_.Settings, me: ids.ProcessId, own_clock: clock.Clock
) -> recorder.Recorder:
    """Return the records that the settings ask for."""
    return recorder.Recorder(
        own_clock,
        history.open_history(settings.history.file, me, own_clock),
        histograms.Histograms(),
        metrics.Metrics(settings.metrics),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """The parts of a node, and the node."""

    governing: control.Control
    dispatching: dispatcher.Dispatcher
    node: node.Node


def build_decisions(
    settings: settings_.Settings,
    restored: log_records.RestoredState,
    built: shell.Shell,
) -> Decisions:
    """Return the decisions of this process."""
    me, own_clock = built.me, built.clock
    domain = settings.process.domain
    peers = build_peers(settings)
    rng = random.Random(me.incarnation)
    governing = control.Control(
        me,
        domain,
        peers,
        me.name in settings.control.replicas,
        restored,
        settings.control.operator_keys,
        settings.control.signatures,
        own_clock,
        rng,
    )
    dispatching = dispatcher.Dispatcher(
        me,
        domain,
        peers,
        governing.get_limiter(),
        own_clock,
        rng,
        settings.dispatch.policy,
    )
    coordinating = coordinator.Coordinator(
        me, domain, peers, settings.keys.ticket_key, own_clock, rng
    )
    coordinating.memory_budget.process_bytes = settings.caller_limits.memory_bytes
    coordinating.memory_budget.member_bytes = settings.member_limits.memory_bytes
    composed = node.Node(coordinating, dispatching, governing, built.observe)
    return Decisions(governing, dispatching, composed)


def build_servers(
    settings: settings_.Settings, built: shell.Shell
) -> tuple[wsgi_server.WsgiServer, wsgi_server.WsgiServer]:
    """Return the servers of callers and of operators, not started."""
    bounds = settings.caller_limits
    caller_api = callers.CallerApi(
        built,
        callers.CallerBounds(
            bounds.tasks_per_job, bounds.tickets_per_call, bounds.wait_ms
        ),
    )
    operator_api = operators.OperatorApi(built)
    record_api = records.RecordApi(built)
    caller_routes = (
        *caller_api.get_routes(),
        *record_api.get_member_routes(),
        *workers.WorkerApi(built).get_routes(),
        *operator_api.get_probe_routes(),
    )
    operator_routes = (
        *operator_api.get_routes(),
        *record_api.get_operator_routes(),
    )
    return (
        build_server(settings, settings.listen.callers, caller_routes, built),
        build_server(settings, settings.listen.operators, operator_routes, built),
    )


def build_server(
    settings: settings_.Settings,
    address: settings_.Address,
    routes: tuple[router.Route, ...],
    built: shell.Shell,
) -> wsgi_server.WsgiServer:
    """Return one server."""
    limits = settings.caller_limits
    app = router.Router(
        routes,
        built.authenticator,
        request_body.BodyBounds(limits.body_bytes, limits.request_timeout_ms),
        built.counters,
    )
    bounds = wsgi_server.ServerBounds(
        limits.connections, limits.header_bytes, limits.request_timeout_ms
    )
    return wsgi_server.build_server((address.host, address.port), app, bounds)


def open_store(settings: settings_.Settings) -> store.Store | None:
    """Return the data folder, where this process has one."""
    folder = settings.process.data_folder
    return None if folder is None else store.Store(folder)


def build_tokens() -> Tokens:
    """Return fresh random tokens."""
    return Tokens(*(secrets.token_urlsafe(TOKEN_BYTES) for _ in range(4)))


def build_local_rules(tokens: Tokens) -> rules.Rules:
    """Return the rules of a process that serves alone without a bundle."""

    def digest(token: str) -> str:
        return hashlib.sha256(token.encode()).hexdigest()

    return rules.Rules(
        version=1,
        digest="local",
        members={"local": rules.MemberRules("local")},
        services={"default": rules.ServiceRules("default")},
        bearers={
            digest(tokens.caller): rules.Bearer(rules.Role.CALLER, "local"),
            digest(tokens.endpoint): rules.Bearer(rules.Role.ENDPOINT),
            digest(tokens.platform): rules.Bearer(rules.Role.PLATFORM),
            digest(tokens.operator): rules.Bearer(rules.Role.OPERATOR),
        },
    )
