"""Answers of an endpoint behind a sidecar that end at any byte."""

import msgspec
from testtools import TestCase
from twisted.internet.protocol import Factory, Protocol

from magnolialug.platform.enginehttp import EngineHttp, PlainHttp
from magnolialug.platform.http import HttpClient
from magnolialug.result import Code, Failure
from magnolialug.sidecar.engine import EngineJob, Usage
from tests.network import Network

ADDRESS = ("10.1.0.1", 8080)
_BASE = "http://10.1.0.1:8080"
_TEXT = '{"canoe": 3}'
_WORDS = ["when ", "the ", "river "]
_USAGE = {"prompt_tokens": 4, "completion_tokens": 3}
_FRAMINGS = ("length", "chunks", "close")


class CutServer(Protocol):
    """Sends the factory's bytes and ends as the factory says."""

    def dataReceived(self, data):
        """Answers a request."""
        self.transport.write(self.factory.response)
        self.transport.net.callLater(0.01, self._end)

    def _end(self):
        if self.factory.dies:
            self.transport.net.servers.pop(ADDRESS, None)
        if self.factory.resets:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()


def framed(body, framing):
    """Returns a response whose body ends as `framing` says."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing == "close":
        return head + b"\r\n" + body
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (body[:half], body[half:])
    )
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def completion(line_end):
    """Returns the events of a completion."""
    events = [{"choices": [{"text": word}]} for word in _WORDS]
    events.append({"choices": [], "usage": _USAGE})
    lines = [b"data: " + msgspec.json.encode(event) for event in events]
    return b"".join(line + 2 * line_end for line in (*lines, b"data: [DONE]"))


def run_job(engine, response, resets=False, dies=True, stands_still_s=0):
    """Returns the pieces and the ends of a run.

    Args:
      stands_still_s: for how long this process does not run when the head has
        arrived.
    """
    net = Network()
    net.servers[ADDRESS] = server = Factory.forProtocol(CutServer)
    server.response, server.resets, server.dies = response, resets, dies
    pieces, ends = [], []
    job = EngineJob("k", "", "", "{}", "", 9, 0, max_bytes=200_000)
    run = engine(HttpClient(net), _BASE).start(job, pieces.append)
    run.done.addCallback(ends.append)
    net.advance_by(0.008, 0.001)
    net.advance(stands_still_s)
    net.advance_by(1)
    return pieces, ends


class CutPlainAnswerTest(TestCase):
    """Answers of a plain service that is killed, at every byte."""

    def whole_cuts(self, framing, resets):
        """Returns the bytes missing of those that count as whole."""
        whole = framed(_TEXT.encode(), framing)
        found = []
        for size in range(len(whole) + 1):
            _, (end,) = run_job(PlainHttp, whole[:size], resets)
            if isinstance(end, Usage):
                found.append(len(whole) - size)
        return found

    def test_killed_service_closes_in_order(self):
        """Guards against half an answer of a killed service that is whole."""
        for framing in _FRAMINGS:
            whole = [] if framing == "close" else [0]
            self.assertEqual(whole, self.whole_cuts(framing, False), framing)

    def test_killed_service_resets(self):
        """Guards against half an answer that is whole after a reset."""
        for framing in _FRAMINGS:
            whole = [] if framing == "close" else [0]
            self.assertEqual(whole, self.whole_cuts(framing, True), framing)

    def test_killed_service_fails_its_run(self):
        """Guards against a run that ends twice, or with a wrong code."""
        response = framed(_TEXT.encode(), "close")[:-3]
        pieces, (end,) = run_job(PlainHttp, response)
        self.assertEqual([], pieces)
        self.assertIsInstance(end, Failure)
        self.assertEqual(Code.ENDPOINT_FAILED, end.code)

    def test_close_that_is_read_late(self):
        """Guards against a later start that vouches for a killed service."""
        for framing in _FRAMINGS:
            response = framed(_TEXT.encode(), framing)[:-3]
            pieces, (end,) = run_job(
                PlainHttp, response, dies=False, stands_still_s=1.0
            )
            self.assertEqual([], pieces, framing)
            self.assertIsInstance(end, Failure, framing)

    def test_close_of_a_living_service_ends_its_answer(self):
        """Guards against the loss of answers whose end a close tells."""
        for framing in _FRAMINGS:
            response = framed(_TEXT.encode(), framing)
            pieces, (end,) = run_job(PlainHttp, response, dies=False)
            self.assertEqual([_TEXT], pieces, framing)
            self.assertIsInstance(end, Usage, framing)


class CutCompletionTest(TestCase):
    """Completions of an engine that end at every byte."""

    def check_cuts(self, framing, line_end, resets):
        """Checks that only a completion with its last line is whole."""
        body = completion(line_end)
        whole = framed(body, framing)
        for size in range(len(whole) + 1):
            for dies in (True, False):
                pieces, (end,) = run_job(EngineHttp, whole[:size], resets, dies)
                self.assertEqual(_WORDS[: len(pieces)], pieces, size)
                if isinstance(end, Usage):
                    self.assertIn(b"[DONE]", whole[:size])
                    self.assertEqual((_WORDS, 3), (pieces, end.output_tokens))
        self.assertIsInstance(end, Usage)

    def test_closes_in_order(self):
        """Guards against a completion that is whole before its last line."""
        for framing in _FRAMINGS:
            self.check_cuts(framing, b"\n", False)

    def test_resets(self):
        """Guards against a completion that is whole after a reset."""
        for framing in _FRAMINGS:
            self.check_cuts(framing, b"\n", True)

    def test_lines_in_crlf(self):
        """Guards against pieces lost where lines end in CRLF."""
        self.check_cuts("close", b"\r\n", False)
