"""SIGHUP in the first moments of a process."""

import os
import pathlib
import signal
import subprocess
import sys

from fixtures import TempDir
from testtools import TestCase

from magnolialug.cmd.flagset import EXIT_BAD_INPUT
from magnolialug.cmd.hangup import Hangups


class HangupsTest(TestCase):
    """A hang-up is kept, and delivered once."""

    def setUp(self):
        super().setUp()
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.hangups = Hangups()
        self.hangups.hold()
        self.delivered = []

    def handler(self, number, frame):
        """Notes a hang-up."""
        self.delivered.append(number)

    def test_one_that_comes_early_is_delivered_once(self):
        os.kill(os.getpid(), signal.SIGHUP)
        self.hangups.deliver_to(self.handler)
        self.hangups.deliver_to(self.handler)
        self.assertEqual([signal.SIGHUP], self.delivered)

    def test_nothing_is_delivered_without_one(self):
        self.hangups.deliver_to(self.handler)
        self.assertEqual([], self.delivered)


class StartTest(TestCase):
    """A gateway that has just been started."""

    def test_a_hang_up_while_the_settings_are_read_does_not_end_it(self):
        """The default action of SIGHUP ends a process."""
        path = pathlib.Path(self.useFixture(TempDir()).path) / "settings.toml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "magnolialug.cmd.gateway"],
            env={**os.environ, "MAGNOLIALUG_SETTINGS": str(path)},
            stderr=subprocess.PIPE,
        )
        with open(path, "w"):
            process.send_signal(signal.SIGHUP)
        _, errors = process.communicate(timeout=20)
        self.assertEqual(EXIT_BAD_INPUT, process.returncode, errors)
