"""PendingQueries to owners while a caller waits, and leaves."""

from loguru import logger
from testtools import TestCase

from magnolialug import events
from magnolialug.policy.loglimiter import LogLimiter
from tests.gatewaycluster import GatewayCluster


class LeavingCallerTest(TestCase):
    """A caller leaves before the owners have answered."""

    def test_a_call_that_is_given_up_is_no_failed_task(self):
        """A machine stands still; its callers leave before it wakes.

        Symptom: line 9000 TASK_FAILED with a traceback for a call that was
        only given up. Sequence: a call waits for owners that do not answer, its
        caller leaves, both questions are cancelled at once. Cause: what waits
        for both wraps the cancellation in an error of its own.
        """
        lines = []
        events._bounds = LogLimiter()
        sink = logger.add(lines.append, format="{message}")
        self.addCleanup(logger.remove, sink)
        cluster = GatewayCluster(engines=4, vms=("front-1", "front-2"))
        cluster.add_store()
        cluster.net.loses_datagram = lambda sender, receiver: True
        for path in ("/draft/x", "/check/x", "/read/x"):
            caller = cluster.send(path)
            cluster.net.advance_by(0.006, 0.001)
            caller.pipe.loseConnection()
            cluster.pass_time(0.1)
        self.assertEqual([], [row for row in lines if "TASK_FAILED" in row])
        self.assertEqual(0, cluster.gateway.in_progress)
        self.assertEqual([], cluster.seen())
