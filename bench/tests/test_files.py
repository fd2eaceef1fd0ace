from __future__ import annotations

import pathlib
import tempfile
import unittest

from bench import cluster, deployment, files
from knapweedbeam_core.bundles import model, signing
from knapweedbeam_server.config import load, settings


class FilesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = files.RunFolder(pathlib.Path(folder.name))

    def test_every_deployment_gets_valid_settings_and_a_valid_bundle(self) -> None:
        for shape in deployment.SHAPES.values():
            with self.subTest(shape.name):
                plan = deployment.build_deployment(shape, 77)
                run_secrets = files.build_secrets()
                files.write_keys(self.folder)
                for vm in plan.vms:
                    options = files.ServerOptions(policy="random")
                    files.write_settings(self.folder, plan, vm, run_secrets, options)
                    read = load.load_settings(self.folder.get_settings(vm.name))
                    self.assertIsInstance(read, settings.Settings)
                text = files.build_bundle(plan, run_secrets, 1)
                self.assertIsInstance(model.parse_bundle(text), model.Bundle)
                signed = signing.parse_signed(text)
                assert isinstance(signed, signing.Signed)
                keys = [run_secrets.operator_public]
                self.assertTrue(signing.verify_signatures(signed, keys, 1))

    def test_two_runs_never_share_a_block_of_addresses(self) -> None:
        first, second = cluster.reserve_block(), cluster.reserve_block()
        self.addCleanup(first.release)
        self.addCleanup(second.release)
        self.assertNotEqual(first.number, second.number)
