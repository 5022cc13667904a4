"""Limits on requests, tested with a virtual clock."""

import json

from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from magnolialug.entry.intake import make_site
from magnolialug.entry.web import EntryResource
from magnolialug.result import Code
from tests.harness import Cluster

HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer demo-members\r\n"
)


class HalfCloseTransport(StringTransport):
    """A transport that can be half-closed."""

    def loseWriteConnection(self):
        self.disconnecting = True


class IntakeTest(TestCase):
    """Bodies that are too large, too slow, or ambiguous."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.cluster = Cluster(bookings=0, models=1)
        app = self.cluster.entries[0]
        site = make_site(
            EntryResource(app),
            lambda: app.current.deployment.limits,
            self.clock,
        )
        self.transport = HalfCloseTransport()
        self.channel = site.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def error_code(self) -> int | None:
        body = self.transport.value().partition(b"\r\n\r\n")[2]
        return json.loads(body)["error"]["code"] if body else None

    def test_slow_body_is_refused(self):
        """Guards against slow bodies that hold connections and memory.

        Each byte keeps the connection from counting as idle, so the time for
        the whole body has a limit.
        """
        self.channel.dataReceived(HEAD + b"Content-Length: 100\r\n\r\n")
        for _ in range(9):
            self.channel.dataReceived(b"x")
            self.clock.advance(1)
        self.assertIsNone(self.error_code())
        self.clock.advance(1)
        self.assertEqual(Code.BODY_TOO_SLOW.value, self.error_code())
        self.assertEqual(0, self.cluster.engines["model-1"].runs)

    def test_chunked_body_over_the_limit(self):
        self.channel.dataReceived(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(3):
            self.channel.dataReceived(b"f4240\r\n" + b"x" * 1_000_000 + b"\r\n")
        self.assertEqual(Code.BODY_TOO_LARGE.value, self.error_code())

    def test_body_without_a_key_is_not_read(self):
        """Guards against bodies that are kept for a refusal."""
        head = HEAD.replace(b"demo-members", b"nobody")
        self.channel.dataReceived(head + b"Content-Length: 100\r\n\r\n")
        self.assertEqual(Code.UNKNOWN_TEAM.value, self.error_code())

    def test_refused_connection_is_closed_after_a_delay(self):
        self.channel.dataReceived(HEAD + b"Content-Length: 1, 2\r\n\r\n")
        self.assertEqual(Code.AMBIGUOUS_HEADER.value, self.error_code())
        self.channel.dataReceived(HEAD * 3)
        self.clock.advance(1)
        self.assertTrue(
            self.transport.disconnected or self.transport.disconnecting
        )
