from __future__ import annotations

import unittest

from bench.pool import stored_simulation
from knapweedbeam_core.manifests import machine as manifest_machine
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.stored import commands, ledger, machine, messages

NOW_MS = 1_700_000_000_000


def build_job(job_id: str = "j", count: int = 2, **more: object) -> messages.StoredJob:
    fields: dict[str, object] = {
        "job_id": job_id,
        "terms": manifest.Terms("q", "s", 0, 2, 1.6, 60),
        "spec": "text",
        "steps": (stored_simulation.build_step(count),),
    }
    return messages.StoredJob(**(fields | more))  # type: ignore[arg-type]


def build_end(task: str, number: int = 1, is_done: bool = True) -> messages.NotedEnd:
    return messages.NotedEnd("e", 1, 1, task, number, is_done)


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ledger.Ledger()
        self.ledger.apply(commands.RegisterDispatcher(5), NOW_MS)

    def record(self, *ends: messages.NotedEnd, fence: int = 5) -> ledger.Change | None:
        return self.ledger.apply(commands.RecordEnds(fence, ends), NOW_MS)

    def get_verdict(self, job_id: str = "j") -> str:
        return str(self.ledger.entries[job_id].verdict)

    def test_an_end_counts_once(self) -> None:
        self.ledger.apply(commands.Accept(build_job()), NOW_MS)
        for _ in range(3):
            self.record(build_end("j.0.0.0"))
        self.assertEqual(self.get_verdict(), "active")
        self.record(build_end("j.0.0.1"))
        self.assertEqual(self.get_verdict(), "complete")

    def test_a_failed_attempt_counts_once(self) -> None:
        self.ledger.apply(commands.Accept(build_job()), NOW_MS)
        for _ in range(3):
            self.record(build_end("j.0.0.0", 1, False))
        self.assertEqual(self.get_verdict(), "active")
        self.record(build_end("j.0.0.0", 2, False))
        self.assertEqual(self.get_verdict(), "failed")

    def test_tasks_of_a_gang_fail_and_complete_together(self) -> None:
        step = stored_simulation.build_step(3, is_gang=True)
        self.ledger.apply(commands.Accept(build_job(steps=(step,))), NOW_MS)
        self.record(build_end("j.0.0.0", 1, False), build_end("j.0.0.1", 1, False))
        self.assertEqual(self.get_verdict(), "active")
        self.record(build_end("j.0.0.2", 2))
        self.assertEqual(self.get_verdict(), "complete")

    def test_each_occurrence_has_its_own_ends(self) -> None:
        job = build_job(count=1, repeat_count=2)
        self.ledger.apply(commands.Accept(job), NOW_MS)
        self.record(build_end("j.1.0.0"))
        self.assertEqual(self.get_verdict(), "active")
        self.record(build_end("j.0.0.0"))
        self.assertEqual(self.get_verdict(), "complete")

    def test_ends_of_a_replaced_dispatcher_are_ignored(self) -> None:
        self.ledger.apply(commands.Accept(build_job(count=1)), NOW_MS)
        self.ledger.apply(commands.RegisterDispatcher(6), NOW_MS)
        self.assertIsNone(self.record(build_end("j.0.0.0")))
        self.assertEqual(self.get_verdict(), "queued")
        self.assertIsNone(self.ledger.apply(commands.RegisterDispatcher(5), NOW_MS))
        registered = self.ledger.apply(commands.RegisterDispatcher(6), NOW_MS)
        self.assertEqual(registered, ledger.DispatcherRegistered(6, 2))

    def test_an_ended_job_does_not_change(self) -> None:
        self.ledger.apply(commands.Accept(build_job(count=1)), NOW_MS)
        self.ledger.apply(commands.Cancel("j"), NOW_MS)
        self.record(build_end("j.0.0.0"))
        self.ledger.apply(commands.Accept(build_job(count=1)), NOW_MS)
        self.assertEqual(self.get_verdict(), "cancelled")

    def test_ended_jobs_are_removed_after_the_retention_time(self) -> None:
        self.ledger.apply(commands.Accept(build_job(count=1)), NOW_MS)
        self.ledger.apply(commands.Accept(build_job("k")), NOW_MS)
        self.record(build_end("j.0.0.0"))
        later_ms = NOW_MS + ledger.ENDED_RETENTION_MS
        self.ledger.apply(commands.Cancel("x"), later_ms - 1)
        self.assertIn("j", self.ledger.entries)
        self.ledger.apply(commands.Cancel("x"), later_ms)
        self.assertEqual(list(self.ledger.entries), ["k"])

    def test_ends_without_a_matching_job_change_nothing(self) -> None:
        self.ledger.apply(commands.Accept(build_job()), NOW_MS)
        for task in ("x.0.0.0", "j.0.7.0", "j", "j.a.0.0", ""):
            self.record(build_end(task))
        self.assertEqual(self.get_verdict(), "queued")


class MachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = machine.DeploymentStateMachine()

    def apply(self, *new_commands: commands.Command) -> None:
        batch = commands.Batch(NOW_MS, new_commands)
        self.machine.apply(1, commands.ENCODER.encode(batch))

    def test_the_highest_manifest_wins_in_any_order(self) -> None:
        for version in (3, 9, 7):
            self.apply(manifest_machine.StoredManifest(version, b"{}"))
        self.assertEqual(self.machine.manifests.stored.version, 9)

    def test_other_content_with_the_current_version_changes_nothing(self) -> None:
        self.apply(manifest_machine.StoredManifest(3, b"first"))
        self.apply(manifest_machine.StoredManifest(3, b"second"))
        self.assertEqual(self.machine.manifests.stored.body, b"first")

    def test_a_snapshot_restores_the_complete_state(self) -> None:
        self.apply(
            manifest_machine.StoredManifest(3, b"first"), commands.RegisterDispatcher(5)
        )
        self.apply(commands.Accept(build_job()), commands.Accept(build_job("k")))
        ends = (build_end("j.0.0.1"), build_end("j.0.0.0", 1, False))
        self.apply(commands.RecordEnds(5, ends), commands.Cancel("k"))
        other = machine.DeploymentStateMachine()
        other.restore(self.machine.take_snapshot())
        self.assertEqual(other.manifests.stored, self.machine.manifests.stored)
        self.assertEqual(other.ledger.state, self.machine.ledger.state)
        self.assertEqual(other.ledger.ended, self.machine.ledger.ended)
        self.assertEqual((other.restores, other.take_changes()), (1, []))


if __name__ == "__main__":
    unittest.main()
