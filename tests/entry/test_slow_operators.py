"""Readers of the metrics page and of readiness that are slow, or gone."""

import socket
import time

from testtools import TestCase

from tests.gatewayprocess import GatewayProcess, Limits, callers_ports
from tests.silentsocket import drop_all

_WINDOW_BYTES = 4096
_TIMEOUT_S = 20.0
_PAUSE_S = 4.0
# The listener's idle time, what it gives unread bytes, and a busy machine.
_GONE_S = 10.0 + 15.0 + 3.0


class SlowOperatorTest(TestCase):
    """Connections to the listeners that are not for callers."""

    def setUp(self):
        super().setUp()
        self.gateway = self.useFixture(GatewayProcess(Limits()))
        self.pages = (
            (self.gateway.metrics, b"/metrics"),
            (self.gateway.ready, b"/readyz"),
        )

    def ask(self, address, path, version=b"1.0"):
        """Sends a request on a connection with a small window."""
        conn = socket.socket()
        self.addCleanup(conn.close)
        conn.settimeout(_TIMEOUT_S)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        conn.connect(address)
        conn.sendall(b"GET %s HTTP/%s\r\nHost: h\r\n\r\n" % (path, version))
        return conn

    def test_pages_outlast_a_pause_of_their_readers(self):
        """Guards against resets while a reader's window is closed."""
        conns = [self.ask(*page) for page in self.pages]
        time.sleep(_PAUSE_S)
        for conn in conns:
            answer = b"".join(iter(lambda conn=conn: conn.recv(65536), b""))
            head, _, body = answer.partition(b"\r\n\r\n")
            self.assertIn(b"Content-Length: %d" % len(body), head)

    def test_silence_closes_the_connections(self):
        """Guards against readers that are gone and keep a connection."""
        conns = {page: self.ask(*page, b"1.1") for page in self.pages}
        time.sleep(_PAUSE_S)
        for (listener, _), conn in conns.items():
            self.assertIn(conn.getsockname()[1], callers_ports(listener))
            drop_all(conn)
        began = time.monotonic()
        for (listener, _), conn in conns.items():
            while conn.getsockname()[1] in callers_ports(listener):
                self.assertLess(time.monotonic() - began, _GONE_S)
                time.sleep(0.1)
