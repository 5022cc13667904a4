"""Callers that do not behave, and the descriptors of a real gateway."""

from tests.crowdtest import CrowdTest
from tests.gatewayprocess import request

_CROWD = 600


class DescriptorTest(CrowdTest):
    """More connections than the settings allow descriptors."""

    def test_connections_that_send_nothing(self):
        """Guards against idle connections that keep ordinary callers out."""
        self.start()
        self.crowd(_CROWD, lambda number: iter(()))
        self.check()

    def test_connections_that_send_part_of_a_head(self):
        """Guards against the same with requests that never end."""
        self.start()
        head = request("GET", "/read/x", "w")
        self.crowd(_CROWD, lambda number: iter([head[:-2]]), opens_again=True)
        self.check()

    def test_connections_to_the_readiness_listener(self):
        """Guards against a balancer that finds no room among others."""
        self.start()
        self.crowd(_CROWD, lambda number: iter(()), self.gateway.ready)
        self.check()

    def test_connections_to_the_metrics_listener(self):
        """Guards against connections that nobody counts."""
        self.start()
        self.crowd(_CROWD, lambda number: iter(()), self.gateway.metrics)
        self.check()

    def test_answers_that_are_not_read(self):
        """Guards against endpoints' connections that wait for such callers."""
        self.start(desks=1)
        data = request("GET", "/read/x?size=1000000", "w")
        self.crowd(150, lambda number: iter([data]), opens_again=True)
        self.check()
