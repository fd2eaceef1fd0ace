"""Build a process from its settings."""

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
    reports,
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
    """The random bearer tokens of a standalone process, which has no bundle."""

    caller: str
    endpoint: str
    platform: str
    operator: str


def build_incarnation() -> int:
    """Return a random incarnation number, different for each run."""
    return secrets.randbits(INCARNATION_BITS)


def build_peers(settings: settings_.Settings) -> tuple[parts.Peer, ...]:
    """Return the peers in the form that the node uses."""
    replicas = frozenset(settings.control.replicas)
    return tuple(
        parts.Peer(peer.name, peer.domain, peer.name in replicas)
        for peer in settings.peers
    )


def build_shell(
    settings: settings_.Settings, restored: log_records.RestoredState
) -> shell.Shell:
    """Return a shell with all its parts; nothing is started."""
    own_clock = system_clock.SystemClock()
    me = ids.ProcessId(settings.process.name, build_incarnation())
    process_shell = shell.Shell(
        me,
        settings.process.domain,
        own_clock,
        auth.Authenticator(),
        build_recorder(settings, me, own_clock),
    )
    node_parts = build_node_parts(settings, restored, process_shell)
    classes = [
        cls for part in node_parts.node.parts for cls in part.get_message_classes()
    ]
    peers = tuple(
        links.PeerAddress(peer.name, peer.address.host, peer.address.port)
        for peer in settings.peers
    )
    listen = settings.listen.links
    process_shell.connect(
        node_parts.node,
        node_parts.control_part,
        node_parts.dispatcher_part,
        links.Links(
            me,
            (listen.host, listen.port),
            peers,
            settings.keys.link_key,
            registry.build_codec(classes),
            process_shell,
        ),
        starter.TaskStarter(process_shell.on_task_end, settings.platform.address),
    )
    return process_shell


def build_recorder(
    settings: settings_.Settings, me: ids.ProcessId, own_clock: clock.Clock
) -> recorder.Recorder:
    """Return a recorder for the history and metrics that the settings enable."""
    return recorder.Recorder(
        own_clock,
        history.open_history(settings.history.file, me, own_clock),
        histograms.Histograms(),
        metrics.Metrics(settings.metrics),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class NodeParts:
    """The parts that the shell calls directly, and the node they belong to."""

    control_part: control.Control
    dispatcher_part: dispatcher.Dispatcher
    node: node.Node


def build_node_parts(
    settings: settings_.Settings,
    restored: log_records.RestoredState,
    process_shell: shell.Shell,
) -> NodeParts:
    """Build the control, dispatcher and coordinator, and the node that joins them."""
    me, own_clock = process_shell.me, process_shell.clock
    domain = settings.process.domain
    peers = build_peers(settings)
    rng = random.Random(me.incarnation)
    control_part = control.Control(
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
    dispatcher_part = dispatcher.Dispatcher(
        me,
        domain,
        peers,
        control_part.get_limiter(),
        own_clock,
        rng,
        settings.dispatch.policy,
    )
    coordinator_part = coordinator.Coordinator(
        me, domain, peers, settings.keys.ticket_key, own_clock, rng
    )
    coordinator_part.memory_budget.process_bytes = settings.caller_limits.memory_bytes
    coordinator_part.memory_budget.member_bytes = settings.member_limits.memory_bytes
    new_node = node.Node(
        coordinator_part, dispatcher_part, control_part, process_shell.observe
    )
    return NodeParts(control_part, dispatcher_part, new_node)


def build_servers(
    settings: settings_.Settings, process_shell: shell.Shell
) -> tuple[wsgi_server.WsgiServer, wsgi_server.WsgiServer]:
    """Return the HTTP servers for callers and for operators; neither is started."""
    bounds = settings.caller_limits
    caller_api = callers.CallerApi(
        process_shell,
        callers.CallerBounds(
            bounds.tasks_per_job, bounds.tickets_per_call, bounds.wait_ms
        ),
    )
    operator_api = operators.OperatorApi(process_shell)
    report_api = reports.ReportApi(process_shell)
    caller_routes = (
        *caller_api.get_routes(),
        *report_api.get_member_routes(),
        *workers.WorkerApi(process_shell).get_routes(),
        *operator_api.get_probe_routes(),
    )
    operator_routes = (
        *operator_api.get_routes(),
        *report_api.get_operator_routes(),
    )
    return (
        build_server(settings, settings.listen.callers, caller_routes, process_shell),
        build_server(
            settings, settings.listen.operators, operator_routes, process_shell
        ),
    )


def build_server(
    settings: settings_.Settings,
    address: settings_.Address,
    routes: tuple[router.Route, ...],
    process_shell: shell.Shell,
) -> wsgi_server.WsgiServer:
    """Return one HTTP server that serves `routes` at `address`."""
    limits = settings.caller_limits
    app = router.Router(
        routes,
        process_shell.authenticator,
        request_body.BodyBounds(limits.body_bytes, limits.request_timeout_ms),
        process_shell.counters,
    )
    bounds = wsgi_server.ServerBounds(
        limits.connections, limits.header_bytes, limits.request_timeout_ms
    )
    return wsgi_server.build_server((address.host, address.port), app, bounds)


def open_store(settings: settings_.Settings) -> store.Store | None:
    """Return the store in the data folder, or None without a data folder."""
    folder = settings.process.data_folder
    return None if folder is None else store.Store(folder)


def build_tokens() -> Tokens:
    """Return new random tokens."""
    return Tokens(*(secrets.token_urlsafe(TOKEN_BYTES) for _ in range(4)))


def build_local_rules(tokens: Tokens) -> rules.Rules:
    """Return the rules of a standalone process, which has no bundle."""

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
