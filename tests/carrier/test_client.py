"""Calls that are answered, late, or given up."""

from testtools import TestCase
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from magnolialug.carrier.client import Client, NoReply, request_bytes
from magnolialug.carrier.taker import End
from magnolialug.standin.endpoint import EndpointStandin, Fault
from tests.network import LATENCY_S, Network

ADDRESS = ("10.1.0.1", 8080)
_PIECE_S = 0.1


class ClientTest(TestCase):
    """One endpoint on a network in memory."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.endpoint = EndpointStandin(self.net, "i-1")
        self.net.servers[ADDRESS] = self.endpoint
        self.client = Client(self.net)

    def ask(self, timeout_s=1.0):
        """Returns the deferred of a call."""
        ask = request_bytes("GET", "h", "/x", headers={"X-Request-Id": "r"})
        return self.client.ask(ADDRESS, ask, timeout_s)

    def test_an_answer(self):
        fut = self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(fut).status)

    def successResult(self, fut):
        """Returns what a deferred has been given."""
        results = []
        fut.addCallback(results.append)
        return results[0]

    def test_none_in_time(self):
        self.endpoint.faults = [Fault.MUTE]
        fut = self.ask(timeout_s=0.2)
        self.net.advance_by(0.3)
        self.assertEqual(NoReply(End.SILENT), self.successResult(fut))

    def test_a_connection_that_opens_late_serves_the_next_call(self):
        """Guards against calls that wait out a lost opening packet."""
        request = request_bytes("GET", "h", "/x", headers={"X-Request-Id": "r"})
        fut = self.client.ask(ADDRESS, request, 1.0, connect_s=LATENCY_S / 2)
        self.net.advance_by(0.1)
        self.assertEqual(NoReply(End.UNSENT), self.successResult(fut))
        fut = self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(fut).status)
        self.assertEqual([ADDRESS], self.net.dialled)

    def test_idle_connections_that_may_be_silent_are_not_used_again(self):
        """Guards against calls that time out one after the other."""
        first, second = self.ask(), self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(first).status)
        self.assertEqual(200, self.successResult(second).status)
        self.net.silence(ADDRESS)
        self.client.drop_idle(ADDRESS)
        fut = self.ask()
        self.net.advance_by(0.1)
        self.assertEqual(200, self.successResult(fut).status)

    def test_a_cancelled_task_goes_no_further(self):
        """A process stops while one of its tasks asks the store.

        Symptom: a process that has been told to stop wins the lease again
        and keeps it from the others until it runs out. Sequence: the task
        waits for an answer, it is cancelled, it goes on. Cause: the end of
        the call was handed to the task as an answer.
        """
        self.endpoint.faults = [Fault.MUTE]
        went_on = []

        async def task():
            went_on.append(await self.ask())

        fut = ensureDeferred(task())
        self.net.advance_by(0.1)
        fut.cancel()
        ended = []
        fut.addErrback(lambda reason: ended.append(reason.type))
        self.net.advance_by(2)
        self.assertEqual([], went_on)
        self.assertEqual([CancelledError], ended)

    def test_a_cancelled_call_stops_the_work(self):
        self.endpoint.faults = [Fault.MUTE]
        fut = self.ask()
        fut.addErrback(lambda reason: None)
        self.net.advance_by(0.1)
        fut.cancel()
        self.net.advance_by(0.1)
        self.assertEqual(["r"], self.endpoint.cut)


class Pieces(Protocol):
    """Answers with bodies in pieces, one after the other on all connections."""

    def dataReceived(self, data):
        """Begins to answer."""
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
        elif not self.factory.falls_silent:
            self.factory.net.callLater(_PIECE_S, self._write, left - 1)


class LongResponseTest(TestCase):
    """Responses that take longer than the bound on silence."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.server = Factory.forProtocol(Pieces)
        self.server.net = self.net
        self.server.pieces = []
        self.server.is_busy = self.server.falls_silent = False
        self.net.servers[ADDRESS] = self.server
        self.client = Client(self.net)

    def ask(self, pieces, timeout_s=2 * _PIECE_S, silence_s=None, size=0):
        """Returns the list that a call's result is put into."""
        self.server.pieces.append(pieces)
        results = []
        request = request_bytes("POST", "h", "/x", b"x" * size)
        fut = self.client.ask(ADDRESS, request, timeout_s, silence_s=silence_s)
        fut.addCallback(results.append)
        return results

    def test_one_that_goes_on_arriving_is_taken(self):
        """Guards against a bound on silence that bounds the whole response."""
        results = self.ask(pieces=20)
        self.net.advance_by(22 * _PIECE_S)
        self.assertEqual(b"x" * 20, results[0].body)

    def test_one_that_falls_silent_is_given_up(self):
        """Guards against a wait for bytes that never come."""
        self.server.falls_silent = True
        results = self.ask(pieces=20)
        self.net.advance_by(3.5 * _PIECE_S)
        self.assertEqual([NoReply(End.SILENT)], results)

    def test_one_that_may_begin_late_is_given_up_once_it_falls_silent(self):
        """Guards against a watch that waits on for the rest of its answer."""
        self.server.falls_silent = True
        results = self.ask(20, timeout_s=20.0, silence_s=2 * _PIECE_S)
        self.net.advance_by(3.5 * _PIECE_S)
        self.assertEqual([NoReply(End.SILENT)], results)

    def test_one_that_waits_behind_another_is_not_silent(self):
        """Guards against calls that end while the link carries another."""
        long = self.ask(pieces=20)
        self.net.advance_by(2.5 * _PIECE_S)
        short = self.ask(pieces=1)
        self.net.advance_by(20 * _PIECE_S)
        self.assertEqual(b"x", short[0].body)
        self.assertEqual(b"x" * 20, long[0].body)

    def test_a_long_request_has_time_to_leave(self):
        """Guards against a bound that a long value uses up on its way out."""
        results = self.ask(pieces=1, timeout_s=0.5 * _PIECE_S, size=100_000)
        self.net.advance_by(2 * _PIECE_S)
        self.assertEqual(b"x", results[0].body)
