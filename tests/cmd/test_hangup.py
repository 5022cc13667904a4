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

START = pathlib.Path(__file__).parents[2] / "deploy" / "start-gateway"


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

    def test_a_hang_up_before_the_first_line_does_not_end_it(self):
        """Guards against an end while the interpreter starts."""
        told = subprocess.run(
            [START, "sh", "-c", "kill -HUP $$; echo alive"],
            capture_output=True,
            timeout=20,
        )
        self.assertEqual((0, b"alive\n"), (told.returncode, told.stdout))

    def test_a_hang_up_is_taken_by_the_program_and_no_longer_ignored(self):
        """Guards against settings that are never read again."""
        path = pathlib.Path(self.useFixture(TempDir()).path) / "settings.toml"
        os.mkfifo(path)
        process = subprocess.Popen(
            [START, sys.executable, "-m", "magnolialug.cmd.gateway"],
            env={**os.environ, "MAGNOLIALUG_SETTINGS": str(path)},
            stderr=subprocess.DEVNULL,
        )
        with open(path, "w"):
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        process.wait(timeout=20)
        masks = dict(line.split(":\t", 1) for line in status.splitlines())
        hang_up = 1 << (signal.SIGHUP - 1)
        self.assertEqual(0, int(masks["SigIgn"], 16) & hang_up)
        self.assertEqual(hang_up, int(masks["SigCgt"], 16) & hang_up)

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
