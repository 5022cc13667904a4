"""The registered endpoints as operators see them."""

import msgspec
from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.ctl.endpoints import endpoint_lines
from magnolialug.result import Code, Failure
from magnolialug.standin.kv import KvStore


class EndpointLinesTest(TestCase):
    """What keeps new work from an endpoint stands in its line."""

    def setUp(self):
        super().setUp()
        self.kv = KvStore(Clock())

    def list(self, endpoint, zone, state="ready", cold_ms=0):
        """Writes an endpoint's entry."""
        row = {
            "service": "desk",
            "address": "10.0.0.1:80",
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldRemainingMs": cold_ms,
            "sequence": 1,
        }
        self.kv._write(f"servers/{endpoint}", msgspec.json.encode(row), 0)

    def lines(self):
        """Returns what the command prints, or its failure."""
        found = []
        ensureDeferred(endpoint_lines(self.kv)).addCallback(found.append)
        return found[0]

    def test_each_state_is_named(self):
        self.list("i-1", "a")
        self.list("i-2", "a", state="draining")
        self.list("i-3", "a", cold_ms=2100)
        self.list("i-4", "b")
        self.kv._write("op/evacuate/b", b"{}", 0)
        self.assertEqual(
            [
                "zone b evacuated",
                "a desk i-1 10.0.0.1:80 up",
                "a desk i-2 10.0.0.1:80 leaving",
                "a desk i-3 10.0.0.1:80 cold for 2.1 s at its last change",
                "b desk i-4 10.0.0.1:80 evacuated",
            ],
            self.lines(),
        )

    def test_an_entry_that_cannot_be_read_is_said(self):
        self.kv._write("servers/i-1", b"nonsense", 0)
        (line,) = self.lines()
        self.assertTrue(line.startswith("servers/i-1 malformed: "), line)

    def test_a_service_that_is_down_is_said(self):
        self.kv.faults.down = True
        failure = self.lines()
        self.assertIsInstance(failure, Failure)
        self.assertEqual(Code.KV_TIMEOUT, failure.code)
