"""Responses that end while the endpoint has acknowledged, but not read, all.

The sockets are real, the clock is not: what happens between two checks is up to
the test.
"""

import socket

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.carrier.client import request_bytes
from magnolialug.carrier.connection import Connection
from magnolialug.carrier.peermonitor import PeerMonitor
from magnolialug.carrier.responsereceiver import End

_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
_BODY = b"u" * 20_000
_LONG_S = 5.0


class _Transport:
    """One end of a TCP connection that reads and writes when it is told to."""

    dataBuffer = b""

    def __init__(self, sock, conn):
        self._sock = sock
        self._conn = conn
        self.is_closed = False

    def getHandle(self):
        return self._sock

    def getPeer(self):
        return "peer"

    def write(self, data):
        self._sock.sendall(data)

    def connectionLost(self, reason):
        self.is_closed = True
        self._conn.connectionLost(reason)

    def abortConnection(self):
        self.is_closed = True


class _Receiver:
    def __init__(self):
        self.data = b""
        self.end = None

    def on_head(self, head):
        """Takes no note of the head."""

    def on_data(self, data):
        self.data += data

    def on_end(self, end):
        self.end = end


class UnreadRequestTest(TestCase):
    """A connection whose peer half-closes behind a part of its response."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.peer, sock = self.connected()
        self.monitor = PeerMonitor(self.clock.seconds, self.clock.callLater)
        states = []
        self.conn = Connection(
            self.clock.seconds,
            states.append,
            states.append,
            states.append,
            self.monitor,
        )
        self.transport = _Transport(sock, self.conn)
        self.conn.makeConnection(self.transport)
        self.receiver = _Receiver()

    def connected(self):
        """Returns both ends of a TCP connection."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sock = socket.create_connection(listener.getsockname())
            peer, _ = listener.accept()
        self.addCleanup(sock.close)
        self.addCleanup(peer.close)
        return peer, sock

    def begin(self, body, wait_s=0.0):
        """Sends a request, and half-closes behind a part of the response."""
        request = request_bytes("POST", "h", "/", body)
        self.conn.exchange(request, self.receiver, lambda head, first: True)
        self.size = len(request)
        self.clock.advance(wait_s)
        self.peer.shutdown(socket.SHUT_WR)
        self.conn.dataReceived(_HEAD + b"part")
        self.conn.readConnectionLost()

    def read_request(self):
        """Reads the request at the peer."""
        left = self.size
        while left:
            left -= len(self.peer.recv(left))

    def assert_ended(self, end):
        """Checks the end, and that nothing is left behind."""
        self.assertIs(end, self.receiver.end)
        self.assertTrue(self.transport.is_closed)
        self.clock.advance(_LONG_S)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_response_of_a_peer_that_resets_right_behind_is_not_whole(self):
        """Guards against a part that is whole if its close is read first."""
        self.begin(_BODY)
        self.peer.close()
        self.clock.advance(0.1)
        self.assert_ended(End.RESET)

    def test_regular_check_right_behind_the_end_does_not_judge_it(self):
        """Guards against a check that comes between the end and its reset."""
        self.begin(_BODY, 0.249)
        self.clock.advance(0.002)
        self.peer.close()
        self.clock.advance(0.1)
        self.assert_ended(End.RESET)

    def test_response_of_a_peer_that_reads_is_whole_at_the_next_check(self):
        """Guards against long waits behind answers of sound endpoints."""
        self.begin(_BODY)
        self.read_request()
        self.clock.advance(0.1)
        self.assert_ended(End.COMPLETE)

    def test_response_to_a_request_without_a_body_is_whole_at_once(self):
        """Guards against a delay where nothing can be unread."""
        self.begin(b"")
        self.assert_ended(End.COMPLETE)

    def test_end_that_is_read_twice_is_reported_once(self):
        """Guards against a reader that resumes behind the end."""
        self.begin(_BODY)
        self.conn.readConnectionLost()
        self.read_request()
        self.clock.advance(0.1)
        self.assert_ended(End.COMPLETE)

    def test_dropped_exchange_leaves_no_timer(self):
        """Guards against a check of a connection that is closed."""
        self.begin(_BODY)
        self.conn.drop()
        self.assert_ended(End.DROPPED)

    def test_stop_of_the_checks_ends_an_exchange_that_waits_for_them(self):
        """Guards against an exchange that stays open behind a stop."""
        self.begin(_BODY)
        self.monitor.stop()
        self.assert_ended(End.RESET)
