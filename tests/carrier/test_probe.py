"""Whether an endpoint has ended, as one connection shows it."""

from testtools import TestCase

from magnolialug.carrier.pool import Pool
from magnolialug.standin.endpoint import EndpointStandin
from tests.network import Network

ADDRESS = ("10.1.0.1", 8080)


class Silent:
    """Takes an answer that never comes."""

    def on_head(self, head):
        """Takes a head."""

    def on_data(self, data):
        """Takes data."""

    def on_end(self, end):
        """Learns of the end."""


class ProbeTest(TestCase):
    """An endpoint has ended if it refuses, and has no connection left."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.net.servers[ADDRESS] = EndpointStandin(self.net, "i-1")
        self.pool = Pool(self.net, ADDRESS, 10, self.net.seconds)
        self.told = []

    def probe(self):
        """Returns what a probe tells."""
        self.pool.probe(self.told.append)
        self.net.advance_by(3)
        return self.told[-1]

    def test_one_that_takes_connections_has_not(self):
        self.assertFalse(self.probe())
        self.assertEqual(0, self.pool.open)

    def test_one_that_refuses_has(self):
        del self.net.servers[ADDRESS]
        self.assertTrue(self.probe())
        self.assertEqual(0, self.pool.open)

    def test_one_that_refuses_and_keeps_others_open_has_not(self):
        """An endpoint that has too many connections refuses further ones."""
        request = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"
        self.pool.send(request, Silent(), lambda head: False)
        self.net.advance_by(0.003, 0.001)
        del self.net.servers[ADDRESS]
        self.pool.probe(self.told.append)
        self.net.advance_by(0.003, 0.001)
        self.assertEqual([False], self.told)

    def test_one_behind_something_that_takes_and_closes_has(self):
        taken = []
        server = EndpointStandin(self.net, "i-1")
        build = server.buildProtocol

        def build_and_close(addr):
            conn = build(addr)
            taken.append(conn)
            self.net.callLater(0.01, lambda: conn.transport.abortConnection())
            return conn

        server.buildProtocol = build_and_close
        self.net.servers[ADDRESS] = server
        self.assertTrue(self.probe())
        self.assertEqual(1, len(taken))

    def test_one_that_does_not_answer_is_not_known_to_have(self):
        self.net.dark.add(ADDRESS)
        self.assertFalse(self.probe())
