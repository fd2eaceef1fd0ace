"""The status of a process, for operators."""

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
    control_status = node.control.get_status()
    live = sorted(process.name for process in node.dispatcher.get_live())
    return operators.StatusContent(
        process=me.name,
        incarnation=me.incarnation,
        domain=domain,
        ready=work.ready,
        stopping=work.stopping,
        version=node.rules.version,
        digest=node.rules.digest,
        leader=control_status.leader,
        in_force=dict(control_status.in_force),
        unreachable_domains=control_status.unreachable_domains,
        live=tuple(live),
        waiting_calls=work.waiting_calls,
        running_tasks=work.running_tasks,
        links=build_links(links),
    )


def build_links(links: wire_links.Links) -> operators.LinksContent:
    """Return the connected peers and the total traffic of all links."""
    sent = traffic.Traffic()
    for link in links.outgoing.values():
        sent.messages.update(link.sent.messages)
        sent.frames += link.sent.frames
        sent.frame_bytes += link.sent.frame_bytes
        sent.dropped += link.sent.dropped
    connected = tuple(name for name, link in links.outgoing.items() if link.connected)
    return operators.LinksContent(
        connected, build_traffic(sent), build_traffic(links.received)
    )


def build_traffic(counts: traffic.Traffic) -> operators.TrafficContent:
    """Return the traffic of one direction."""
    return operators.TrafficContent(
        dict(counts.messages),
        counts.frames,
        counts.frame_bytes,
        counts.dropped,
    )
