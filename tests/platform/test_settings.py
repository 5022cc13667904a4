"""The platform's settings file, whole and with every field wrong."""

import os
import tempfile

from testtools import TestCase

from magnolialug.platform.settings import Settings, read_settings
from magnolialug.result import Code

WHOLE = """
nodeName = "front-1"
zone = "a"
region = "r"
ipAddress = "10.1.0.19"
internalPortRange = [7580, 7595]
bootstrap = true
heartbeatMs = 1200
newField = "ignored"
[zones]
a = "r"
[bindAddresses]
front = "10.1.0.19:8749"
ready = "10.1.0.19:8741"
[bounds]
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 54
leaseMs = 3000
thawSlackMs = 300
versionMs = 12000
[limits]
cpuShare = 0.5
cpuCores = 3
[platform]
address = "10.200.1.7:8744"
writesPerS = 400
readsPerS = 2000
ttlMinMs = 1000
"""


class SettingsTest(TestCase):
    """What the file says, in the project's words and units."""

    def read(self, text):
        """Returns what a file with this text is read as."""
        handle, path = tempfile.mkstemp(suffix=".toml")
        self.addCleanup(os.unlink, path)
        with os.fdopen(handle, "w") as file:
            file.write(text)
        return read_settings(path)

    def test_a_whole_file(self):
        settings = self.read(WHOLE)
        self.assertEqual("front-1", settings.vm)
        self.assertEqual(("10.1.0.19", 8749), settings.callers)
        self.assertEqual(7580, settings.internal_port)
        self.assertEqual(2.0, settings.bounds.drain_s)
        self.assertEqual(3.0, settings.bounds.lease_s)
        self.assertEqual(("10.200.1.7", 8744), settings.store.address)
        self.assertEqual(1.5, settings.cores)

    def test_a_role_without_callers(self):
        text = WHOLE.replace('front = "10.1.0.19:8749"\n', "")
        self.assertIsNone(self.read(text).callers)

    def test_wrong_fields_are_named_with_their_values(self):
        cases = (
            # what stands there, what stands instead, field, value
            ('nodeName = "front-1"\n', "", "nodeName", ""),
            ("graceS = 8", 'graceS = "8"', "bounds.graceS", "8"),
            ("drainMs = 2000", "drainMs = -1", "bounds.drainMs", "-1"),
            ("drainMs = 2000", "drainMs = true", "bounds.drainMs", "True"),
            ("cpuShare = 0.5", 'cpuShare = ""', "limits.cpuShare", ""),
            ("bootstrap = true", "bootstrap = 1", "bootstrap", "1"),
            (
                'address = "10.200.1.7:8744"',
                'address = "10.200.1.7"',
                "platform.address",
                "10.200.1.7",
            ),
            (
                'ready = "10.1.0.19:8741"',
                'ready = ":x"',
                "bindAddresses.ready",
                ":x",
            ),
            (
                "internalPortRange = [7580, 7595]",
                "internalPortRange = []",
                "internalPortRange",
                "[]",
            ),
        )
        for old, new, field, value in cases:
            failure = self.read(WHOLE.replace(old, new))
            self.assertEqual(Code.BAD_SETTINGS, failure.code, field)
            self.assertTrue(failure.field.endswith(f": {field}"), failure)
            self.assertEqual(value, failure.value, field)

    def test_a_missing_or_broken_file(self):
        self.assertEqual(Code.BAD_SETTINGS, read_settings("/none").code)
        for text in ("a = ", "\x00"):
            failure = self.read(text)
            self.assertEqual(Code.BAD_SETTINGS, failure.code)
            self.assertIn(".toml", failure.field)

    def test_fields_that_are_not_known_are_passed_over(self):
        self.assertIsInstance(self.read(WHOLE), Settings)
