from __future__ import annotations

import pathlib
import re
import unittest

from knapweedbeam_core import reasons
from knapweedbeam_server import metrics
from knapweedbeam_server.config import schema

ROOT = pathlib.Path(__file__).resolve().parents[4]
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


class PagesTest(unittest.TestCase):
    def test_links_of_pages_lead_to_existing_files(self) -> None:
        for page in [*ROOT.glob("*.md"), *DOCS.rglob("*.md")]:
            for target in LINK.findall(page.read_text()):
                path = page.parent / target
                self.assertTrue(path.exists(), f"{page.name}: {target}")

    def test_settings_page_names_every_section(self) -> None:
        text = (DOCS / "operators" / "settings.md").read_text()
        for section in schema.SECTIONS:
            self.assertIn(f"[{section.title}]", text)

    def test_outcomes_page_names_every_reason_that_callers_receive(self) -> None:
        text = (DOCS / "user-guide" / "outcomes.md").read_text()
        reasons_on_page = set(re.findall(r"`([a-z_]+)`", text))
        operator_reasons = {"stale", "no_quorum", "signatures", "disk"}
        self.assertEqual(
            operator_reasons, {r.value for r in reasons.Reason} - reasons_on_page
        )

    def test_metrics_page_names_every_metric(self) -> None:
        text = (DOCS / "operators" / "metrics.md").read_text()
        for name in [*metrics.Counter, *metrics.Gauge]:
            self.assertIn(f"`{name}`", text)


if __name__ == "__main__":
    unittest.main()
