"""Tests of queries to owners whose caller disconnects."""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines


class LeavingCallerTest(TestCase):
    """A caller disconnects before the owners have replied."""

    def test_cancelled_call_is_not_logged_as_failed_task(self):
        """Guards against TASK_FAILED for a call that was only cancelled.

        A call waits for owners that do not reply, its caller disconnects, and
        the queries for load and parts are cancelled together. A wait for both
        of them wrapped the cancellation in an error of its own.
        """
        lines = collect_lines(self)
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
