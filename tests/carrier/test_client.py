"""Calls that are answered, late, or given up."""

from testtools import TestCase
from twisted.internet.defer import CancelledError, ensureDeferred

from magnolialug.carrier.client import Client, NoReply, request_bytes
from magnolialug.carrier.taker import End
from magnolialug.standin.endpoint import EndpointStandin, Fault
from tests.network import LATENCY_S, Network

ADDRESS = ("10.1.0.1", 8080)


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
