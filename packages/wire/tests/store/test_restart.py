from __future__ import annotations

import pathlib
import random
import tempfile
import unittest

from knapweedbeam_core import clock, ids
from knapweedbeam_core.bundles import signing, template
from knapweedbeam_core.control import control
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import records
from knapweedbeam_wire.store import store

PRIVATE, PUBLIC = signing.generate_key()
SETTLE_TICKS = 200
TICK_MS = 20


def build_bundle(version: int) -> str:
    text = template.build_bundle_text({"op": PUBLIC}, {"d": ["a"]})
    text = text.replace("version = 1", f"version = {version}")
    signed = signing.sign_bundle(text + f"# {'x' * 9_000}\n", PRIVATE)
    assert isinstance(signed, str)
    return signed


class ControlVm:
    """One incarnation of a single control VM on a data folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.store = store.Store(folder, lambda work: work())
        restored = self.store.load()
        assert isinstance(restored, records.RestoredState), restored
        self.clock = clock.ManualClock()
        self.answers: dict[int, parts.ProposalAnswered] = {}
        self.control = control.Control(
            ids.ProcessId("a", 1),
            "d",
            (),
            True,
            restored,
            (PUBLIC,),
            1,
            self.clock,
            random.Random(1),
        )
        self.run_ticks()

    def run_ticks(self) -> None:
        for _ in range(SETTLE_TICKS):
            self.clock.advance(TICK_MS)
            self.apply_effects(self.control.tick())

    def apply_effects(self, effects: parts.Effects) -> None:
        for effect in effects:
            if isinstance(effect, parts.Persist):
                failure = self.store.apply(effect)
                assert failure is None
                self.apply_effects(self.control.persisted(effect.batch))
            if isinstance(effect, parts.ProposalAnswered):
                self.answers[effect.call] = effect

    def propose_bundle(self, version: int) -> None:
        self.apply_effects(self.control.propose(version, build_bundle(version)))
        self.run_ticks()
        assert isinstance(self.answers[version].answer, parts.Accepted)


class RestartTest(unittest.TestCase):
    def test_accepted_bundles_survive_each_restart(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            for version in range(1, 31):
                control_vm = ControlVm(folder)
                self.assertEqual(control_vm.control.get_status().version, version - 1)
                control_vm.propose_bundle(version)
                control_vm.store.close()
            size = sum(path.stat().st_size for path in folder.iterdir())
            snapshot = ControlVm(folder).control.replica.wal.snapshot_bytes
            self.assertLess(size, 4 * len(snapshot))
