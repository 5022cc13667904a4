"""Machines of the soak: what their processes find when they start."""

import pathlib

import fixtures
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.soak.block import Block
from magnolialug.soak.machine import Machine


class SettingsTest(TestCase):
    """Settings that change while a process starts."""

    def test_a_reader_never_finds_half_of_the_settings(self):
        """Guards against a process that ends as its settings are written."""
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        block = Block()
        self.addCleanup(block.release)
        machine = Machine(0, block, Clock(), (), folder, lambda *_: None)
        machine.write_settings()
        path = folder / "vm-0.toml"
        before = path.read_text()
        with path.open() as reader:
            machine.write_settings(retry_ratio=0.15)
            self.assertEqual(before, reader.read())
        self.assertIn("0.15", path.read_text())
