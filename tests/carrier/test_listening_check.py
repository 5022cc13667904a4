"""Checks that tell the end of a process from the end of an answer."""

from testtools import TestCase

from magnolialug.carrier.pool import Pool
from magnolialug.standin.endpoint import EndpointStandin
from tests.carrier.test_probe import NullReceiver
from tests.network import Network

ADDRESS = ("10.1.0.1", 8080)
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"


class ListeningCheckTest(TestCase):
    """An endpoint whose process has ended listens no more."""

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

    def test_the_connection_of_a_check_serves_the_next_request(self):
        """Guards against a connection more for each sound answer."""
        self.assertEqual([True], self.check(0.06))
        self.pool.send(REQUEST, NullReceiver(), lambda head, is_first: True)
        self.net.advance_by(0.01, 0.001)
        self.assertEqual(1, self.server.connections)
        self.assertEqual(1, len(self.server.seen))

    def test_an_endpoint_that_refuses_listens_no_more(self):
        """Guards against a killed process that counts as living."""
        del self.net.servers[ADDRESS]
        self.assertEqual([False], self.check())

    def test_an_endpoint_that_is_killed_during_the_check_listens_no_more(self):
        """Guards against a listener that is closed last."""
        self.net.servers[ADDRESS] = self.server
        self.pool.check_listening(self.results.append)
        self.net.advance_by(0.03, 0.001)
        del self.net.servers[ADDRESS]
        for conn in list(self.server.open):
            conn.transport.abortConnection()
        self.net.advance_by(1, 0.001)
        self.assertEqual([False], self.results)

    def test_a_listener_that_closes_late_counts_for_nothing(self):
        """Guards against a killed process that is preempted as it ends."""
        self.pool.check_listening(self.results.append, 0.25)
        self.net.advance_by(0.2, 0.001)
        del self.net.servers[ADDRESS]
        for conn in list(self.server.open):
            conn.transport.abortConnection()
        self.net.advance_by(1, 0.001)
        self.assertEqual([False], self.results)

    def test_an_endpoint_that_keeps_connections_listens(self):
        """Guards against a full endpoint that is taken for a killed one."""
        self.pool.send(REQUEST, NullReceiver(), lambda head, is_first: False)
        self.net.advance_by(0.003, 0.001)
        self.server.work_s = 10
        self.server.max_connections = 1
        self.assertEqual([True], self.check(0.5))

    def test_an_endpoint_that_is_not_reached_does_not_count_as_listening(self):
        """Guards against an end that is taken for proved without an answer."""
        self.net.dark.add(ADDRESS)
        self.assertEqual([False], self.check())

    def test_a_check_counts_only_for_closes_before_it(self):
        """Guards against a connection made before the process was killed."""
        self.pool.check_listening(self.results.append)
        self.net.advance_by(0.004, 0.001)
        self.pool.check_listening(self.results.append)
        self.net.advance_by(0.049, 0.001)
        self.assertEqual([True], self.results)
        del self.net.servers[ADDRESS]
        for conn in list(self.server.open):
            conn.transport.loseConnection()
        self.net.advance_by(1, 0.001)
        self.assertEqual([True, False], self.results)

    def test_one_that_raises_keeps_no_others_back(self):
        """Guards against attempts that never end behind a failed one."""

        def fail(listens):
            raise RuntimeError("fails")

        self.pool.check_listening(fail)
        self.pool.check_listening(self.results.append)
        self.assertRaises(RuntimeError, self.net.advance_by, 0.1, 0.001)
        self.net.advance_by(0.2, 0.001)
        self.assertEqual([True], self.results)

    def test_a_pool_at_its_limit_keeps_no_connection_of_a_check(self):
        """Guards against more connections than an endpoint allows."""
        self.pool.limit = 0
        self.assertEqual([True], self.check(0.1))
        self.assertEqual(0, self.pool.connection_count)
