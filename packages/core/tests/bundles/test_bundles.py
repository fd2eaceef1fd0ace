from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core.bundles import (
    compare,
    compile,
    explain,
    model,
    signing,
    template,
)

KEYS = [signing.generate_key() for _ in range(3)]
BODY = """
[[units]]
name = "gross"
dimension = "task_starts"
factor = "144"
[[units]]
name = "third"
dimension = "slot_ms"
factor = "1000/3"
[[members]]
name = "ligas"
standing = 2
token_sha256 = ["%s"]
[[contracts]]
member = "ligas"
[[contracts.limits]]
name = "quarter"
amount = "5/2"
unit = "gross"
window_s = 900
alignment = "aligned"
[[contracts.limits]]
name = "day"
amount = "2"
unit = "third"
window_s = 86400
""" % ("ab" * 32)


def build_text(version: int = 1) -> str:
    keys = {f"op{index}": public for index, (_, public) in enumerate(KEYS)}
    text = template.build_bundle_text(keys, {"latacunga": ["a1", "a2"]}, ["a1"])
    return text.replace("version = 1", f"version = {version}") + BODY


def parse(text: str) -> model.Bundle:
    bundle = model.parse_bundle(text)
    assert isinstance(bundle, model.Bundle), bundle
    return bundle


class ParseBundleTest(unittest.TestCase):
    def test_all_errors_are_returned_at_once(self) -> None:
        text = build_text() + '[[contracts]]\nmember = "nobody"\nlimits = []\n'
        text = text.replace('unit = "third"', 'unit = "fourth"')
        text = text.replace("window_s = 900\n", "")
        errors = model.parse_bundle(text)
        assert isinstance(errors, tuple)
        fields = {error.field for error in errors}
        self.assertEqual(
            fields,
            {
                "contracts[0].limits[0].window_s",
                "contracts[0].limits[1].unit",
                "contracts[1].member",
            },
        )

    def test_errors_of_malformed_fields_have_their_path(self) -> None:
        text = build_text().replace('"5/2"', '"5/0"').replace("standing", "rank")
        errors = model.parse_bundle(text)
        assert isinstance(errors, tuple)
        self.assertEqual(
            {error.field for error in errors},
            {"members[0].rank", "contracts[0].limits[0].amount"},
        )

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.text(max_size=200), strategies.integers(0, 900))
    def test_any_text_parses_to_bundle_or_errors(self, noise: str, cut: int) -> None:
        text = build_text()[:cut] + noise
        self.assertIsInstance(model.parse_bundle(text), (model.Bundle, tuple))
        signing.parse_signed(text)


class SigningTest(unittest.TestCase):
    def test_only_allowed_keys_count_and_each_once(self) -> None:
        text = build_text()
        for private, _ in (KEYS[0], KEYS[0], KEYS[1]):
            signed_text = signing.sign_bundle(text, private)
            assert isinstance(signed_text, str)
            text = signed_text
        signed = signing.parse_signed(text)
        assert isinstance(signed, signing.Signed)
        public = [key for _, key in KEYS]
        self.assertTrue(signing.verify_signatures(signed, public, 2))
        self.assertFalse(signing.verify_signatures(signed, public, 3))
        self.assertFalse(signing.verify_signatures(signed, public[1:], 2))
        self.assertEqual(signed.digest, signing.get_digest(build_text()))
        self.assertEqual(parse(text), parse(build_text()))

    def test_changed_text_is_not_signed(self) -> None:
        text = signing.sign_bundle(build_text(), KEYS[0][0])
        assert isinstance(text, str)
        signed = signing.parse_signed(text.replace("standing = 2", "standing = 3"))
        assert isinstance(signed, signing.Signed)
        self.assertFalse(signing.verify_signatures(signed, [KEYS[0][1]], 1))


class BundleFunctionsTest(unittest.TestCase):
    def test_exact_limits_are_rounded_down(self) -> None:
        lines = explain.explain_limits(parse(build_text()))
        self.assertEqual(
            [line.exact for line in lines],
            [
                "360 task starts in each aligned window of 900 s",
                "666 ms of slot time in each sliding window of 86400 s",
            ],
        )

    def test_changes_contain_whom_they_affect(self) -> None:
        new = build_text(2).replace('"5/2"', '"3"').replace("= 2\ntoken", "= 3\ntoken")
        changes = compare.compare_bundles(parse(build_text()), parse(new))
        self.assertEqual(
            [(change.whom, change.what) for change in changes],
            [("member ligas", "limit quarter"), ("member ligas", "standing")],
        )

    def test_rules_map_token_to_member(self) -> None:
        rules = compile.compile_rules(parse(build_text()), "digest")
        self.assertEqual(rules.bearers["ab" * 32].member, "ligas")
        self.assertEqual(rules.members["ligas"].standing, 2)
