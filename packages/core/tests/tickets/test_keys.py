from __future__ import annotations

import random
import unittest

from knapweedbeam_core import effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import coordinator, key_messages, ranges, roster
from tickets import world

FIRST = roster.build_roster("a1", "a", world.PEERS)
WITHOUT_A1 = roster.Roster(2, {"a": ("a2", "a3"), "b": ("b1",)})


class ClaimsAlone(coordinator.Coordinator):
    """A registrar that answers before the second one has recorded the claim."""

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        done = super().on_message(sender, message)
        if not isinstance(message, key_messages.ClaimKey):
            return done
        held = self.registrar.find(message.epoch, message.digest)
        if held is None or message.digest not in held.claims:
            return done
        claim = held.claims[message.digest]
        claimed = key_messages.KeyClaimed(message.ticket, claim.ticket)
        return [*done, effects.Send(sender.name, claimed)]


def get_key(pair: tuple[str, ...], number: int = 0) -> str:
    """Return an own key that the processes of `pair` register."""
    found = [key for key in map(str, range(400)) if get_pair(key) == pair]
    return found[number]


def get_pair(key: str) -> tuple[str, ...]:
    digest = roster.get_key_digest(world.KEY, world.MEMBER, key)
    return FIRST.get_pair(FIRST.get_home(digest), roster.get_range(digest))


class KeysTest(unittest.TestCase):
    def build(
        self, build: type[coordinator.Coordinator] = coordinator.Coordinator
    ) -> world.World:
        run = world.World(random.Random(3), build)
        run.settle_down()
        return run

    def run_key(self, build: type[coordinator.Coordinator], lost: str) -> int:
        """Claim a key, lose its deciding registrar, and claim it again."""
        run = self.build(build)
        key = get_key(("a1", "a2"))
        run.submit_new("b1", key)
        run.flush_to("a1")
        run.pool = [a for a in run.pool if type(a.message).__name__ != lost]
        run.flush()
        for text in list(run.up["b1"].held):
            run.work("b1", text)
            run.flush()
            run.work("b1", text)
        run.crash("a1")
        run.settle_down()
        run.submit_new("a3", key)
        run.settle_down()
        return len({task.ticket for task in run.starts})

    def test_registrar_answers_what_both_have_recorded(self) -> None:
        self.assertEqual(self.run_key(coordinator.Coordinator, ""), 1)
        self.assertEqual(self.run_key(coordinator.Coordinator, "RecordClaim"), 1)
        with self.assertRaisesRegex(world.BreachError, "own key .* started twice"):
            self.run_key(ClaimsAlone, "RecordClaim")

    def test_range_is_closed_while_both_its_registrars_forgot(self) -> None:
        run = self.build()
        key = get_key(("a1", "a2"))
        run.submit_new("b1", key)
        run.settle_down()
        for name in ("a1", "a2"):
            run.crash(name)
        run.submit_new("a3", key)
        run.settle_down()
        self.assertEqual(len({task.ticket for task in run.starts}), 1)
        run.advance(ranges.KEEP_MS + 1)
        run.settle_down()
        run.handles.clear()
        run.submit_new("a3", key)
        run.settle_down()
        self.assertEqual(len({task.ticket for task in run.starts}), 2)

    def test_sealed_registrar_hands_over_to_the_next_epoch(self) -> None:
        run = self.build()
        claimed, late = (get_key(("a1", "a2"), number) for number in (0, 1))
        run.submit_new("b1", claimed)
        run.settle_down()
        for name in ("a2", "a3", "b1"):
            run.up[name].part.on_roster(WITHOUT_A1)
        run.submit_new("a1", late)
        for key in (claimed, late):
            run.submit_new("a3", key)
            run.submit_new("b1", key)
        run.settle_down()
        self.assertEqual(len({task.ticket for task in run.starts}), 2)
        for name in ("a2", "a3"):
            held = run.up[name].part.registrar.ranges.held.values()
            self.assertTrue(all(one.complete for one in held))

    def test_next_epoch_waits_for_a_sealed_registrar(self) -> None:
        run = self.build()
        key = get_key(("a1", "a2"))
        run.submit_new("b1", key)
        run.settle_down()
        run.up["a3"].part.on_roster(WITHOUT_A1)
        index = roster.get_range(roster.get_key_digest(world.KEY, world.MEMBER, key))
        run.settle_down()
        self.assertFalse(run.up["a3"].part.registrar.ranges.held[index].complete)
        run.up["a2"].part.on_roster(WITHOUT_A1)
        run.settle_down()
        self.assertTrue(run.up["a3"].part.registrar.ranges.held[index].complete)
