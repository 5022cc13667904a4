"""A test that runs a soak as its operators do."""

import json
import subprocess
import sys

import fixtures
from testtools import TestCase

__all__ = ["SoakTestCase"]

_LIMIT_S = 90


class SoakTestCase(TestCase):
    """Short runs of real processes."""

    def soak(self, *flags):
        """Runs a soak; returns its exit code and its report."""
        folder = self.useFixture(fixtures.TempDir()).path
        ended = subprocess.run(
            [
                sys.executable,
                "-m",
                "magnolialug.cmd.soak",
                "--log_level=ERROR",
                f"--out={folder}",
                *flags,
            ],
            capture_output=True,
            text=True,
            timeout=_LIMIT_S,
            check=False,
        )
        self.assertTrue(ended.stdout, ended.stderr)
        return ended.returncode, json.loads(ended.stdout)
