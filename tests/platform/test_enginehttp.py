"""Tests of the calls to engines over HTTP."""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from magnolialug.ids import BlockId
from magnolialug.platform.enginehttp import EngineHttp, PlainHttp
from magnolialug.platform.http import HttpClient
from magnolialug.result import Code, Failure
from magnolialug.sidecar.engine import EngineJob, Usage
from tests.network import Network

ADDRESS = ("10.1.0.1", 8080)
_LIMIT_BYTES = 200_000
_PIECE = b"x" * 4096


class ClosingServer(Protocol):
    """Answers with fixed bytes and closes in order."""

    def dataReceived(self, data):
        """Answers a request."""
        self.transport.write(self.factory.response)
        self.transport.loseConnection()


class EndlessServer(Protocol):
    """Answers with a body that ends when the connection closes."""

    def dataReceived(self, data):
        """Begins an answer."""
        self.factory.sent = 0
        self.transport.write(b"HTTP/1.1 200 OK\r\n\r\n")
        self._go_on()

    def _go_on(self):
        if self.transport.closed or self.factory.sent > 10 * _LIMIT_BYTES:
            return
        self.factory.sent += len(_PIECE)
        self.transport.write(_PIECE)
        self.transport.net.callLater(0.001, self._go_on)


class PlainAnswerTest(TestCase):
    """Answers of a plain service."""

    def run_job(self, server):
        """Returns the pieces and the end of a run."""
        net = Network()
        net.servers[ADDRESS] = server
        plain = PlainHttp(HttpClient(net), "http://10.1.0.1:8080")
        job = EngineJob("k", "", "", "{}", "", 1, 0, max_bytes=_LIMIT_BYTES)
        pieces, ends = [], []
        plain.start(job, pieces.append).done.addCallback(ends.append)
        net.advance_by(5)
        (end,) = ends
        return pieces, end

    def test_an_answer_without_end_is_given_up(self):
        """Guards against a sidecar that keeps all that its endpoint sends."""
        server = Factory.forProtocol(EndlessServer)
        pieces, end = self.run_job(server)
        self.assertEqual([], pieces)
        self.assertEqual(Code.ANSWER_TOO_LARGE, end.code)
        self.assertLess(server.sent, 2 * _LIMIT_BYTES)

    def test_an_answer_that_is_no_text_fails_its_run_alone(self):
        """Guards against a run that never ends."""
        server = Factory.forProtocol(ClosingServer)
        server.response = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xfe"
        )
        pieces, end = self.run_job(server)
        self.assertEqual([], pieces)
        self.assertEqual(Code.ENDPOINT_FAILED, end.code)


class KilledServer(Protocol):
    """Answers in part; then its process ends, its listener with it."""

    def dataReceived(self, data):
        """Answers a request."""
        self.transport.write(self.factory.response)
        self.transport.loseConnection()
        net = self.transport.net
        net.servers.pop(ADDRESS, None)


class UnframedPlainAnswerTest(TestCase):
    """Answers of a plain service whose end only a close tells."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.pieces, self.ends = [], []

    def start(self, server, response):
        """Starts a run that gets this response."""
        factory = Factory.forProtocol(server)
        factory.response = response
        self.net.servers[ADDRESS] = factory
        plain = PlainHttp(HttpClient(self.net), "http://10.1.0.1:8080")
        job = EngineJob("k", "", "", "{}", "", 1, 0, max_bytes=_LIMIT_BYTES)
        run = plain.start(job, self.pieces.append)
        run.done.addCallback(self.ends.append)
        return run

    def test_an_answer_whose_service_is_killed_is_not_whole(self):
        """Guards against half an answer that is passed on as a success."""
        for body in (b"", b"half an ans"):
            self.ends.clear()
            self.start(KilledServer, b"HTTP/1.1 200 OK\r\n\r\n" + body)
            self.net.advance_by(2)
            (end,) = self.ends
            self.assertEqual([], self.pieces)
            self.assertIsInstance(end, Failure)
            self.assertEqual(Code.ENDPOINT_FAILED, end.code)

    def test_an_answer_whose_service_still_listens_is_whole(self):
        self.start(ClosingServer, b"HTTP/1.1 200 OK\r\n\r\nanswer")
        self.net.advance_by(2)
        (end,) = self.ends
        self.assertEqual(["answer"], self.pieces)
        self.assertIsInstance(end, Usage)

    def test_a_framed_answer_is_whole_though_its_service_is_killed(self):
        """Guards against answers that are lost though they came whole."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
        self.start(KilledServer, head + b"answer")
        self.net.advance_by(2)
        (end,) = self.ends
        self.assertEqual(["answer"], self.pieces)
        self.assertIsInstance(end, Usage)

    def test_a_run_that_is_cancelled_meanwhile_delivers_nothing(self):
        """Guards against an answer that comes after its caller has gone."""
        run = self.start(ClosingServer, b"HTTP/1.1 200 OK\r\n\r\nanswer")
        self.net.advance_by(0.02)
        self.assertEqual([], self.ends)
        run.cancel()
        self.net.advance_by(2)
        self.assertEqual([], self.pieces)
        self.assertEqual(1, len(self.ends))


class BlockExportTest(TestCase):
    """Blocks that are read from an engine."""

    def exported(self, response):
        """Returns what a read of a block yields for a response."""
        net = Network()
        server = Factory.forProtocol(ClosingServer)
        server.response = response
        net.servers[ADDRESS] = server
        engine = EngineHttp(HttpClient(net), "http://10.1.0.1:8080")
        results = []
        fut = ensureDeferred(engine.export_block(BlockId("aa")))
        fut.addCallback(results.append)
        net.advance_by(1)
        return results[0]

    def test_block_that_ends_with_its_connection_is_not_taken(self):
        """Guards against half a block that is stored under its own digest."""
        found = self.exported(b"HTTP/1.1 200 OK\r\n\r\nhalf a bl")
        self.assertIsInstance(found, Failure)
        self.assertEqual(Code.BLOCK_MISSING, found.code)

    def test_block_of_known_length_is_taken(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        self.assertEqual(b"block", self.exported(head + b"block"))
