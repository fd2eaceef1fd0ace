from __future__ import annotations

import ast
import pathlib
import unittest

import knapweedbeam_platform
import knapweedbeam_server
from knapweedbeam_server.logs import catalogue
from tools import docs

SOURCES = [
    path
    for package in (knapweedbeam_server, knapweedbeam_platform)
    for path in sorted(pathlib.Path(str(package.__file__)).parent.rglob("*.py"))
]
SECRET_FIELDS = {"payload", "token", "member", "key", "answer_body"}


def find_emits(path: pathlib.Path) -> list[tuple[str, set[str | None]]]:
    emits: list[tuple[str, set[str | None]]] = []
    for node in ast.walk(ast.parse(path.read_text())):
        is_call = isinstance(node, ast.Call) and ast.unparse(node.func) == "emit.emit"
        if is_call and isinstance(node, ast.Call):
            event = ast.unparse(node.args[0])
            keywords = {keyword.arg for keyword in node.keywords}
            emits.append((event.removeprefix("catalogue."), keywords))
    return emits


class CatalogueTest(unittest.TestCase):
    def test_numbers_and_names_are_unique_and_match_their_constants(self) -> None:
        events = catalogue.get_events()
        self.assertEqual(len(events), len({event.number for event in events}))
        for event in events:
            self.assertIs(event, getattr(catalogue, event.name.upper()))
            self.assertFalse(event.get_fields() & SECRET_FIELDS)

    def test_page_equals_generated_page(self) -> None:
        self.assertEqual(docs.build_events(), docs.EVENTS_PAGE.read_text())

    def test_all_events_are_emitted_except_listed_ones(self) -> None:
        sources = "".join(path.read_text() for path in SOURCES)
        for event in set(catalogue.get_events()) - catalogue.NOT_EMITTED_YET:
            self.assertIn(f"catalogue.{event.name.upper()}", sources)

    def test_every_emit_has_the_fields_of_its_event(self) -> None:
        for path in SOURCES:
            for name, keywords in find_emits(path):
                event = getattr(catalogue, name, None)
                if event is not None and None not in keywords:
                    place = f"{path.name}: {name}"
                    self.assertEqual(event.get_fields(), keywords, place)


if __name__ == "__main__":
    unittest.main()
