"""Probes that determine whether an endpoint has ended."""

from testtools import TestCase

from magnolialug.carrier.pool import Pool
from magnolialug.standin.endpoint import EndpointStandin
from tests.network import Network

ADDRESS = ("10.1.0.1", 8080)


class NullReceiver:
    """Ignores a response."""

    def on_head(self, head):
        """Ignores the head."""

    def on_data(self, data):
        """Ignores data."""

    def on_end(self, end):
        """Ignores the end."""


class ProbeTest(TestCase):
    """An endpoint has ended if it refuses and no connection is left."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.net.servers[ADDRESS] = EndpointStandin(self.net, "i-1")
        self.pool = Pool(self.net, ADDRESS, 10, self.net.seconds)
        self.results = []

    def probe(self):
        """Returns the result of a probe."""
        self.pool.probe(self.results.append)
        self.net.advance_by(3)
        return self.results[-1]

    def test_an_endpoint_that_accepts_has_not_ended(self):
        self.assertFalse(self.probe())
        self.assertEqual(0, self.pool.connection_count)

    def test_an_endpoint_that_refuses_has_ended(self):
        del self.net.servers[ADDRESS]
        self.assertTrue(self.probe())
        self.assertEqual(0, self.pool.connection_count)

    def test_refusing_with_open_connections_is_not_ended(self):
        """An endpoint that has too many connections refuses further ones."""
        request = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"
        self.pool.send(request, NullReceiver(), lambda head: False)
        self.net.advance_by(0.003, 0.001)
        del self.net.servers[ADDRESS]
        self.pool.probe(self.results.append)
        self.net.advance_by(0.003, 0.001)
        self.assertEqual([False], self.results)

    def test_an_intermediary_that_accepts_and_closes_means_ended(self):
        accepted = []
        server = EndpointStandin(self.net, "i-1")
        build = server.buildProtocol

        def build_and_close(addr):
            conn = build(addr)
            accepted.append(conn)
            self.net.callLater(0.01, lambda: conn.transport.abortConnection())
            return conn

        server.buildProtocol = build_and_close
        self.net.servers[ADDRESS] = server
        self.assertTrue(self.probe())
        self.assertEqual(1, len(accepted))

    def test_no_answer_does_not_prove_that_an_endpoint_has_ended(self):
        self.net.dark.add(ADDRESS)
        self.assertFalse(self.probe())
