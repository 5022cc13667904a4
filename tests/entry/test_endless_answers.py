"""An endpoint whose answers never end, beside a sound one."""

from testtools import TestCase

from tests.endless import COMPLETE_PARTS, PARTS, EndlessStandin
from tests.gatewaycluster import GatewayCluster

_CHUNKED = "Transfer-Encoding: chunked\r\n"
_ENOUGH_BYTES = 512 * 1024
# As many as both endpoints serve at once.
_AT_ONCE = 8


class EndlessAnswerTest(TestCase):
    """Callers get an answer, by another endpoint where that is allowed."""

    def cluster(self):
        """Returns a cluster with an endless and a sound plain endpoint."""
        cluster = GatewayCluster(desks=1)
        number = next(cluster._numbers)
        self.endless = EndlessStandin(cluster.net, f"i-desk{number}")
        cluster.desks[self.endless.instance] = self.endless
        cluster._list(self.endless, number, "desk", "a", [])
        cluster.pass_time(1)
        return cluster

    def ask(self, cluster, path, **options):
        """Sends requests; returns a caller whose met the endless endpoint."""
        callers = [cluster.send(path, **options) for _ in range(_AT_ONCE)]
        cluster.pass_time(1.0)
        for caller in callers:
            if caller.request_id in self.endless.sent:
                return caller
        self.fail("no request met the endless endpoint")
        return None

    def test_reads_are_answered_by_another_endpoint(self):
        """Guards against a 504 although a sound server stands beside."""
        for name in PARTS:
            cluster = self.cluster()
            self.endless.part = name
            caller = self.ask(cluster, "/read/x")
            self.assertEqual(200, caller.last.status, name)
            sent = max(self.endless.sent.values())
            self.assertLess(sent, _ENOUGH_BYTES, name)
            cluster.pass_time(0.5)
            self.assertEqual(set(), self.endless.open, name)

    def test_bookings_are_answered_at_once_and_truly(self):
        """Guards against a booking that is told of as not run, or repeated."""
        for name in PARTS:
            cluster = self.cluster()
            self.endless.part = name
            caller = self.ask(cluster, "/book/x", body=b"x")
            status = 200 if name in COMPLETE_PARTS else 502
            self.assertEqual(status, caller.last.status, name)
            self.assertEqual(1, cluster.ran(caller.request_id), name)

    def failing(self, status, more=""):
        """Sets a failure whose body does not end; returns the cluster."""
        cluster = self.cluster()
        endless = self.endless
        endless.part = "digits of a chunk's size"

        def answer(conn, req):
            endless.sent[req.request_id] = 0
            head = (
                f"HTTP/1.1 {status} No\r\nX-Request-Id: {req.request_id}\r\n"
                f"{more}{_CHUNKED}\r\n"
            )
            conn.send(head.encode())
            endless._go_on(conn, req.request_id, b"1\r\nx\r\n" * 600)

        endless.answer = answer
        return cluster

    def test_a_refusal_without_end_is_a_refusal(self):
        """Guards against a call that waits for the end of a refusal."""
        for path in ("/read/x", "/book/x"):
            cluster = self.failing(503, "X-Not-Executed: 1\r\n")
            caller = self.ask(cluster, path, body=b"x")
            self.assertEqual(200, caller.last.status, path)
            self.assertEqual(1, cluster.ran(caller.request_id))
            self.assertLess(max(self.endless.sent.values()), _ENOUGH_BYTES)

    def test_a_failure_without_end_is_replaced(self):
        """Guards against a call that waits for the end of a failure."""
        cluster = self.failing(500)
        caller = self.ask(cluster, "/read/x")
        self.assertEqual(200, caller.last.status)

    def test_a_refusal_that_trickles_is_a_refusal(self):
        """Guards against bytes that are few and never end."""
        cluster = self.failing(503, "X-Not-Executed: 1\r\n")
        endless = self.endless

        def trickle(conn, request_id, _):
            if conn in endless.open:
                conn.send(b"1\r\nx\r\n")
                cluster.net.callLater(0.3, trickle, conn, request_id, _)

        endless._go_on = trickle
        caller = self.ask(cluster, "/book/x", body=b"x")
        cluster.pass_time(1.5)
        self.assertEqual(200, caller.last.status)
        self.assertEqual(1, cluster.ran(caller.request_id))

    def test_an_answer_to_nobody_without_end_is_left(self):
        """Guards against a stray answer that is read until the deadline."""
        cluster = self.failing(200, "X-Response-Stamp: s\r\n")
        answer = self.endless.answer

        def misnamed(conn, req):
            answer(conn, type(req)(req.method, req.target, {}, b"", []))
            self.endless.sent[req.request_id] = 0

        self.endless.answer = misnamed
        caller = self.ask(cluster, "/read/x")
        self.assertEqual(200, caller.last.status)
