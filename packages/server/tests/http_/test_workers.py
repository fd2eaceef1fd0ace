from __future__ import annotations

import unittest

import msgspec

from knapweedbeam_core import outcomes
from knapweedbeam_core.entry import parts
from knapweedbeam_server.http import auth, router, workers

CALLER = auth.Caller()
BODY = {
    "service": "quotes",
    "address": "http://127.0.0.1:9100",
    "domain": "d",
    "worker": "w",
    "incarnation": 1,
    "sequence": 1,
    "slots": 8,
    "connections": 64,
    "state": "up",
}


class Service:
    def __init__(self) -> None:
        self.announced: list[str] = []

    def announce(
        self, announcement: parts.Announcement
    ) -> parts.EndpointLease | outcomes.Refusal:
        self.announced.append(announcement.address)
        return parts.EndpointLease(1_000, 500)

    def report_usage(self, report: parts.UsageReport) -> None:
        raise AssertionError


class AnnounceTest(unittest.TestCase):
    def announce(self, address: str) -> int:
        body = msgspec.json.encode(BODY | {"address": address})
        request = router.Request("PUT", ("e1",), {}, body, CALLER, "")
        return workers.WorkerApi(self.service).announce(request).status

    def setUp(self) -> None:
        self.service = Service()

    def test_address_that_nobody_can_connect_to_is_refused(self) -> None:
        for address in (
            "http://127.0.0.1:99999",
            "http://127.0.0.1:0",
            "http://:80",
            "https://127.0.0.1:80",
            "127.0.0.1:80",
        ):
            self.assertEqual(self.announce(address), 400, address)
        self.assertEqual(self.service.announced, [])
        self.assertEqual(self.announce("http://127.0.0.1:9100"), 200)
