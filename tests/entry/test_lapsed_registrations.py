"""Gateways whose registrations expire while they serve.

The key-value service is down for longer than a lease, or cannot be reached by
some gateways. All gateways share the request rate that a cold endpoint allows,
so each must know how many gateways there are.
"""

from testtools import TestCase

from magnolialug.entry.entrycount import COUNT_KEY
from tests.gatewaycluster import GatewayCluster, config

VMS = ("front-1", "front-2", "front-3")
COLD_S = 3.0
COLD_PER_S = 12.0
# The platform's bound: the rate plus half, plus five requests.
MAX_COLD_PER_S = COLD_PER_S * 1.5 + 5
OUTAGES_S = (10.0, 20.0, 40.0)
# A dead gateway counts until its lease and the uncertainty period are over.
_DROPPED_AFTER_S = 50.0
# The number of gateways has been stored this long after it changed.
_SETTLED_AFTER_S = 6.0


def operator():
    """Returns a configuration whose plain endpoints have cold starts."""
    base = config()
    desk = {**base["services"][0], "coldStartS": COLD_S, "coldPerS": COLD_PER_S}
    return {**base, "services": [desk, *base["services"][1:]]}


class LapsedFleet:
    """Three gateways, some behind network paths that can be cut."""

    def __init__(self, paths=()):
        self.cluster = GatewayCluster(
            desks=1, engines=0, operator=operator(), vms=VMS[: 3 - len(paths)]
        )
        self.net = self.cluster.net
        self.gateways = list(self.cluster.gateways)
        for number, path in enumerate(paths, 4 - len(paths)):
            gateway = self.cluster.start_behind(path, VMS[number - 1], number)
            self.gateways.append(gateway)
        self.cluster.pass_time(4)

    def min_counts(self, seconds):
        """Lets time pass; returns the lowest entry count of each gateway."""
        least = [gateway.directory.entries for gateway in self.gateways]
        until = self.net.seconds() + seconds
        while self.net.seconds() < until:
            self.cluster.pass_time(0.05)
            now = [gateway.directory.entries for gateway in self.gateways]
            least = [min(pair) for pair in zip(least, now, strict=True)]
        return least

    def max_requests_per_s_to_a_cold_endpoint(self):
        """Makes an endpoint cold; returns its most requests in a second."""
        desk = self.cluster.desks["i-desk1"]
        arrivals = []
        desk.on_arrival = lambda req: arrivals.append(self.net.seconds())
        self.cluster.relist(desk, coldRemainingMs=int(COLD_S * 1000))
        self.cluster.pass_time(0.3)
        arrivals.clear()
        for number in range(180):
            address = (f"10.0.0.{1 + number % 3}", 80)
            self.cluster.send("/read/x", self.cluster.caller(address))
            self.cluster.pass_time(COLD_S * 0.8 / 180)
        return max(
            sum(at <= when < at + 1 for when in arrivals) for at in arrivals
        )


class LapsedRegistrationsTest(TestCase):
    """Guards against gateways that count only themselves."""

    def outage(self, fleet, seconds):
        """Stops the key-value service for some time."""
        fleet.cluster.kv.faults.down = True
        fleet.cluster.pass_time(seconds)
        fleet.cluster.kv.faults.down = False

    def test_each_counts_all_after_an_outage_longer_than_a_lease(self):
        for seconds in OUTAGES_S:
            fleet = LapsedFleet()
            self.outage(fleet, seconds)
            self.assertEqual([3, 3, 3], fleet.min_counts(12), seconds)

    def test_each_counts_all_while_brief_outages_prevent_renewals(self):
        fleet = LapsedFleet()
        for _ in range(4):
            self.outage(fleet, 3.5)
            self.assertEqual([3, 3, 3], fleet.min_counts(0.6))
        self.assertEqual([3, 3, 3], fleet.min_counts(12))

    def test_a_cold_endpoint_gets_no_more_than_its_rate_after_an_outage(self):
        fleet = LapsedFleet()
        self.outage(fleet, 20.0)
        fleet.cluster.pass_time(0.5)
        most = fleet.max_requests_per_s_to_a_cold_endpoint()
        self.assertLess(most, MAX_COLD_PER_S)
        self.assertGreater(most, COLD_PER_S / 2)

    def test_a_connected_gateway_counts_the_disconnected_ones(self):
        """The others cannot renew their leases but continue to serve."""
        paths = [("10.9.9.1", 1), ("10.9.9.2", 1)]
        fleet = LapsedFleet(paths)
        for path in paths:
            fleet.net.cut(path)
        self.assertEqual([3, 3, 3], fleet.min_counts(25))
        for path in paths:
            fleet.net.heal(path)
        self.assertEqual([3, 3, 3], fleet.min_counts(25))

    def test_all_are_registered_again_soon_after_an_outage(self):
        """A gateway that starts can only count registered gateways."""
        fleet = LapsedFleet()
        self.outage(fleet, 20.0)
        fleet.cluster.pass_time(1.5)
        fleet.gateways = [fleet.cluster.start("front-4", 4)]
        fleet.cluster.pass_time(0.5)
        self.assertEqual([4], fleet.min_counts(0.1))

    def test_a_gateway_started_while_all_have_lapsed_counts_all(self):
        """Guards against a new gateway that takes itself for the only one."""
        fleet = LapsedFleet()
        fleet.cluster.pass_time(_SETTLED_AFTER_S)
        self.outage(fleet, 20.0)
        started = fleet.cluster.start("front-4", 4)
        least = 4
        until = fleet.net.seconds() + 3.0
        while fleet.net.seconds() < until:
            fleet.cluster.pass_time(0.01)
            if started.ready():
                least = min(least, started.directory.entries)
        self.assertTrue(started.ready())
        self.assertGreaterEqual(least, 3)
        self.assertEqual(4, started.directory.entries)

    def test_a_gateway_that_starts_does_not_count_the_dead_for_long(self):
        """Guards against shares that stay as small as in a larger fleet."""
        fleet = LapsedFleet()
        fleet.cluster.pass_time(_SETTLED_AFTER_S)
        for gateway in fleet.gateways:
            gateway._entries.task.stop()
            gateway._watch_client.stop()
        fleet.cluster.pass_time(_DROPPED_AFTER_S)
        fleet.gateways = [fleet.cluster.start("front-4", 4)]
        fleet.cluster.pass_time(1)
        self.assertEqual([3], fleet.min_counts(0.1))
        fleet.cluster.pass_time(_DROPPED_AFTER_S)
        self.assertEqual([1], fleet.min_counts(0.1))
        stored = fleet.cluster.kv._rows[COUNT_KEY].value
        self.assertEqual(b'{"entries":1}', stored)

    def test_a_dead_gateway_is_not_counted_any_more(self):
        """Guards against a rate share that shrinks with each dead gateway."""
        fleet = LapsedFleet()
        dead = fleet.gateways.pop()
        dead._entries.task.stop()
        fleet.cluster.pass_time(_DROPPED_AFTER_S)
        self.assertEqual([2, 2], fleet.min_counts(0.1))
