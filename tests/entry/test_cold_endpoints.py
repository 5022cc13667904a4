"""Tests of the request rate that reaches cold endpoints.

They guard against one failure: endpoints that come back after a crash, a
silence or an evacuation look idle to every gateway at once, and crash under the
load that all gateways send.
"""

from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster, config

COLD_S = 3.0
PER_S = 6.0
# The platform's limit: 1.5 times the announced rate, plus five.
MAX_PER_S = PER_S * 1.5 + 5
VMS = ("front-1", "front-2", "front-3")
_PATH = ("10.9.9.1", 1)


def operator():
    """Returns a configuration whose plain endpoints have cold starts."""
    base = config()
    desk = {
        **base["services"][0],
        "coldStartS": COLD_S,
        "coldPerS": PER_S,
    }
    return {**base, "services": [desk, *base["services"][1:]]}


class ColdEndpointTest(TestCase):
    """Three gateways under load, and an endpoint that comes back."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(
            desks=2, engines=0, operator=operator(), vms=VMS
        )
        self.cluster.pass_time(2)
        self.desk = self.cluster.desks["i-desk1"]
        self.arrivals = []
        self.desk.on_arrival = lambda req: self.arrivals.append(
            self.cluster.net.seconds()
        )

    def load(self, seconds, per_s=60):
        """Sends requests through all gateways; returns their callers."""
        callers = []
        for number in range(round(seconds * per_s)):
            address = (f"10.0.0.{1 + number % len(VMS)}", 80)
            caller = self.cluster.caller(address)
            callers.append(self.cluster.send("/read/x", caller=caller))
            self.cluster.pass_time(1 / per_s)
        return callers

    def busiest_second(self):
        """Returns the most arrivals at the endpoint in any second."""
        return max(
            sum(at <= when < at + 1 for when in self.arrivals)
            for at in self.arrivals or [0.0]
        )

    def test_warm_endpoint_gets_its_share(self):
        self.load(2)
        self.assertGreater(self.busiest_second(), MAX_PER_S)

    def test_rate_is_limited_after_a_start(self):
        self.cluster.start_again(self.desk, 5000, told=False)
        self.cluster.relist(
            self.desk, born=5000, coldRemainingMs=int(COLD_S * 1000)
        )
        self.cluster.pass_time(0.3)
        self.arrivals.clear()
        callers = self.load(COLD_S - 0.4)
        self.assertGreater(len(self.arrivals), 0)
        self.assertLess(self.busiest_second(), MAX_PER_S)
        self.assertEqual({200}, {c.last.status for c in callers[:-5]})

    def test_rate_is_limited_when_endpoint_announces_it_is_cold(self):
        self.cluster.relist(self.desk, coldRemainingMs=int(COLD_S * 1000))
        self.cluster.pass_time(0.3)
        self.arrivals.clear()
        self.load(COLD_S - 0.4)
        self.assertLess(self.busiest_second(), MAX_PER_S)

    def test_rate_is_limited_when_a_zone_returns_from_evacuation(self):
        """The registry entry shows the cold start only a heartbeat later."""
        other = self.cluster.add_desk("b")
        self.cluster.write("op/evacuate/a", {})
        self.cluster.pass_time(1)
        self.cluster.remove("op/evacuate/a")
        self.cluster.pass_time(0.3)
        self.arrivals.clear()
        self.load(COLD_S - 0.4)
        self.assertLess(self.busiest_second(), MAX_PER_S)
        self.assertGreater(len(other.seen), 60)

    def test_rate_is_limited_if_start_and_end_of_evacuation_coincide(self):
        """Guards against missing an evacuation that ends before it is read."""
        self.cluster.add_desk("b")
        self.cluster.pass_time(2)
        self.cluster.kv.faults.deaf_watches = True
        self.cluster.write("op/evacuate/a", {})
        self.cluster.remove("op/evacuate/a")
        self.cluster.pass_time(0.01)
        self.cluster.kv.faults.deaf_watches = False
        self.cluster.pass_time(1.5)
        self.arrivals.clear()
        self.load(COLD_S - 2.0)
        self.assertLess(self.busiest_second(), MAX_PER_S)

    def test_rate_is_limited_after_refused_connections(self):
        """The endpoint restarted; its registry entry does not show it yet."""
        listening = self.cluster.net.servers.pop(self.desk.address)
        self.desk.faults[:] = [Fault.RESET_BEFORE] * 20
        self.load(1)
        for conn in list(self.desk.open):
            conn.transport.abortConnection()
        self.load(1)
        self.desk.faults.clear()
        self.cluster.net.servers[self.desk.address] = listening
        self.arrivals.clear()
        self.load(COLD_S)
        self.assertLess(self.busiest_second(), MAX_PER_S)

    def test_rate_is_limited_when_all_gateways_restart(self):
        """Guards against first requests of all gateways at one moment."""
        vms = [f"front-{number}" for number in range(1, 21)]
        self.cluster = GatewayCluster(
            desks=1, engines=0, operator=operator(), vms=vms
        )
        self.cluster.pass_time(2)
        desk = self.cluster.desks["i-desk1"]
        self.cluster.relist(desk, coldRemainingMs=int(COLD_S * 1000))
        for number, vm in enumerate(vms, 1):
            self.cluster.start(vm, number)
        self.cluster.pass_time(0.05)
        desk.on_arrival = lambda req: self.arrivals.append(
            self.cluster.net.seconds()
        )
        for _ in range(20):
            for number in range(1, len(vms) + 1):
                caller = self.cluster.caller((f"10.0.0.{number}", 80))
                self.cluster.send("/read/x", caller=caller)
            self.cluster.pass_time(0.05)
        self.assertGreater(len(self.arrivals), PER_S / 2)
        self.assertLess(self.busiest_second(), MAX_PER_S)

    def test_rate_is_limited_at_a_gateway_cut_off_from_the_registry(self):
        """Guards against a cold start that gateways do not share."""
        self.cluster.start_behind(_PATH, "front-3", 3)
        self.cluster.pass_time(2)
        self.cluster.net.cut(_PATH)
        self.cluster.pass_time(0.5)
        self.cluster.relist(self.desk, coldRemainingMs=int(COLD_S * 1000))
        self.cluster.pass_time(0.3)
        self.arrivals.clear()
        self.load(COLD_S - 0.4)
        self.assertGreater(len(self.arrivals), 0)
        self.assertLess(self.busiest_second(), MAX_PER_S)

    def test_cold_period_is_not_prolonged_by_sharing(self):
        """Guards against a cold period that grows as gateways exchange it."""
        self.cluster.relist(self.desk, coldRemainingMs=int(COLD_S * 1000))
        self.load(COLD_S + 0.5)
        now = self.cluster.net.seconds()
        for gateway in self.cluster.gateways:
            peer = gateway.directory.peers[self.desk.instance]
            self.assertFalse(peer.cold.is_cold(now))

    def test_service_with_only_cold_endpoints_sends_retry_after(self):
        self.cluster.remove("servers/i-desk2")
        self.cluster.relist(self.desk, coldRemainingMs=int(COLD_S * 1000))
        self.cluster.pass_time(0.3)
        callers = self.load(1, per_s=30)
        self.cluster.pass_time(0.5)
        refused = [c for c in callers if c.last.status == 503]
        self.assertGreater(len(refused), 5)
        for caller in refused:
            after_s = float(caller.last.headers["retry-after"])
            self.assertGreater(after_s, 0)
            self.assertLess(after_s, len(VMS) / PER_S + 0.1)
        self.assertLess(self.busiest_second(), MAX_PER_S)
