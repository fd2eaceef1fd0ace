"""Log lines that docs/OPERATIONS.md quotes match the templates of their events."""

from __future__ import annotations

import pathlib
import re
import unittest

from knapweedbeam_server.logs import catalogue

ROOT = pathlib.Path(__file__).resolve().parents[4]
QUOTED = re.compile(r"^[\d:.]+Z \S+ (\d{4}) (.+)$", re.MULTILINE)
FIELD = re.compile(r"\\\{\w+\\\}")


class OperationsTest(unittest.TestCase):
    def test_quoted_lines_match_the_templates_of_their_events(self) -> None:
        text = (ROOT / "docs" / "OPERATIONS.md").read_text()
        events = {event.number: event for event in catalogue.get_events()}
        quoted = QUOTED.findall(text)
        self.assertGreater(len(quoted), 10)
        for number, message in quoted:
            template = re.escape(events[int(number)].template)
            self.assertRegex(message, f"^{FIELD.sub('.+', template)}$")

    def test_events_named_in_the_text_exist(self) -> None:
        text = (ROOT / "docs" / "OPERATIONS.md").read_text()
        numbers = {event.number for event in catalogue.get_events()}
        for number in re.findall(r"`(\d{4})\b", text):
            self.assertIn(int(number), numbers)


if __name__ == "__main__":
    unittest.main()
