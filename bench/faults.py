"""Faults of a fake endpoint and the malformed answers that some of them send."""

from __future__ import annotations

import enum
import typing

from gevent import socket

DRAIN_TIMEOUT_S = 2.0
DRAIN_BYTES = 65_536


class Fault(enum.StrEnum):
    """A fault that an endpoint shows with every task."""

    NONE = "none"
    SILENT = "silent"
    TWICE = "twice"
    HALF = "half"
    OTHER_TASK = "other_task"
    CLOSE = "close"
    FAIL = "fail"
    REFUSE = "refuse"


RAW_FAULTS = frozenset({Fault.TWICE, Fault.HALF, Fault.CLOSE})


def build_raw_answer(body: bytes) -> bytes:
    """Return an entire HTTP answer as bytes for the connection."""
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def send_raw(connection: typing.Any, fault: Fault, body: bytes) -> None:
    """Send the bytes of a raw fault, then close the connection."""
    answer = build_raw_answer(body)
    try:
        if fault == Fault.TWICE:
            connection.sendall(answer + answer)
            drain(connection)
        elif fault == Fault.HALF:
            connection.sendall(answer[: len(answer) - len(body) // 2 - 1])
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller closed the connection first.
        return


def drain(connection: typing.Any) -> None:
    """Discard further bytes, so that the connection stays open for a while."""
    connection.settimeout(DRAIN_TIMEOUT_S)
    while connection.recv(DRAIN_BYTES):
        pass
