"""Tests the review of a manifest before it is sent."""

from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core.manifests import manifest, review

TERMS = manifest.Terms("quotes", "desk", 0, 2, 1.6, 60)
QUEUE = manifest.Queue("a.example", "/quotes/", 1_500, TERMS)
SERVICE = manifest.Service("desk", "/healthz", 64, False, False)
BOUNDS = manifest.RequestBounds(16_384, 262_144, 3_000, 15_000)
SOUND = manifest.Manifest(7, (QUEUE,), (SERVICE,), BOUNDS, b"")


def change_queue(**fields: object) -> manifest.Manifest:
    return dataclasses.replace(SOUND, queues=(dataclasses.replace(QUEUE, **fields),))


def change_terms(**fields: object) -> manifest.Manifest:
    return change_queue(terms=dataclasses.replace(TERMS, **fields))


class ReviewTest(unittest.TestCase):
    def assert_found(self, of: manifest.Manifest, kind: review.Kind) -> None:
        found = review.review(of)
        self.assertEqual([finding.kind for finding in found], [kind], found)

    def test_sound_manifest_has_no_findings(self) -> None:
        self.assertEqual(review.review(SOUND), [])
        self.assertEqual(
            review.review(SOUND, dataclasses.replace(SOUND, version=6)), []
        )

    def test_all_errors_are_found(self) -> None:
        broken = dataclasses.replace(
            SOUND, queues=(QUEUE, dataclasses.replace(QUEUE, timeout_ms=0)), services=()
        )
        errors = [f.detail for f in review.review(broken) if f.kind == "error"]
        self.assertEqual(len(errors), 4, errors)

    def test_queues_that_no_request_reaches_are_found(self) -> None:
        for fields in (
            {"host": "A.example"},
            {"host": "a.example:80"},
            {"path_prefix": "quotes/"},
            {"path_prefix": "/quotes?x/"},
        ):
            self.assert_found(change_queue(**fields), review.Kind.NO_EFFECT)

    def test_service_without_a_queue_is_found(self) -> None:
        other = dataclasses.replace(SERVICE, name="other")
        self.assert_found(
            dataclasses.replace(SOUND, services=(SERVICE, other)), review.Kind.NO_EFFECT
        )

    def test_queue_that_takes_some_jobs_of_another_one_is_found(self) -> None:
        longer = dataclasses.replace(QUEUE, path_prefix="/quotes/a0")
        found = review.review(dataclasses.replace(SOUND, queues=(QUEUE, longer)))
        self.assertEqual([f.kind for f in found], [review.Kind.CONTRADICTION])
        beside = dataclasses.replace(QUEUE, path_prefix="/quotes/x/")
        self.assertEqual(
            review.review(dataclasses.replace(SOUND, queues=(QUEUE, beside))), []
        )

    def test_contradicting_limits_are_found(self) -> None:
        for of in (
            change_terms(max_attempts=0),
            change_terms(slack_factor=0.5),
            change_terms(allowance_ms=2_000),
            change_terms(priority=-1),
            dataclasses.replace(
                SOUND, services=(dataclasses.replace(SERVICE, is_standby=True),)
            ),
            dataclasses.replace(
                SOUND, services=(dataclasses.replace(SERVICE, connections=0),)
            ),
            dataclasses.replace(
                SOUND, bounds=dataclasses.replace(BOUNDS, body_bytes=100)
            ),
        ):
            self.assert_found(of, review.Kind.CONTRADICTION)

    def test_differences_from_the_version_in_force_are_found(self) -> None:
        added = dataclasses.replace(TERMS, queue="orders")
        new = dataclasses.replace(
            change_queue(timeout_ms=2_000),
            version=8,
        )
        other = dataclasses.replace(QUEUE, path_prefix="/orders/", terms=added)
        new = dataclasses.replace(new, queues=(*new.queues, other))
        details = [(f.place, f.detail) for f in review.review(new, SOUND)]
        self.assertEqual(
            details,
            [("queue orders", "added"), ("queue quotes", "timeout_ms: 1500 -> 2000")],
        )

    def test_version_that_would_change_nothing_is_found(self) -> None:
        found = review.review(SOUND, SOUND)
        self.assertEqual([f.kind for f in found], [review.Kind.NO_EFFECT])


if __name__ == "__main__":
    unittest.main()
