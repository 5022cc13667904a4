"""Tests of the calls to engines over HTTP."""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from magnolialug.ids import BlockId
from magnolialug.platform.enginehttp import EngineHttp
from magnolialug.platform.http import HttpClient
from magnolialug.result import Code, Failure
from tests.network import Network

ADDRESS = ("10.1.0.1", 8080)


class ClosingServer(Protocol):
    """Answers with fixed bytes and closes in order."""

    def dataReceived(self, data):
        """Answers a request."""
        self.transport.write(self.factory.response)
        self.transport.loseConnection()


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
