"""Responses that end at any byte, in order or by a reset."""

from testtools import TestCase
from twisted.internet.protocol import Factory, Protocol

from magnolialug.carrier.client import Client, NoReply, Reply, request_bytes
from magnolialug.carrier.reader import BadResponseError
from magnolialug.carrier.responsereceiver import End
from tests.carrier.test_reader import Recorder
from tests.cutserver import HEAD, CutServer, framings
from tests.network import Network

_ADDRESS = ("10.1.0.1", 8080)
_BODY = b"a body of thirty-one characters"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Each stops where a lenient parser would see a head or a body complete.
_BARE_FEEDS = (
    b"HTTP/1.1 200 OK\n\n",
    b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
    HEAD + b"\n",
    HEAD + b"A: b\n\r\n",
    HEAD + b"A: b\r\n\n",
    HEAD + b"Content-Length: 0\r\n\n",
    HEAD + _CHUNKED + b"0\r\n\n",
    HEAD + _CHUNKED + b"0\n\r\n",
    HEAD + _CHUNKED + b"1\r\na\n0\r\n\r\n",
)
_SHORT_STATUSES = (
    b"HTTP/1.1 2\r\n\r\n",
    b"HTTP/1.1 20\r\n\r\n",
    b"HTTP/1.1\r\n\r\n",
    b"HTTP/1.1 \r\n\r\n",
)


def asked(response, resets):
    """Returns what a call to a server with this response yields."""
    net = Network()
    net.servers[_ADDRESS] = CutServer(response, resets)
    client = Client(net)
    results = []
    fut = client.ask(_ADDRESS, request_bytes("GET", "h", "/x"), 1.0)
    fut.addCallback(results.append)
    net.advance_by(0.05)
    (found,) = results
    return found


class _SecondIsCut(Protocol):
    """Answers one request in full, and the next in part."""

    is_used = False

    def dataReceived(self, data):
        """Answers a request."""
        if not self.is_used:
            self.is_used = True
            self.transport.write(self.factory.first)
            return
        self.transport.write(self.factory.second)
        if self.factory.resets:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()


def asked_again(first, second, resets):
    """Returns what two calls on one connection yield."""
    net = Network()
    net.servers[_ADDRESS] = factory = Factory.forProtocol(_SecondIsCut)
    factory.first, factory.second, factory.resets = first, second, resets
    client = Client(net)
    results = []
    for _ in range(2):
        fut = client.ask(_ADDRESS, request_bytes("GET", "h", "/x"), 1.0)
        fut.addCallback(results.append)
        net.advance_by(0.05)
    if len(net.dialled) != 1:
        raise AssertionError("the connection was not used again")
    return results


class CutReaderTest(TestCase):
    """The parser, whose input ends in order."""

    def test_a_cut_response_has_no_end(self):
        """Guards against a part of a response that is taken for all of it."""
        for name, (head, body) in framings(_BODY).items():
            for size in range(len(head) + len(body)):
                log = Recorder()
                log.reader.feed((head + body)[:size])
                is_whole = name == "close" and size >= len(head)
                self.assertEqual(
                    is_whole, log.reader.end_of_stream(), (name, size)
                )
                self.assertEqual(is_whole, "end" in log.events, (name, size))
                self.assertEqual(
                    size >= len(head), 200 in log.events, (name, size)
                )

    def test_a_cut_response_has_no_end_if_it_comes_byte_by_byte(self):
        """Guards against an end that depends on how bytes are split."""
        for name, (head, body) in framings(_BODY).items():
            log = Recorder()
            for at, byte in enumerate(head + body):
                self.assertNotIn("end", log.events, (name, at))
                log.reader.feed(bytes((byte,)))
            self.assertEqual(name != "close", "end" in log.events, name)

    def test_bare_line_feeds_complete_nothing(self):
        """Guards against a head or last chunk that only looks complete."""
        for text in _BARE_FEEDS:
            log = Recorder()
            self.assertRaises(BadResponseError, log.reader.feed, text)
            self.assertNotIn("end", log.events, text)

    def test_a_status_that_is_cut_is_none(self):
        """Guards against a status that is used before it is complete."""
        for text in _SHORT_STATUSES:
            log = Recorder()
            self.assertRaises(BadResponseError, log.reader.feed, text)
            self.assertEqual([], log.events, text)


class CutReplyTest(TestCase):
    """Calls whose response is buffered."""

    def test_a_cut_response_is_no_reply(self):
        """Guards against a reply that the server has not sent in full."""
        for name, (head, body) in framings(_BODY).items():
            for size in range(len(head) + len(body)):
                if name == "close" and size >= len(head):
                    continue
                response = (head + body)[:size]
                for resets, end in ((False, End.CLOSED), (True, End.RESET)):
                    self.assertEqual(
                        NoReply(end), asked(response, resets), (name, size)
                    )

    def test_a_whole_response_is_a_reply_however_its_connection_ends(self):
        for name, (head, body) in framings(_BODY).items():
            for resets in (False, True)[: 1 if name == "close" else 2]:
                found = asked(head + body, resets)
                self.assertIsInstance(found, Reply, name)
                self.assertEqual((200, _BODY), (found.status, found.body))

    def test_without_framing_a_reset_is_no_end(self):
        """Guards against a body that a reset has cut at any byte."""
        head, body = framings(_BODY)["close"]
        for size in range(len(body) + 1):
            found = asked(head + body[:size], resets=True)
            self.assertEqual(NoReply(End.RESET), found, size)

    def test_a_cut_response_on_a_used_connection_is_no_reply(self):
        """Guards against what an earlier response leaves in the parser."""
        kinds = framings(_BODY)
        for name, (head, body) in kinds.items():
            first = b"".join(kinds["length" if name == "close" else name])
            for size in range(len(head) + len(body)):
                resets = bool(size % 2)
                if name == "close" and size >= len(head) and not resets:
                    continue
                found = asked_again(first, (head + body)[:size], resets)
                self.assertEqual(_BODY, found[0].body, (name, size))
                end = End.RESET if resets else End.CLOSED
                self.assertEqual(NoReply(end), found[1], (name, size))
