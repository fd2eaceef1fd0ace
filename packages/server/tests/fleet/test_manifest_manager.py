from __future__ import annotations

import json
import typing
import unittest

from knapweedbeam_core import effects
from knapweedbeam_core.fleet import messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_server.fleet import manifest_manager

ROUTES = [
    {
        "name": f"r-{number}",
        "host": "a.example",
        "pathPrefix": f"/q{number}/",
        "service": "s1",
        "timeoutMs": 1_500,
        "targetRuntimeMs": 60,
    }
    for number in range(1_300)
]
BODY = json.dumps(
    {"version": 7, "routes": ROUTES, "services": [{"name": "s1"}]}
).encode()


def decode(body: bytes) -> manifest.Manifest:
    bounds = manifest.RequestBounds(16_384, 262_144, 3_000, 15_000)
    return manifest.Manifest(json.loads(body)["version"], (), (), bounds, body)


class Host:
    def __init__(self) -> None:
        self.log = None
        self.sent: list[effects.Send] = []

    def send(self, effect: effects.Send) -> None:
        self.sent.append(effect)

    def get_control_address(self, name: str) -> str:
        return ""


class ManifestNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.host = Host()
        self.sender = self.build()
        self.sender.apply_manifest(7, BODY)

    def build(self) -> manifest_manager.ManifestManager:
        return manifest_manager.ManifestManager(self.host, decode)

    def test_large_manifest_holds_a_slow_link_for_less_than_an_answer_takes(
        self,
    ) -> None:
        """At 9.5 Mbit/s; jobs of callers wait behind it on their way."""
        self.sender.send_newer("e1", 6)
        (sent,) = self.host.sent
        news = typing.cast(messages.ManifestNews, sent.message)
        self.assertLess(len(news.packed) * 8 / 9_500, 30)
        receiver = self.build()
        receiver.on_news(news)
        assert receiver.queue_router is not None
        self.assertEqual(receiver.queue_router.manifest.body, BODY)

    def test_process_with_the_same_version_gets_none(self) -> None:
        self.sender.send_newer("e1", 7)
        self.assertEqual(self.host.sent, [])

    def test_news_that_cannot_be_read_change_nothing(self) -> None:
        for packed in (b"", b"no zlib", b"\x00" * 40):
            self.sender.on_news(messages.ManifestNews(8, packed))
        self.assertEqual(self.sender.get_version(), 7)


if __name__ == "__main__":
    unittest.main()
