"""Availability zones that are evacuated and taken back.

The pattern: a third of all endpoints may get nothing more within seconds,
while requests wait, run and are repeated there.
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
    """Writes an order to evacuate a zone, and lets it be read."""
    cluster.write(f"op/evacuate/{zone}", value)
    cluster.pass_time(0.5)


class EvacuationTest(TestCase):
    """An evacuated zone gets nothing, and is taken back."""

    def test_a_first_attempt_does_not_reach_an_evacuated_zone(self):
        cluster = two_zones()
        evacuate(cluster)
        for _ in range(8):
            self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_a_zone_that_is_taken_back_gets_work_again(self):
        cluster = two_zones()
        evacuate(cluster)
        cluster.remove("op/evacuate/a")
        cluster.pass_time(5)
        for _ in range(8):
            cluster.ask("/read/x", 0.1)
        self.assertNotEqual([], cluster.desks["i-desk1"].seen)

    def test_what_runs_in_an_evacuated_zone_ends_in_peace(self):
        cluster = GatewayCluster(desks=1, engines=0)
        cluster.desks["i-desk1"].work_s = 2.0
        caller = cluster.send("/book/x")
        cluster.pass_time(0.1)
        evacuate(cluster)
        cluster.pass_time(2)
        self.assertEqual(200, caller.last.status)

    def test_a_retry_does_not_reach_an_evacuated_zone(self):
        """The first endpoint fails; the other one has been evacuated."""
        cluster = two_zones()
        cluster.desks["i-desk2"].faults[:] = [Fault.ERROR] * 9
        evacuate(cluster)
        cluster.ask("/read/x", 1)
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_a_prompt_that_waits_is_not_granted_an_evacuated_engine(self):
        """It stands in the admission queues of the engines of both zones."""
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

    def test_a_gateway_that_starts_during_an_evacuation_obeys_it(self):
        cluster = two_zones()
        evacuate(cluster)
        cluster.start("front-2", 2)
        cluster.pass_time(1)
        address = ("10.0.0.2", 80)
        for _ in range(4):
            cluster.ask("/read/x", 0.1, caller=cluster.caller(address))
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_an_endpoint_that_is_listed_during_an_evacuation_gets_nothing(self):
        cluster = two_zones()
        evacuate(cluster)
        late = cluster.add_desk("a")
        cluster.pass_time(0.5)
        for _ in range(4):
            cluster.ask("/read/x", 0.1)
        self.assertEqual([], late.seen)

    def cut_off(self):
        """Returns a cluster with a second gateway that is cut off."""
        cluster = two_zones()
        cluster.start_behind(_PATH, "front-2", 2)
        cluster.pass_time(2)
        cluster.net.cut(_PATH)
        cluster.pass_time(2)
        return cluster

    def ask_at_both(self, cluster):
        """Sends requests to both gateways; returns the cut-off one's."""
        callers = []
        for _ in range(8):
            cluster.ask("/read/x", 0.1)
            caller = cluster.caller(("10.0.0.2", 80))
            callers.append(cluster.ask("/read/x", 0.1, caller=caller))
        return callers

    def test_a_gateway_that_is_cut_off_obeys_soon_too(self):
        """Guards against work for a zone of whose evacuation only some know."""
        cluster = self.cut_off()
        evacuate(cluster)
        self.ask_at_both(cluster)
        desk = cluster.desks["i-desk1"]
        before = len(desk.seen)
        callers = self.ask_at_both(cluster)
        self.assertEqual(before, len(desk.seen))
        self.assertEqual({200}, {caller.last.status for caller in callers})

    def test_what_the_service_says_later_goes_before_what_others_know(self):
        """Guards against a zone that stays evacuated for ever."""
        cluster = self.cut_off()
        evacuate(cluster)
        self.ask_at_both(cluster)
        cluster.remove("op/evacuate/a")
        cluster.net.heal(_PATH)
        cluster.pass_time(5)
        callers = [self.ask_at_both(cluster) for _ in range(2)]
        desk = cluster.desks["i-desk1"]
        cut_off = {caller.request_id for pair in callers for caller in pair}
        self.assertNotEqual(
            set(), cut_off & {req.request_id for req in desk.seen}
        )

    def test_an_order_outlasts_an_outage_of_the_service(self):
        cluster = two_zones()
        evacuate(cluster)
        cluster.kv.faults.down = True
        cluster.pass_time(3)
        cluster.ask("/read/x", 0.1)
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_one_taken_back_during_an_outage_ends_with_it(self):
        """The history is gone, so the removal is not told as a change."""
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
    """No zone is left for a service."""

    def test_a_request_is_refused_at_once_and_told_when_to_return(self):
        cluster = GatewayCluster(desks=1, engines=0)
        evacuate(cluster)
        caller = cluster.ask("/book/x", 0.05)
        self.assertEqual(503, caller.last.status)
        self.assertGreater(float(caller.last.headers["retry-after"]), 0)
        self.assertEqual([], cluster.desks["i-desk1"].seen)


class RefusedOrderTest(TestCase):
    """Orders that mean nothing change nothing."""

    def test_an_unknown_zone_and_a_malformed_order_are_passed_over(self):
        cluster = two_zones()
        evacuate(cluster, "elsewhere")
        evacuate(cluster, "b", b"\xff")
        cluster.desks["i-desk1"].faults[:] = [Fault.ERROR] * 9
        for _ in range(4):
            cluster.ask("/read/x", 0.1)
        self.assertNotEqual([], cluster.desks["i-desk2"].seen)

    def test_the_others_stay_in_force(self):
        cluster = two_zones()
        evacuate(cluster)
        evacuate(cluster, "elsewhere", msgspec.json.encode({}))
        cluster.ask("/read/x", 0.1)
        self.assertEqual([], cluster.desks["i-desk1"].seen)
