"""Evacuation of availability zones, and its end.

An evacuated zone, a third of all endpoints, must get no requests after a few
seconds, while requests are queued, running and retried there.
"""

import msgspec
from testtools import TestCase

from magnolialug.ids import ServiceName
from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster

# Two of these fill an engine of 140,000 tokens.
LONG = "aa:20000,o{}:40000"
TOKENS = "60000,100"
_PATH = ("10.9.9.1", 1)


def two_zones(engines=0):
    """Returns a cluster with a desk, and engines, in each of two zones."""
    cluster = GatewayCluster(desks=1, engines=engines)
    cluster.add_desk("b")
    for _ in range(engines):
        cluster.add_engine("b")
    cluster.pass_time(0.5)
    return cluster


def evacuate(cluster, zone="a", value=b"{}"):
    """Writes the entry that evacuates a zone, and lets gateways read it."""
    cluster.write(f"op/evacuate/{zone}", value)
    cluster.pass_time(0.5)


class EvacuationTest(TestCase):
    """An evacuated zone gets no requests until its evacuation ends."""

    def test_a_first_attempt_does_not_reach_an_evacuated_zone(self):
        cluster = two_zones()
        evacuate(cluster)
        for _ in range(8):
            self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_a_zone_whose_evacuation_ended_gets_requests_again(self):
        cluster = two_zones()
        evacuate(cluster)
        cluster.remove("op/evacuate/a")
        cluster.pass_time(5)
        for _ in range(8):
            cluster.ask("/read/x", 0.1)
        self.assertNotEqual([], cluster.desks["i-desk1"].seen)

    def test_running_requests_in_an_evacuated_zone_are_finished(self):
        cluster = GatewayCluster(desks=1, engines=0)
        cluster.desks["i-desk1"].work_s = 2.0
        caller = cluster.send("/book/x")
        cluster.pass_time(0.1)
        evacuate(cluster)
        cluster.pass_time(2)
        self.assertEqual(200, caller.last.status)

    def test_a_retry_does_not_reach_an_evacuated_zone(self):
        """The first endpoint fails; the zone of the other one is evacuated."""
        cluster = two_zones()
        cluster.desks["i-desk2"].faults[:] = [Fault.ERROR] * 9
        evacuate(cluster)
        cluster.ask("/read/x", 1)
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_a_prompt_that_waits_is_not_granted_an_evacuated_engine(self):
        """The prompt is in the admission queues of engines in both zones."""
        cluster = two_zones(engines=1)
        here, there = cluster.engines.values()
        here.gap_s = there.gap_s = 0.2
        callers = []
        for number in range(6):
            parts = LONG.format(number)
            callers.append(
                cluster.send(
                    "/draft/x", parts=parts, tokens=TOKENS, deadline_ms=15000
                )
            )
            cluster.pass_time(0.05)
        self.assertEqual(2, cluster.gateway.owners.admission_client.waiting)
        evacuate(cluster)
        before = len(here.seen)
        cluster.pass_time(6)
        self.assertEqual(before, len(here.seen))
        self.assertEqual([200] * 6, [c.last.status for c in callers])

    def test_a_gateway_started_during_an_evacuation_applies_it(self):
        cluster = two_zones()
        evacuate(cluster)
        cluster.start("front-2", 2)
        cluster.pass_time(1)
        address = ("10.0.0.2", 80)
        for _ in range(4):
            cluster.ask("/read/x", 0.1, caller=cluster.caller(address))
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_an_endpoint_registered_during_an_evacuation_gets_nothing(self):
        cluster = two_zones()
        evacuate(cluster)
        late = cluster.add_desk("a")
        cluster.pass_time(0.5)
        for _ in range(4):
            cluster.ask("/read/x", 0.1)
        self.assertEqual([], late.seen)

    def with_disconnected_gateway(self):
        """Returns a cluster whose second gateway cannot reach the service."""
        cluster = two_zones()
        cluster.start_behind(_PATH, "front-2", 2)
        cluster.pass_time(2)
        cluster.net.cut(_PATH)
        cluster.pass_time(2)
        return cluster

    def send_to_both(self, cluster):
        """Sends requests to both gateways; returns the second one's callers."""
        callers = []
        for _ in range(8):
            cluster.ask("/read/x", 0.1)
            caller = cluster.caller(("10.0.0.2", 80))
            callers.append(cluster.ask("/read/x", 0.1, caller=caller))
        return callers

    def test_a_disconnected_gateway_applies_an_evacuation_of_its_peers(self):
        """Guards against requests from a gateway that missed the evacuation."""
        cluster = self.with_disconnected_gateway()
        evacuate(cluster)
        self.send_to_both(cluster)
        desk = cluster.desks["i-desk1"]
        before = len(desk.seen)
        callers = self.send_to_both(cluster)
        self.assertEqual(before, len(desk.seen))
        self.assertEqual({200}, {caller.last.status for caller in callers})

    def test_a_later_state_in_the_service_overrides_that_of_peers(self):
        """Guards against a zone that stays evacuated after the evacuation."""
        cluster = self.with_disconnected_gateway()
        evacuate(cluster)
        self.send_to_both(cluster)
        cluster.remove("op/evacuate/a")
        cluster.net.heal(_PATH)
        cluster.pass_time(5)
        callers = [self.send_to_both(cluster) for _ in range(2)]
        desk = cluster.desks["i-desk1"]
        request_ids = {caller.request_id for pair in callers for caller in pair}
        self.assertNotEqual(
            set(), request_ids & {req.request_id for req in desk.seen}
        )

    def test_an_evacuation_persists_through_a_service_outage(self):
        cluster = two_zones()
        evacuate(cluster)
        cluster.kv.faults.down = True
        cluster.pass_time(3)
        cluster.ask("/read/x", 0.1)
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_an_evacuation_removed_during_an_outage_ends_after_it(self):
        """The service dropped its history and does not report the removal."""
        cluster = two_zones()
        evacuate(cluster)
        cluster.kv.faults.down = True
        cluster.pass_time(2)
        cluster.remove("op/evacuate/a")
        cluster.kv.forget()
        cluster.kv.faults.down = False
        cluster.pass_time(3)
        self.assertFalse(
            cluster.gateway.directory.is_evacuated(ServiceName("desk"))
        )
        cluster.pass_time(4)
        for _ in range(8):
            cluster.ask("/read/x", 0.1)
        self.assertNotEqual([], cluster.desks["i-desk1"].seen)


class WholeServiceTest(TestCase):
    """All zones of a service are evacuated."""

    def test_a_request_is_refused_at_once_with_retry_after(self):
        cluster = GatewayCluster(desks=1, engines=0)
        evacuate(cluster)
        caller = cluster.ask("/book/x", 0.05)
        self.assertEqual(503, caller.last.status)
        self.assertGreater(float(caller.last.headers["retry-after"]), 0)
        self.assertEqual([], cluster.desks["i-desk1"].seen)


class RefusedOrderTest(TestCase):
    """Invalid evacuation entries have no effect."""

    def test_an_unknown_zone_and_a_malformed_entry_are_ignored(self):
        cluster = two_zones()
        evacuate(cluster, "elsewhere")
        evacuate(cluster, "b", b"\xff")
        cluster.desks["i-desk1"].faults[:] = [Fault.ERROR] * 9
        for _ in range(4):
            cluster.ask("/read/x", 0.1)
        self.assertNotEqual([], cluster.desks["i-desk2"].seen)

    def test_the_other_evacuations_stay_in_effect(self):
        cluster = two_zones()
        evacuate(cluster)
        evacuate(cluster, "elsewhere", msgspec.json.encode({}))
        cluster.ask("/read/x", 0.1)
        self.assertEqual([], cluster.desks["i-desk1"].seen)
