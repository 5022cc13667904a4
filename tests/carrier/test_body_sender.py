"""Tests of bodies that endpoints read slowly."""

from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from magnolialug.carrier.connection import Connection
from magnolialug.carrier.peermonitor import PeerMonitor
from magnolialug.carrier.responsereceiver import End

_BLOCKS = (b"a" * 10, b"b" * 10, b"c" * 10)
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class _Handle:
    def setsockopt(self, *args) -> None:
        """Has no options."""


class _Transport(StringTransport):
    """Asks for a block whenever the test says that all was read."""

    def getHandle(self):
        return _Handle()

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        producer.resumeProducing()


class _Receiver:
    def __init__(self):
        self.ends = []

    def on_head(self, head) -> None:
        """Ignores the head."""

    def on_data(self, data) -> None:
        """Ignores the body."""

    def on_end(self, end) -> None:
        self.ends.append(end)


class BodySenderTest(TestCase):
    """A body of several blocks goes out as its endpoint reads."""

    def setUp(self):
        super().setUp()
        self.idle = []
        self.transport = _Transport()
        self.receiver = _Receiver()
        clock = Clock()
        self.conn = Connection(
            clock.seconds,
            lambda _: None,
            self.idle.append,
            lambda _: None,
            PeerMonitor(clock.seconds, clock.callLater),
        )
        self.conn.makeConnection(self.transport)
        self.conn.exchange(
            b"head|", self.receiver, lambda head, is_first: True, _BLOCKS
        )

    def test_one_block_waits_for_the_endpoint_at_a_time(self):
        """Guards against a whole body in the buffer of a connection."""
        self.assertEqual(b"head|" + _BLOCKS[0], self.transport.value())
        self.transport.producer.resumeProducing()
        sent = b"head|" + b"".join(_BLOCKS[:2])
        self.assertEqual(sent, self.transport.value())

    def test_a_whole_body_leaves_a_connection_for_the_next(self):
        while self.transport.producer is not None:
            self.transport.producer.resumeProducing()
        sent = b"head|" + b"".join(_BLOCKS)
        self.assertEqual(sent, self.transport.value())
        self.conn.dataReceived(_ANSWER)
        self.assertEqual([End.COMPLETE], self.receiver.ends)
        self.assertEqual([self.conn], self.idle)

    def test_an_early_answer_ends_the_connection(self):
        """Guards against a request in place of the rest of a body."""
        self.conn.dataReceived(_ANSWER)
        self.assertEqual([End.COMPLETE], self.receiver.ends)
        self.assertEqual([], self.idle)
        self.assertIsNone(self.transport.producer)
        self.assertTrue(self.transport.disconnected)
