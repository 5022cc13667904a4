"""Tests of answers whose status has no meaning (RFC 9110, section 15)."""

from testtools import TestCase

from tests.cutserver import CutServer
from tests.gatewaycluster import GatewayCluster

_STATUSES = (b"000", b"099", b"600", b"999")
_BODY = b"id: 1\ndata: x\n\n"
_FRAMINGS = (b"", b"Content-Length: %d\r\n" % len(_BODY))
_ONCE = ("/book/x", "/draft/x")
_ROUTES = ("/read/x", *_ONCE, "/check/x")


class OddStatusTest(TestCase):
    """All endpoints answer with a status outside 100 to 599."""

    def test_answer_without_a_valid_status_is_no_answer(self):
        """Guards against callers who get a status of no class."""
        for status in _STATUSES:
            for framing in _FRAMINGS:
                for path in _ROUTES:
                    self.check(status, framing, path)

    def check(self, status, framing, path):
        """Checks that a caller gets 502, and that runs are not repeated."""
        cluster = GatewayCluster(desks=2, engines=2)
        head = b"HTTP/1.1 %b No\r\nX-Request-Id: ab\r\n" % status
        stamp = b"X-Response-Stamp: s\r\n"
        servers = []
        for endpoint in cluster.endpoints():
            server = CutServer(head + stamp + framing + b"\r\n" + _BODY)
            cluster.net.servers[endpoint.address] = server
            servers.append(server)
        caller = cluster.ask(path, 3.0, request_id="ab")
        case = (status, framing, path)
        self.assertEqual(502, caller.last.status, case)
        if path in _ONCE:
            self.assertEqual(1, sum(s.count for s in servers), case)
