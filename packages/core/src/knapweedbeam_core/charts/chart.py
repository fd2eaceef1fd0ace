"""Read a state chart from a TOML file and compile it to a lookup table.

A chart file lists its `events`, its `start` state, its `final` states and, for
each other state, the target of every event: a state, `"ignored"` (the event
changes nothing) or `"refused"` (the event must not happen here).
"""

from __future__ import annotations

import dataclasses
import importlib.resources
import tomllib
import typing

IGNORED: typing.Final = "ignored"
REFUSED: typing.Final = "refused"
SPECIAL_TARGETS = frozenset({IGNORED, REFUSED})


class ChartError(Exception):
    """A chart file breaks the rules of charts; the message names each place."""


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A compiled chart; `table` maps state and event to the target."""

    name: str
    start: str
    final: frozenset[str]
    events: tuple[str, ...]
    table: dict[tuple[str, str], str]

    def get_target(self, state: str, event: str) -> str:
        """Return the next state, `IGNORED` or `REFUSED`."""
        return self.table[state, event]

    def get_next_state(self, state: str, event: str) -> str:
        """Return the state after `event`, unchanged where it is not taken."""
        target = self.table[state, event]
        return state if target in SPECIAL_TARGETS else target


def load_chart(package: str, file_name: str) -> Chart:
    """Load a chart that lies beside the modules of `package`."""
    text = importlib.resources.files(package).joinpath(file_name).read_text()
    return compile_chart(file_name, text)


def compile_chart(name: str, text: str) -> Chart:
    """Compile a chart from TOML text.

    Raises `ChartError` when an event is undecided in some state, a target is
    unknown, a state cannot be reached or a state has no way to a final one.
    """
    data = tomllib.loads(text)
    final = frozenset(data["final"])
    states: dict[str, dict[str, str]] = data["states"]
    events = tuple(data["events"])
    names = frozenset(states) | final
    errors = find_undecided(states, events, names)
    if not errors:
        errors = find_stuck(data["start"], states, final)
    if errors:
        raise ChartError(f"{name}: " + "; ".join(errors))
    table = {
        (state, event): target
        for state, targets in states.items()
        for event, target in targets.items()
    }
    table |= {(state, event): IGNORED for state in final for event in events}
    return Chart(name, data["start"], final, events, table)


def find_undecided(
    states: dict[str, dict[str, str]], events: tuple[str, ...], names: frozenset[str]
) -> list[str]:
    """Return an error for each undecided event and each unknown target."""
    errors = []
    for state, targets in states.items():
        errors += [f"{state} leaves {e} undecided" for e in set(events) - set(targets)]
        errors += [f"{state} has unknown event {e}" for e in set(targets) - set(events)]
        unknown = set(targets.values()) - names - SPECIAL_TARGETS
        errors += [f"{state} leads to unknown state {target}" for target in unknown]
    return sorted(errors)


def find_stuck(
    start: str, states: dict[str, dict[str, str]], final: frozenset[str]
) -> list[str]:
    """Return an error for each state out of reach or with no way to an end.

    A chart without final states runs forever: each of its states must then
    have a way out.
    """
    edges = {
        state: set(targets.values()) - SPECIAL_TARGETS - {state}
        for state, targets in states.items()
    }
    reached = get_reachable({start}, edges)
    names = frozenset(states) | final
    errors = [f"{state} cannot be reached" for state in names - reached]
    if not final:
        errors += [f"{state} has no way out" for state in states if not edges[state]]
        return sorted(errors)
    backward: dict[str, set[str]] = {}
    for state, targets in edges.items():
        for target in targets:
            backward.setdefault(target, set()).add(state)
    ending = get_reachable(set(final), backward)
    errors += [f"{state} has no way to an end" for state in names - ending]
    return sorted(errors)


def get_reachable(start: set[str], edges: dict[str, set[str]]) -> set[str]:
    """Return every state on a path from `start`, its own states included."""
    reached = set(start)
    waiting = list(start)
    while waiting:
        fresh = edges.get(waiting.pop(), set()) - reached
        reached |= fresh
        waiting.extend(fresh)
    return reached
