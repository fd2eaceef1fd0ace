"""The status of a process, as operators read it."""

from __future__ import annotations

from knapweedbeam_core import ids
from knapweedbeam_core.entry import node as nodes
from knapweedbeam_server.http import operators
from knapweedbeam_wire import links as wire_links
from knapweedbeam_wire import traffic


def build_status(
    me: ids.ProcessId,
    domain: str,
    node: nodes.Node,
    links: wire_links.Links,
    work: operators.WorkContent,
) -> operators.StatusContent:
    """Return the status of one process."""
    known = node.control.get_status()
    live = sorted(process.name for process in node.dispatcher.get_live())
    return operators.StatusContent(
        process=me.name,
        incarnation=me.incarnation,
        domain=domain,
        ready=work.ready,
        stopping=work.stopping,
        version=node.rules.version,
        digest=node.rules.digest,
        leader=known.leader,
        in_force=dict(known.in_force),
        unreachable_domains=known.unreachable_domains,
        live=tuple(live),
        waiting_calls=work.waiting_calls,
        running_tasks=work.running_tasks,
        links=build_links(links),
    )


def build_links(links: wire_links.Links) -> operators.LinksContent:
    """Return the traffic of all links."""
    sent = traffic.Traffic()
    for link in links.outgoing.values():
        sent.messages.update(link.sent.messages)
        sent.frames += link.sent.frames
        sent.frame_bytes += link.sent.frame_bytes
        sent.dropped += link.sent.dropped
    connected = tuple(n for n, link in links.outgoing.items() if link.connected)
    return operators.LinksContent(
        connected, build_traffic(sent), build_traffic(links.received)
    )


def build_traffic(counted: traffic.Traffic) -> operators.TrafficContent:
    """Return one direction's traffic."""
    return operators.TrafficContent(
        dict(counted.messages),
        counted.frames,
        counted.frame_bytes,
        counted.dropped,
    )
