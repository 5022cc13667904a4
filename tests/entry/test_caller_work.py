"""Callers that do not behave, and the processor time of a real gateway."""

from itertools import repeat

from tests.crowdtest import CrowdTest, chunked
from tests.gatewayprocess import Limits, request

# More than one pass over all connections can serve, whatever the machine.
_CROWD = 250
_CONNECTIONS = Limits(descriptors=1000)


class WorkTest(CrowdTest):
    """An ordinary request is answered while a crowd keeps the gateway busy."""

    def test_bodies_in_chunks_of_a_byte(self):
        """Guards against one pass over small chunks that keeps all waiting."""
        self.start(_CONNECTIONS)
        head = chunked(request("POST", "/book/x", "w"))

        def pieces(number: int):
            yield head
            yield from repeat(b"1\r\nx\r\n" * 10_000)

        self.crowd(_CROWD, pieces, opens_again=True)
        self.check()

    def test_refused_requests_ahead(self):
        """Guards against a connection that is served until nothing is left."""
        self.start(_CONNECTIONS)
        data = b"GET /n HTTP/1.1\r\nHost: a\r\n\r\n" * 2_000
        self.crowd(_CROWD, lambda _: repeat(data), reads=True, opens_again=True)
        self.check()

    def test_requests_ahead_without_a_key(self):
        """Guards against the same with requests of a route."""
        self.start(_CONNECTIONS)
        data = request("GET", "/read/x", "w", key="") * 500
        self.crowd(_CROWD, lambda _: repeat(data), reads=True, opens_again=True)
        self.check()
