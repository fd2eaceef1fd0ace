"""Counts what an idle deployment's heartbeats cost, by role and size.

Messages, bytes and executed lines are the same on every machine, unlike a processor
time, and show how the cost of a process grows with the number of processes.
"""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import sys
import types
import typing

from bench.fleet import simulation
from knapweedbeam_core import effects, fleet
from knapweedbeam_core.fleet import messages
from knapweedbeam_wire import frames, registry

SIZES = (24, 103, 300, 1_200)
CORE_COUNT = 6
SETTLE_MS = 8_000
# A multiple of all intervals, so that each is counted as often as it comes up.
WINDOW_MS = 5_000
LINES_WINDOW_MS = 1_000
FOLDER = str(pathlib.Path(str(fleet.__file__)).parent)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The cost a second of the mean process of a role, and its links while starting."""

    processes: int
    role: str
    sent: float
    received: float
    kilobytes: float
    lines: float
    connections: float


class Sizes:
    """The size on the wire of each heartbeat, in a frame of its own."""

    def __init__(self) -> None:
        self.codec = registry.build_codec(messages.CLASSES)

    def measure(self, message: effects.Message) -> int:
        """Return the number of bytes of a message with its frame."""
        return frames.HEADER_BYTES + len(self.codec.encode((message,)))


def measure(process_count: int) -> list[Row]:
    """Return the cost of an idle deployment with `process_count` processes."""
    running = simulation.Simulation(
        CORE_COUNT, process_count - CORE_COUNT, measure=Sizes().measure
    )
    running.advance(SETTLE_MS)
    started = dict(running.traffic)
    running.traffic.clear()
    running.advance(WINDOW_MS)
    traffic, running.traffic = (
        running.traffic,
        collections.defaultdict(simulation.Traffic),
    )
    lines = count_lines(running)
    (dispatcher,) = running.get_dispatchers()
    rows = []
    for role in ("dispatcher", "core", "standby", "entry"):
        names = [
            name
            for name in running.processes
            if get_role(running, name, dispatcher) == role
        ]
        rows.append(build_row(running, role, names, lines, traffic, started))
    return rows


def get_role(running: simulation.Simulation, name: str, dispatcher: str) -> str:
    """Return the role of a process in an idle deployment."""
    process = running.processes[name]
    if name == dispatcher:
        return "dispatcher"
    if process.is_core:
        return "core"
    return "standby" if process.members.is_fully_linked() else "entry"


def build_row(
    running: simulation.Simulation,
    role: str,
    names: list[str],
    lines: collections.Counter[str],
    idle: dict[str, simulation.Traffic],
    started: dict[str, simulation.Traffic],
) -> Row:
    """Return the mean cost of the processes of one role."""
    share = 1 / len(names)
    a_second = share * 1_000 / WINDOW_MS
    traffic = [idle[name] for name in names]
    in_bytes = sum(each.bytes_sent + each.bytes_received for each in traffic)
    return Row(
        len(running.processes),
        role,
        round(sum(each.sent for each in traffic) * a_second, 1),
        round(sum(each.received for each in traffic) * a_second, 1),
        round(in_bytes * a_second / 1_000, 2),
        round(sum(lines[name] for name in names) * share * 1_000 / LINES_WINDOW_MS),
        round(sum(started[name].connections for name in names) * share, 1),
    )


def count_lines(running: simulation.Simulation) -> collections.Counter[str]:
    """Return how many lines of the fleet's decisions each process executes."""
    lines: collections.Counter[str] = collections.Counter()

    def count_line(frame: types.FrameType, event: str, _: typing.Any) -> typing.Any:
        if event == "line":
            lines[running.current] += 1
        return count_line

    def trace(frame: types.FrameType, event: str, _: typing.Any) -> typing.Any:
        return count_line if frame.f_code.co_filename.startswith(FOLDER) else None

    sys.settrace(trace)
    try:
        running.advance(LINES_WINDOW_MS)
    finally:
        sys.settrace(None)
    return lines


def format_rows(tables: list[list[Row]]) -> str:
    """Return the rows as a table."""
    names = [field.name for field in dataclasses.fields(Row)]
    header = "".join(f"{name:>13}" for name in names)
    lines = [header]
    for row in (row for rows in tables for row in rows):
        lines.append("".join(f"{getattr(row, name):>13}" for name in names))
    return "\n".join(lines)
