"""Calls that are answered, time out or are cancelled."""

from testtools import TestCase
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from magnolialug.carrier.client import Client, NoReply, request_bytes
from magnolialug.carrier.progress import Progress
from magnolialug.carrier.responsereceiver import End
from magnolialug.standin.endpoint import EndpointStandin, Fault
from tests.network import LATENCY_S, Network

ADDRESS = ("10.1.0.1", 8080)
_PIECE_S = 0.1


class ClientTest(TestCase):
    """Calls to one endpoint on an in-memory network."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.endpoint = EndpointStandin(self.net, "i-1")
        self.net.servers[ADDRESS] = self.endpoint
        self.client = Client(self.net)

    def ask(self, timeout_s=1.0):
        """Makes a call and returns its deferred."""
        ask = request_bytes("GET", "h", "/x", headers={"X-Request-Id": "r"})
        return self.client.ask(ADDRESS, ask, timeout_s)

    def test_returns_a_reply(self):
        fut = self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(fut).status)

    def successResult(self, fut):
        """Returns the result of a deferred that has fired."""
        results = []
        fut.addCallback(results.append)
        return results[0]

    def test_no_reply_within_the_timeout_ends_as_silent(self):
        self.endpoint.faults = [Fault.MUTE]
        fut = self.ask(timeout_s=0.2)
        self.net.advance_by(0.3)
        self.assertEqual(NoReply(End.SILENT), self.successResult(fut))

    def test_a_connection_that_opens_late_is_used_for_the_next_call(self):
        """Guards against calls that wait until a lost SYN is sent again."""
        request = request_bytes("GET", "h", "/x", headers={"X-Request-Id": "r"})
        fut = self.client.ask(ADDRESS, request, 1.0, connect_s=LATENCY_S / 2)
        self.net.advance_by(0.1)
        self.assertEqual(NoReply(End.UNSENT), self.successResult(fut))
        fut = self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(fut).status)
        self.assertEqual([ADDRESS], self.net.dialled)

    def test_dropped_idle_connections_are_not_reused(self):
        """Guards against calls that time out in turn on dead connections."""
        first, second = self.ask(), self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(first).status)
        self.assertEqual(200, self.successResult(second).status)
        self.net.silence(ADDRESS)
        self.client.drop_idle(ADDRESS)
        fut = self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(fut).status)

    def test_a_cancelled_task_does_not_continue(self):
        """Guards against a stopping process that acquires the lease again.

        Other processes cannot take the lease then until it expires. The fault:
        a task that is cancelled during a call to the store receives the end
        of the call as a reply and continues.
        """
        self.endpoint.faults = [Fault.MUTE]
        replies = []

        async def task():
            replies.append(await self.ask())

        fut = ensureDeferred(task())
        self.net.advance_by(0.1)
        fut.cancel()
        ended = []
        fut.addErrback(lambda reason: ended.append(reason.type))
        self.net.advance_by(2)
        self.assertEqual([], replies)
        self.assertEqual([CancelledError], ended)

    def test_cancelling_a_call_closes_its_connection(self):
        self.endpoint.faults = [Fault.MUTE]
        fut = self.ask()
        fut.addErrback(lambda reason: None)
        self.net.advance_by(0.1)
        fut.cancel()
        self.net.advance_by(0.1)
        self.assertEqual(["r"], self.endpoint.cut)


class Pieces(Protocol):
    """Sends bodies in pieces, one response at a time over all connections."""

    def dataReceived(self, data):
        """Schedules the response, or loses it."""
        if self.factory.loses:
            self.factory.loses -= 1
            self.factory.pieces.pop(0)
            return
        self.factory.net.callLater(_PIECE_S, self._begin)

    def _begin(self):
        if self.factory.is_busy:
            self.factory.net.callLater(_PIECE_S, self._begin)
            return
        self.factory.is_busy = True
        count = self.factory.pieces.pop(0)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {count}\r\n\r\n"
        self.transport.write(head.encode())
        self._write(count)

    def _write(self, left):
        self.transport.write(b"x")
        if left == 1:
            self.factory.is_busy = False
        elif not self.factory.stalls:
            self.factory.net.callLater(_PIECE_S, self._write, left - 1)


class LongResponseTest(TestCase):
    """Responses that take longer than the time-out between pieces."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.server = Factory.forProtocol(Pieces)
        self.server.net = self.net
        self.server.pieces = []
        self.server.loses = 0
        self.server.is_busy = self.server.stalls = False
        self.net.servers[ADDRESS] = self.server
        self.client = Client(self.net)

    def ask(self, pieces, timeout_s=2 * _PIECE_S, silence_s=None, size=0):
        """Makes a call and returns the list that receives its result."""
        self.server.pieces.append(pieces)
        results = []
        request = request_bytes("POST", "h", "/x", b"x" * size)
        fut = self.client.ask(ADDRESS, request, timeout_s, silence_s=silence_s)
        fut.addCallback(results.append)
        return results

    def test_a_response_that_keeps_arriving_does_not_time_out(self):
        """Guards against a time-out that bounds the whole response."""
        results = self.ask(pieces=20)
        self.net.advance_by(22 * _PIECE_S)
        self.assertEqual(b"x" * 20, results[0].body)

    def test_a_response_that_stalls_times_out(self):
        """Guards against a wait for bytes that never come."""
        self.server.stalls = True
        results = self.ask(pieces=20)
        self.net.advance_by(3.5 * _PIECE_S)
        self.assertEqual([NoReply(End.SILENT)], results)

    def test_a_stalled_response_ends_at_the_shorter_silence_bound(self):
        """Guards against a stalled watch that waits for its first time-out."""
        self.server.stalls = True
        results = self.ask(20, timeout_s=20.0, silence_s=2 * _PIECE_S)
        self.net.advance_by(3.5 * _PIECE_S)
        self.assertEqual([NoReply(End.SILENT)], results)

    def test_a_response_queued_behind_another_does_not_time_out(self):
        """Guards against time-outs while the link carries another response."""
        long = self.ask(pieces=20)
        self.net.advance_by(2.5 * _PIECE_S)
        short = self.ask(pieces=1)
        self.net.advance_by(20 * _PIECE_S)
        self.assertEqual(b"x", short[0].body)
        self.assertEqual(b"x" * 20, long[0].body)

    def test_a_response_due_while_a_long_one_begins_does_not_time_out(self):
        """Guards against a time-out just as a long response ahead begins."""
        self.ask(pieces=20, timeout_s=4 * _PIECE_S)
        short = self.ask(pieces=1, timeout_s=1.5 * _PIECE_S)
        self.net.advance_by(25 * _PIECE_S)
        self.assertEqual(b"x", short[0].body)

    def test_new_responses_do_not_keep_a_lost_call_open(self):
        """Guards against a time-out that later responses put off for ever."""
        self.server.loses = 1
        lost = self.ask(pieces=1, timeout_s=10 * _PIECE_S)
        for _ in range(8):
            self.ask(pieces=4, timeout_s=10 * _PIECE_S)
            self.net.advance_by(5 * _PIECE_S)
        self.assertEqual([NoReply(End.SILENT)], lost)

    def test_a_call_tells_how_long_others_kept_it_open(self):
        """Guards against outages whose length nothing explains."""
        self.ask(pieces=20)
        self.net.advance_by(2.5 * _PIECE_S)
        self.server.pieces.append(1)
        progress = Progress()
        request = request_bytes("GET", "h", "/x")
        self.client.ask(ADDRESS, request, 2 * _PIECE_S, progress=progress)
        self.net.advance_by(20 * _PIECE_S)
        self.assertGreater(progress.extended_s, 10 * _PIECE_S)
        self.assertIn(
            "s past its time-out", progress.describe(self.net.seconds())
        )

    def test_the_timeout_allows_for_sending_a_long_request(self):
        """Guards against a time-out before a long value has been sent."""
        results = self.ask(pieces=1, timeout_s=0.5 * _PIECE_S, size=100_000)
        self.net.advance_by(2 * _PIECE_S)
        self.assertEqual(b"x", results[0].body)
