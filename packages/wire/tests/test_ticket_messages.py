from __future__ import annotations

import dataclasses
import random
import types
import typing
import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core import clock, ids
from knapweedbeam_core.tickets import coordinator
from knapweedbeam_wire import codec

SIMPLE = {
    int: strategies.integers(-(2**63), 2**63 - 1),
    str: strategies.text(
        strategies.characters(exclude_categories=["Cs"], exclude_characters="\0")
    ),
}
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=20
)


def build_strategy(hint: typing.Any) -> strategies.SearchStrategy[typing.Any]:
    """Return a strategy for the values of a type that the wire format can hold."""
    if typing.get_origin(hint) is tuple:
        items = strategies.lists(build_strategy(typing.get_args(hint)[0]), max_size=4)
        return items.map(tuple)
    if isinstance(hint, types.UnionType):
        return strategies.one_of(*map(build_strategy, typing.get_args(hint)))
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        fields = {name: build_strategy(field) for name, field in hints.items()}
        return strategies.builds(hint, **fields)
    return SIMPLE.get(hint, strategies.from_type(hint))


class TicketMessagesTest(unittest.TestCase):
    def test_every_message_round_trips(self) -> None:
        me = ids.ProcessId("a1", 1)
        built = coordinator.Coordinator(
            me, "a", (), b"key", clock.ManualClock(), random.Random(1)
        )
        classes = built.get_message_classes()
        wire_codec = codec.Codec()
        wire_codec.register("tickets.capnp", *classes)
        message_lists = strategies.tuples(*map(build_strategy, classes))

        @SETTINGS
        @hypothesis.given(message_lists)
        def check(messages: tuple[typing.Any, ...]) -> None:
            self.assertEqual(wire_codec.decode(wire_codec.encode(messages)), messages)

        check()
