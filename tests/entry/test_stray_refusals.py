"""Bytes behind an answer that look like a refusal and bear no id."""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster

_STRAY = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class StrayRefusalTest(TestCase):
    """A faulty endpoint sends a stray refusal where an answer is expected."""

    def test_a_booking_that_runs_is_not_told_of_as_refused(self):
        """Guards against a caller who books again what has run."""
        cluster = GatewayCluster(desks=1)
        (desk,) = cluster.desks.values()
        answer = desk.answer

        def stray(conn, req):
            if any(one.request_id for one in desk.seen[:-1]):
                conn.send(_STRAY)
            answer(conn, req)

        first = cluster.ask("/book/x", body=b"x")
        self.assertEqual(200, first.last.status)
        desk.answer = stray
        second = cluster.ask("/book/x", body=b"y")
        self.assertEqual(1, cluster.ran(second.request_id))
        self.assertEqual(200, second.last.status)

    def test_a_refusal_without_an_id_on_a_new_connection_is_one(self):
        """Guards against a caller who waits for an answer to a refusal."""
        cluster = GatewayCluster(desks=1)
        (desk,) = cluster.desks.values()
        desk.answer = lambda conn, req: conn.send(_STRAY)
        caller = cluster.ask("/book/x", body=b"x")
        self.assertEqual(503, caller.last.status)
