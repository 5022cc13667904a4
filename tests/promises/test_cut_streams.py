"""An entry's answers that end early, as their callers see them."""

import contextlib
import json

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from magnolialug.entry.intake import make_site
from magnolialug.entry.progress import Served
from magnolialug.entry.web import EntryResource
from magnolialug.result import Code, failed
from magnolialug.standin.caller import Caller
from tests.harness import Cluster
from tests.network import Network

ADDRESS = ("10.0.0.1", 8000)
_LOST = failed(Code.OUTCOME_UNKNOWN, "the endpoint is lost")
_VERSIONS = ("1.1", "1.0")


class OneCall:
    """A call of one caller, whose answer the test writes.

    Attributes:
      sink: takes the answer.
    """

    def __init__(self, version, stream, path="completions"):
        self.net = Network()
        app = Cluster(bookings=1, models=1).entries[0]
        self.sink = None
        self.ended = Deferred()

        async def serve(call, sink):
            self.sink = sink
            return await self.ended

        app.serve = serve
        self.net.servers[ADDRESS] = make_site(
            EntryResource(app),
            lambda: app.current.deployment.limits,
            self.net,
        )
        self.caller = Caller(self.net)
        self.pipe = self.net.connect(self.caller, ADDRESS)
        body = json.dumps({"model": "guide", "prompt": "a", "stream": stream})
        self.pipe.write(
            f"POST /v1/{path} HTTP/{version}\r\nHost: x\r\n"
            "Authorization: Bearer demo-members\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        self.net.advance_by(0.1)

    def write(self, seq, text):
        """Writes a piece."""
        self.sink.write_piece(seq, text).send(None)

    def end(self, result):
        """Ends the answer; returns what the caller got."""
        self.ended.callback(result)
        self.net.advance_by(0.1)
        return self.caller.last

    def kill(self):
        """Closes the connection as a kernel does; returns the answer."""
        self.pipe.peer.loseConnection()
        self.net.advance_by(0.1)
        return self.caller.last


def write_two(call):
    """Writes two pieces."""
    for seq, text in enumerate(("when ", "the "), 1):
        with contextlib.suppress(StopIteration):
            call.write(seq, text)
    call.net.advance_by(0.1)


class CutStreamTest(TestCase):
    """Streams that end before their last piece."""

    def test_lost_stream_is_not_framed_as_whole(self):
        """Guards against a stream without its last piece that looks whole."""
        for version in _VERSIONS:
            call = OneCall(version, True)
            write_two(call)
            answer = call.end(_LOST)
            self.assertIn(b"id: 2\n", answer.body, version)
            self.assertFalse(answer.whole, version)
            self.assertTrue(call.caller.closed, version)

    def test_caller_of_a_lost_stream_is_told_why(self):
        """Guards against a cut that hides the numbered error."""
        call = OneCall("1.1", True)
        write_two(call)
        code = str(Code.OUTCOME_UNKNOWN.value).encode()
        self.assertIn(code, call.end(_LOST).body)

    def test_stream_of_a_killed_entry_is_not_whole(self):
        """Guards against the close of a killed entry that ends a stream."""
        for version in _VERSIONS:
            call = OneCall(version, True)
            write_two(call)
            self.assertFalse(call.kill().whole, version)

    def test_whole_stream_is_whole(self):
        """Guards against resets and cuts that end whole streams."""
        for version in _VERSIONS:
            call = OneCall(version, True)
            write_two(call)
            answer = call.end(Served(None, 2, 0.1))
            self.assertTrue(answer.whole, version)
            self.assertIn(b"[DONE]", answer.body, version)


class CutBodyTest(TestCase):
    """JSON bodies that are cut on their way to the caller."""

    def check_framed(self, result):
        """Checks that only the whole of an answer looks whole."""
        for version in _VERSIONS:
            call = OneCall(version, False)
            write_two(call)
            call.end(result)
            sent = call.pipe.peer.sent
            for size in range(len(sent)):
                self.assertFalse(self.is_whole(sent[:size]), (version, size))
            self.assertTrue(self.is_whole(sent), version)

    def is_whole(self, data):
        """Returns whether a caller takes these bytes for an answer."""
        caller = Caller(Network())
        caller.dataReceived(data)
        caller.connectionLost(Failure(ConnectionDone()))
        return caller.last.whole

    def test_answer_cut_at_any_byte(self):
        """Guards against half a JSON answer that looks whole."""
        self.check_framed(Served(None, 2, 0.1))

    def test_failure_cut_at_any_byte(self):
        """Guards against half a numbered error that looks whole."""
        self.check_framed(_LOST)


class EmptyBodyTest(TestCase):
    """Answers of a plain service without any byte."""

    def test_empty_answer_stays_empty(self):
        """Guards against a body that the service did not send."""
        for version in _VERSIONS:
            call = OneCall(version, False, "services/booking/availability")
            answer = call.end(Served(None, 0, 0.1))
            self.assertEqual((200, b""), (answer.status, answer.body))
            self.assertTrue(answer.whole, version)
