"""Checks of listening that other connections of the pool mislead."""

from testtools import TestCase

from magnolialug.carrier.pool import Pool
from magnolialug.standin.endpoint import EndpointStandin
from tests.carrier.test_probe import NullReceiver
from tests.network import Network

ADDRESS = ("10.1.0.1", 8080)
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"


class OtherConnectionsTest(TestCase):
    """The pool has another connection, or keeps that of a check."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.server = EndpointStandin(self.net, "i-1")
        self.net.servers[ADDRESS] = self.server
        self.pool = Pool(self.net, ADDRESS, 10, self.net.seconds)
        self.results = []

    def check(self, seconds=2):
        """Returns the results of the checks so far, after another one."""
        self.pool.check_listening(self.results.append)
        self.net.advance_by(seconds, 0.001)
        return self.results

    def test_a_paused_connection_proves_no_living_endpoint(self):
        """Guards against the unread FIN of a killed endpoint's other answer."""
        self.server.work_s = 10
        pending = self.pool.send(
            REQUEST, NullReceiver(), lambda head, is_first: True
        )
        self.net.advance_by(0.01, 0.001)
        pending.pause()
        del self.net.servers[ADDRESS]
        for conn in list(self.server.open):
            conn.transport.loseConnection()
        self.net.advance_by(0.01, 0.001)
        self.assertEqual([False], self.check())

    def test_the_connection_of_a_check_is_not_used_after_a_long_idle_time(self):
        """Guards against a request that meets the close of an idle one."""
        self.assertEqual([True], self.check(0.06))
        self.net.advance_by(4.5, 0.01)
        (conn,) = self.pool._idle
        self.assertFalse(conn.usable)

    def test_a_silent_connection_proves_no_living_endpoint(self):
        """Guards against a connection whose close is lost on its way."""
        self.server.work_s = 10
        self.pool.send(REQUEST, NullReceiver(), lambda head, is_first: True)
        self.net.advance_by(0.01, 0.001)
        self.net.silence(ADDRESS)
        del self.net.servers[ADDRESS]
        self.assertEqual([False], self.check(0.9))
