"""Most new connections go to one gateway."""

from random import Random

from testtools import TestCase

from magnolialug.standin.operatorconfig import ENGINES
from tests.gatewaycluster import GatewayCluster, config

GATEWAYS = 26
WORK_S = 0.1
# By the platform's pages: after this time, at least this share of what was
# served before is served.
ADAPTED_S = 3.0
SERVED_SHARE = 0.75
EVEN_S = 5.0
UNEVEN_S = 9.0
UNEVEN_SHARE = 0.9


def run(connections, per_s):
    """Returns the share of requests served before and while uneven."""
    desk = {"name": "desk", "maxConnections": connections}
    cluster = GatewayCluster(
        desks=4,
        engines=0,
        operator=config(services=[desk, ENGINES]),
        vms=[f"front-{number}" for number in range(1, GATEWAYS + 1)],
    )
    for endpoint in cluster.desks.values():
        endpoint.work_s = WORK_S
        endpoint.max_connections = connections
    random = Random(1)
    begin = cluster.net.seconds()
    callers = []
    while (passed := cluster.net.seconds() - begin) < EVEN_S + UNEVEN_S:
        number = 1 + random.randrange(GATEWAYS)
        if passed >= EVEN_S and random.random() < UNEVEN_SHARE:
            number = 1
        caller = cluster.caller((f"10.0.0.{number}", 80))
        callers.append((passed, cluster.send("/read/x", caller=caller)))
        cluster.pass_time(1 / per_s)
    cluster.pass_time(2)
    return [
        _served_share([c for at, c in callers if since <= at < until])
        for since, until in (
            (0.0, EVEN_S),
            (EVEN_S + ADAPTED_S, EVEN_S + UNEVEN_S),
        )
    ]


def _served_share(callers):
    return sum(c.last.status == 200 for c in callers) / len(callers)


class UnevenArrivalsTest(TestCase):
    """Gateways whose shares of the arrivals differ."""

    def test_connections_that_others_do_not_use_are_used(self):
        """Guards against equal shares of connections for unequal arrivals.

        The gateway with most of the arrivals refused half of them while the
        endpoints were idle.
        """
        for connections, per_s in ((64, 150), (100, 200)):
            before, after = run(connections, per_s)
            self.assertGreaterEqual(before, 0.99)
            self.assertGreaterEqual(after, SERVED_SHARE * before, connections)


class SaturatedTest(TestCase):
    """A gateway whose processor cannot serve what arrives."""

    def setUp(self):
        super().setUp()
        vms = ("front-1", "front-2", "front-3")
        self.cluster = GatewayCluster(desks=4, engines=0, vms=vms)
        for _ in range(30):
            for number in (1, 2, 3):
                self.send(number)
            self.cluster.pass_time(0.02)

    def send(self, number, caller=None):
        """Sends a request on a new connection to a gateway."""
        address = (f"10.0.0.{number}", 80)
        caller = caller or self.cluster.caller(address)
        return self.cluster.send("/read/x", caller=caller)

    def saturate(self, *numbers):
        """Delays the event loops of gateways for a moment."""
        for number in numbers:
            saturation = self.cluster.gateways[number - 1].owners.saturation
            for _ in range(10):
                saturation.record(0.4)
        self.cluster.pass_time(0.06)

    def test_new_connections_are_closed_unread(self):
        """Guards against requests that are read and then wait for too long.

        A request that was read counts as an attempt; its caller could have
        been served by another gateway.
        """
        kept = self.cluster.caller(("10.0.0.1", 80))
        self.saturate(1)
        fresh = self.send(1)
        self.send(1, kept)
        elsewhere = self.send(2)
        self.cluster.pass_time(0.1)
        self.assertTrue(fresh.closed)
        self.assertEqual(0, self.cluster.ran(fresh.request_id))
        self.assertEqual(200, kept.last.status)
        self.assertEqual(200, elsewhere.last.status)
        self.assertTrue(self.cluster.gateway.ready())

    def test_they_are_accepted_again_soon(self):
        self.saturate(1)
        self.cluster.pass_time(1.0)
        caller = self.send(1)
        self.cluster.pass_time(0.1)
        self.assertEqual(200, caller.last.status)

    def test_gateways_that_are_all_saturated_serve(self):
        """Guards against a fleet that turns every caller away."""
        for _ in range(3):
            self.saturate(1, 2, 3)
        caller = self.send(1)
        self.cluster.pass_time(0.1)
        self.assertEqual(200, caller.last.status)
