from __future__ import annotations

import dataclasses
import typing
import unittest

from knapweedbeam_core.pool import log_events
from knapweedbeam_server.fleet import node


class CatalogueEventsTest(unittest.TestCase):
    def test_every_log_event_has_the_fields_of_its_line(self) -> None:
        self.assertEqual(
            set(node.CATALOGUE_EVENTS), set(typing.get_args(log_events.LogEvent))
        )
        for kind, event in node.CATALOGUE_EVENTS.items():
            names = {field.name for field in dataclasses.fields(kind)}
            self.assertEqual(names, event.get_fields(), event.name)


if __name__ == "__main__":
    unittest.main()
