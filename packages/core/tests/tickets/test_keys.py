from __future__ import annotations

import random
import unittest

from knapweedbeam_core import effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    coordinator,
    key_messages,
    range_assignment,
    ranges,
)
from tickets import simulation

FIRST = range_assignment.build_initial_assignment("a1", "a", simulation.PEERS)
WITHOUT_A1 = range_assignment.RangeAssignment(2, {"a": ("a2", "a3"), "b": ("b1",)})


class AnswersBeforeSecondRegistrar(coordinator.Coordinator):
    """A registrar that answers before the second one has recorded the claim."""

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        produced = super().on_message(sender, message)
        if not isinstance(message, key_messages.ClaimKey):
            return produced
        key_range = self.registrar.find_range(message.epoch, message.digest)
        if key_range is None or message.digest not in key_range.claims:
            return produced
        claim = key_range.claims[message.digest]
        claimed = key_messages.KeyClaimed(message.ticket, claim.ticket)
        return [*produced, effects.Send(sender.name, claimed)]


def get_key(registrars: tuple[str, ...], number: int = 0) -> str:
    """Return an own key that the processes of `registrars` register."""
    matching = [
        key for key in map(str, range(400)) if get_registrars(key) == registrars
    ]
    return matching[number]


def get_registrars(key: str) -> tuple[str, ...]:
    digest = range_assignment.get_key_digest(simulation.KEY, simulation.MEMBER, key)
    return FIRST.get_registrars(
        FIRST.get_home_domain(digest), range_assignment.get_range(digest)
    )


class KeysTest(unittest.TestCase):
    def build(
        self, build: type[coordinator.Coordinator] = coordinator.Coordinator
    ) -> simulation.Simulation:
        run = simulation.Simulation(random.Random(3), build)
        run.heal_and_drain()
        return run

    def run_key(self, build: type[coordinator.Coordinator], lost: str) -> int:
        """Claim a key, crash its deciding registrar, and claim it again."""
        run = self.build(build)
        key = get_key(("a1", "a2"))
        run.submit_new("b1", key)
        run.flush_to("a1")
        run.in_flight = [
            envelope
            for envelope in run.in_flight
            if type(envelope.message).__name__ != lost
        ]
        run.flush()
        for text in list(run.processes["b1"].queued_jobs):
            run.run_step("b1", text)
            run.flush()
            run.run_step("b1", text)
        run.crash("a1")
        run.heal_and_drain()
        run.submit_new("a3", key)
        run.heal_and_drain()
        return len({task.ticket for task in run.starts})

    def test_claim_is_answered_after_both_registrars_recorded_it(self) -> None:
        self.assertEqual(self.run_key(coordinator.Coordinator, ""), 1)
        self.assertEqual(self.run_key(coordinator.Coordinator, "RecordClaim"), 1)
        with self.assertRaisesRegex(simulation.BreachError, "own key .* started twice"):
            self.run_key(AnswersBeforeSecondRegistrar, "RecordClaim")

    def test_range_stays_closed_after_both_registrars_restarted(self) -> None:
        run = self.build()
        key = get_key(("a1", "a2"))
        run.submit_new("b1", key)
        run.heal_and_drain()
        for name in ("a1", "a2"):
            run.crash(name)
        run.submit_new("a3", key)
        run.heal_and_drain()
        self.assertEqual(len({task.ticket for task in run.starts}), 1)
        run.advance(ranges.CLAIM_RETENTION_MS + 1)
        run.heal_and_drain()
        run.handles.clear()
        run.submit_new("a3", key)
        run.heal_and_drain()
        self.assertEqual(len({task.ticket for task in run.starts}), 2)

    def test_sealed_registrar_hands_over_to_the_next_epoch(self) -> None:
        run = self.build()
        claimed, late = (get_key(("a1", "a2"), number) for number in (0, 1))
        run.submit_new("b1", claimed)
        run.heal_and_drain()
        for name in ("a2", "a3", "b1"):
            run.processes[name].coordinator.on_assignment(WITHOUT_A1)
        run.submit_new("a1", late)
        for key in (claimed, late):
            run.submit_new("a3", key)
            run.submit_new("b1", key)
        run.heal_and_drain()
        self.assertEqual(len({task.ticket for task in run.starts}), 2)
        for name in ("a2", "a3"):
            held = run.processes[name].coordinator.registrar.ranges.held.values()
            self.assertTrue(all(key_range.complete for key_range in held))

    def test_next_epoch_waits_until_a_registrar_has_sealed_the_range(self) -> None:
        run = self.build()
        key = get_key(("a1", "a2"))
        run.submit_new("b1", key)
        run.heal_and_drain()
        run.processes["a3"].coordinator.on_assignment(WITHOUT_A1)
        index = range_assignment.get_range(
            range_assignment.get_key_digest(simulation.KEY, simulation.MEMBER, key)
        )
        run.heal_and_drain()
        self.assertFalse(
            run.processes["a3"].coordinator.registrar.ranges.held[index].complete
        )
        run.processes["a2"].coordinator.on_assignment(WITHOUT_A1)
        run.heal_and_drain()
        self.assertTrue(
            run.processes["a3"].coordinator.registrar.ranges.held[index].complete
        )
