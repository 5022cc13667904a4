"""What the lines of a failed attempt tell."""

import msgspec
from loguru import logger
from testtools import TestCase

from magnolialug import events
from magnolialug.policy.loglimiter import LogLimiter
from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster


class DigestLineTest(TestCase):
    """Two requests that are the same can be found in the logs."""

    def test_a_request_that_comes_again_is_known_by_its_digest(self):
        """A caller sends the same request twice, and both answers break off.

        Symptom: engines end one after the other, and no line shows whether
        they ran the same request. Cause: lines name a request by its id only,
        which is new each time.
        """
        lines = []
        events._bounds = LogLimiter()
        sink = logger.add(lines.append, format="{message}")
        self.addCleanup(logger.remove, sink)
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
