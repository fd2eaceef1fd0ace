"""State charts: TOML files that are compiled to lookup tables.

A chart file lists its `events`, its `start` state, its `final` states and, for each
other state, the target of every event: a state, `"ignored"` (the event changes
nothing) or `"refused"` (the event must not happen in this state).
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
    """A chart file is invalid; the message lists every error."""


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A compiled chart; `table` maps a state and an event to the target."""

    name: str
    start: str
    final: frozenset[str]
    events: tuple[str, ...]
    table: dict[tuple[str, str], str]

    def get_target(self, state: str, event: str) -> str:
        """Return the next state, `IGNORED` or `REFUSED`."""
        return self.table[state, event]

    def get_next_state(self, state: str, event: str) -> str:
        """Return the state after `event`, unchanged if it is ignored or refused."""
        target = self.table[state, event]
        return state if target in SPECIAL_TARGETS else target


def load_chart(package: str, file_name: str) -> Chart:
    """Load a chart from a file in the directory of `package`."""
    text = importlib.resources.files(package).joinpath(file_name).read_text()
    return compile_chart(file_name, text)


def compile_chart(name: str, text: str) -> Chart:
    """Compile a chart from TOML text.

    Raises `ChartError` if a state lacks a target for an event, a target is unknown,
    a state is unreachable, or a state has no path to a final one.
    """
    data = tomllib.loads(text)
    final = frozenset(data["final"])
    states: dict[str, dict[str, str]] = data["states"]
    events = tuple(data["events"])
    names = frozenset(states) | final
    errors = find_target_errors(states, events, names)
    if not errors:
        errors = find_path_errors(data["start"], states, final)
    if errors:
        raise ChartError(f"{name}: " + "; ".join(errors))
    table = {
        (state, event): target
        for state, targets in states.items()
        for event, target in targets.items()
    }
    table |= {(state, event): IGNORED for state in final for event in events}
    return Chart(name, data["start"], final, events, table)


def find_target_errors(
    states: dict[str, dict[str, str]], events: tuple[str, ...], names: frozenset[str]
) -> list[str]:
    """Return an error for each missing target, unknown event and unknown target."""
    errors = []
    for state, targets in states.items():
        errors += [
            f"state {state} has no target for event {e}"
            for e in set(events) - set(targets)
        ]
        errors += [
            f"state {state} has unknown event {e}" for e in set(targets) - set(events)
        ]
        unknown = set(targets.values()) - names - SPECIAL_TARGETS
        errors += [f"state {state} has unknown target {target}" for target in unknown]
    return sorted(errors)


def find_path_errors(
    start: str, states: dict[str, dict[str, str]], final: frozenset[str]
) -> list[str]:
    """Return an error for each state that is unreachable or has no path to a final one.

    A chart without final states runs forever; each of its states must then have a
    transition to another state.
    """
    edges = {
        state: set(targets.values()) - SPECIAL_TARGETS - {state}
        for state, targets in states.items()
    }
    reached = get_reachable({start}, edges)
    names = frozenset(states) | final
    errors = [f"state {state} is unreachable" for state in names - reached]
    if not final:
        errors += [
            f"state {state} has no transition to another state"
            for state in states
            if not edges[state]
        ]
        return sorted(errors)
    backward: dict[str, set[str]] = {}
    for state, targets in edges.items():
        for target in targets:
            backward.setdefault(target, set()).add(state)
    reach_final = get_reachable(set(final), backward)
    errors += [
        f"state {state} has no path to a final state" for state in names - reach_final
    ]
    return sorted(errors)


def get_reachable(start: set[str], edges: dict[str, set[str]]) -> set[str]:
    """Return every state on a path from `start`, including the start states."""
    reached = set(start)
    pending = list(start)
    while pending:
        found = edges.get(pending.pop(), set()) - reached
        reached |= found
        pending.extend(found)
    return reached
