"""The quarantine as operators see it."""

import msgspec
from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.ctl.quarantine import quarantine_lines, release
from magnolialug.ctl.records import read_records
from magnolialug.quarantine.quarantinelist import QUARANTINE_KEYS
from magnolialug.result import Code
from magnolialug.standin.kv import KvStore


class BarsTest(TestCase):
    """What the commands read and remove."""

    def setUp(self):
        super().setUp()
        self.kv = KvStore(Clock())
        value = msgspec.json.encode({"ended": ["i-1", "i-2", "i-3"]})
        self.kv._write(QUARANTINE_KEYS + "aa", value, 0)
        self.kv._write(QUARANTINE_KEYS + "bb", b"nonsense", 0)
        self.kv._write("magnolialug/entries/vm", b"{}", 0)

    def result(self, work):
        """Returns what a command returns."""
        found = []
        ensureDeferred(work).addCallback(found.append)
        return found[0]

    def test_each_bar_has_a_line(self):
        one, other = self.result(quarantine_lines(self.kv))
        self.assertEqual("aa i-1 i-2 i-3", one)
        self.assertTrue(other.startswith("bb malformed"))

    def test_a_value_nested_deep_is_told_as_malformed(self):
        """Guards against a list that one value keeps from operators."""
        self.kv._write(QUARANTINE_KEYS + "cc", b'{"ended":' * 3000, 0)
        lines = self.result(quarantine_lines(self.kv))
        self.assertEqual(3, len(lines))
        self.assertTrue(lines[-1].startswith("cc malformed"))
        deep = '{"event":' * 3000
        self.assertEqual([], list(read_records([deep, "none"])))

    def test_a_pattern_is_told_with_its_parts(self):
        row = {"ended": ["i-1"], "pattern": ["llm", "", ["dead", "s"]]}
        value = msgspec.json.encode(row)
        self.kv._write(QUARANTINE_KEYS + "cc", value, 0)
        line = self.result(quarantine_lines(self.kv))[-1]
        self.assertEqual("cc i-1 llm, any team, parts dead s", line)

    def test_a_request_is_released_once(self):
        self.assertIsNone(self.result(release(self.kv, "aa")))
        self.assertEqual(1, len(self.result(quarantine_lines(self.kv))))
        failure = self.result(release(self.kv, "aa"))
        self.assertEqual(Code.UNKNOWN_REQUEST, failure.code)

    def test_a_service_that_is_down_is_said(self):
        self.kv.faults.down = True
        self.assertIsInstance(self.result(quarantine_lines(self.kv)).code, Code)
        self.assertIsInstance(self.result(release(self.kv, "aa")).code, Code)
