from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core.control import messages as control_messages
from knapweedbeam_core.log import messages as log_messages
from knapweedbeam_wire import codec

CLASSES = control_messages.CLASSES + log_messages.CLASSES
NUMBERS = strategies.integers(0, 2**48)
TEXTS = strategies.text(strategies.characters(codec="utf-8", exclude_characters="\0"))


class ControlSchemaTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=60
    )
    @hypothesis.given(strategies.data())
    def test_every_message_round_trips(self, data: strategies.DataObject) -> None:
        strategies.register_type_strategy(int, NUMBERS)
        strategies.register_type_strategy(str, TEXTS)
        message = data.draw(strategies.one_of(*map(strategies.from_type, CLASSES)))
        self.assertEqual(self.codec.decode(self.codec.encode([message])), (message,))

    @classmethod
    def setUpClass(cls) -> None:
        cls.codec = codec.Codec()
        cls.codec.register("control.capnp", *CLASSES)
