from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import tempfile
import typing
import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.pool import attempt_tracker, messages, shards
from knapweedbeam_server.fleet import endpoint_memory
from knapweedbeam_wire.store import endpoint_file

NEWS = messages.EndpointNews(
    "i-1",
    17,
    4,
    "desk",
    "10.0.0.9:8080",
    "z1",
    messages.EndpointState.UP,
    64_000,
    100,
    0,
    ("a", "r1-3"),
    5,
)
BOUNDS = attempt_tracker.ProtocolBounds(1_000, 50, 1_500)


class Sharding:
    def __init__(self) -> None:
        self.count = 1
        self.endpoints_per_shard = 60
        self.recalled_count = 0

    def get_known_count(self) -> int:
        return self.count


class Host:
    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.shards = shards.ShardedDispatcher("c1", BOUNDS, timer)
        self.sharding: typing.Any = Sharding()

    def run(self, produced: collections.abc.Sequence[typing.Any]) -> None:
        pass


class EndpointMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.clock = clock.ManualClock(50_000, 1_700_000_000_000)
        self.host, self.memory = self.start()

    def start(self) -> tuple[Host, endpoint_memory.EndpointMemory]:
        host = Host(self.clock)
        return host, endpoint_memory.EndpointMemory(host, self.folder)

    def save(self) -> None:
        self.host.shards.on_announcement(NEWS)
        self.host.sharding.count = 2
        self.memory.save()

    def test_endpoints_and_shards_are_known_after_a_restart(self) -> None:
        self.save()
        self.clock.advance(900)
        host, memory = self.start()
        memory.recall()
        (recalled,) = host.shards.list_announcements()
        self.assertEqual(dataclasses.replace(recalled, age_ms=0), NEWS)
        self.assertEqual(recalled.age_ms, 900)
        self.assertEqual(host.sharding.recalled_count, 2)

    def test_announcement_after_the_restart_replaces_what_was_recalled(self) -> None:
        self.save()
        host, memory = self.start()
        memory.recall()
        leaving = messages.EndpointState.LEAVING
        host.shards.on_announcement(
            dataclasses.replace(NEWS, sequence=5, state=leaving)
        )
        (known,) = host.shards.list_announcements()
        self.assertEqual(known.state, leaving)

    def test_division_of_another_setting_is_not_recalled(self) -> None:
        self.save()
        host, memory = self.start()
        host.sharding.endpoints_per_shard = 30
        memory.recall()
        self.assertEqual(host.sharding.recalled_count, 0)
        self.assertEqual(host.shards.count_endpoints(), 1)

    def test_old_file_is_not_used(self) -> None:
        self.save()
        self.clock.advance(endpoint_memory.MAX_AGE_MS + 1)
        host, memory = self.start()
        memory.recall()
        self.assertEqual(host.shards.count_endpoints(), 0)
        self.assertEqual(host.sharding.recalled_count, 0)

    def test_announcement_without_a_change_is_not_written(self) -> None:
        self.save()
        (self.folder / endpoint_file.FILE).unlink()
        self.host.shards.on_announcement(dataclasses.replace(NEWS, sequence=5))
        self.memory.save()
        self.assertIsNone(endpoint_file.read(self.folder))
        self.clock.advance(endpoint_memory.REFRESH_MS)
        self.memory.save()
        self.assertIsNotNone(endpoint_file.read(self.folder))


if __name__ == "__main__":
    unittest.main()
