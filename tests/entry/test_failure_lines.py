"""Tests of the log lines of failed attempts."""

import msgspec
from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines


class DigestLineTest(TestCase):
    """Equal requests can be found in the log by their digest."""

    def test_repeated_request_logs_the_same_digest(self):
        """Guards against log lines that identify a request by its id only.

        The id is new each time a caller repeats a request. When engines crash
        one after the other, the lines must show whether they ran the same
        request.
        """
        lines = collect_lines(self)
        cluster = GatewayCluster(desks=1, engines=0)
        (desk,) = cluster.desks.values()
        for body in (b"one", b"one", b"other"):
            desk.faults = [Fault.RESET_BEFORE]
            cluster.ask("/book/x", body=body)
        rows = [msgspec.json.decode(str(line)) for line in lines]
        answered = [r for r in rows if r.get("name") == "ANSWERED"]
        one, again, other = [row["digest"] for row in answered]
        self.assertEqual(one, again)
        self.assertNotEqual(one, other)
