from __future__ import annotations

import io
import json
import unittest

from knapweedbeam_core import clock
from knapweedbeam_server.logs import catalogue, emit


class EmitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock()
        self.stream = io.StringIO()
        self.emitter = emit.Emitter()

    def emit_peer_up(self, peer: str = "a2") -> None:
        self.emitter.emit(catalogue.PEER_UP, {"peer": peer, "incarnation": 7})

    def get_lines(self) -> list[str]:
        return self.stream.getvalue().splitlines()

    def test_json_line(self) -> None:
        self.emitter.set_up("json", "info", self.clock, self.stream)
        self.emit_peer_up('a"2\n')
        line = json.loads(self.get_lines()[0])
        self.assertEqual((2001, "peer_up"), (line["event"], line["name"]))
        self.assertEqual({"peer": 'a"2\n', "incarnation": 7}, line["fields"])
        self.assertTrue(line["time"].endswith("Z"))

    def test_text_is_one_line_with_truncated_fields(self) -> None:
        self.emitter.set_up("text", "info", self.clock, self.stream)
        self.emit_peer_up("a\n2{0}" + "x" * 10_000)
        self.assertEqual(1, len(self.get_lines()))
        self.assertLess(len(self.get_lines()[0]), 500)

    def test_lower_levels_and_events_before_set_up_are_discarded(self) -> None:
        self.emit_peer_up()
        self.emitter.set_up("text", "warning", self.clock, self.stream)
        self.emit_peer_up()
        self.assertEqual([], self.get_lines())

    def test_events_above_the_rate_limit_are_suppressed_and_counted(self) -> None:
        self.emitter.set_up("json", "info", self.clock, self.stream)
        for _ in range(10_000):
            self.emit_peer_up()
        self.emitter.emit(
            catalogue.ENDPOINT_LEAVING, {"endpoint": "another kind has its own limit"}
        )
        self.assertEqual(emit.EVENTS_PER_WINDOW + 1, len(self.get_lines()))
        self.clock.advance(emit.WINDOW_MS)
        self.emit_peer_up()
        suppressed = json.loads(self.get_lines()[-1])["suppressed"]
        self.assertEqual(10_000 - emit.EVENTS_PER_WINDOW, suppressed)


if __name__ == "__main__":
    unittest.main()
