"""A third of the endpoints crash and are back at once, three times over.

They start again at their addresses under new ids, which the registry lists a
heartbeat later. Until then gateways send to starts that have ended.
"""

from testtools import TestCase

from magnolialug.standin.endpoint import EndpointStandin, Fault
from magnolialug.standin.modelserver import ModelServerStandin
from tests.gatewaycluster import GatewayCluster

VMS = ("front-1", "front-2", "front-3")


class Fleet:
    """Endpoints that start again under new ids, and three gateways."""

    def __init__(self, desks=6, engines=0, vms=VMS, operator=None):
        self.cluster = GatewayCluster(desks, engines, operator, vms=vms)
        self.cluster.pass_time(1)
        self.starts = list(self.cluster.endpoints())
        self._number = 0
        self._sender = 0
        self._vms = vms

    def crash(self, endpoints):
        """Ends endpoints; their addresses refuse connections."""
        for endpoint in endpoints:
            self.cluster.net.servers.pop(endpoint.address, None)
            for conn in list(endpoint.open):
                conn.transport.abortConnection()

    def return_at_once(self, endpoints):
        """Starts endpoints again at their addresses; none is listed yet."""
        self.crash(endpoints)
        return [self._start_again(endpoint) for endpoint in endpoints]

    def _start_again(self, before):
        self._number += 1
        engine = isinstance(before, ModelServerStandin)
        kind = ModelServerStandin if engine else EndpointStandin
        start = kind(self.cluster.net, f"{before.instance}-{self._number}")
        start.address, start.row = before.address, dict(before.row)
        self.cluster.net.servers[start.address] = start
        of_kind = self.cluster.engines if engine else self.cluster.desks
        of_kind[start.instance] = start
        self.starts[self.starts.index(before)] = start
        return start

    def list_starts(self, starts):
        """Lists new starts, whose earlier ones expire later."""
        for start in starts:
            self.cluster.relist(start, sequence=1)

    def send(self, path, number=None, **options):
        """Sends a request to one gateway, or to each in turn."""
        if number is None:
            self._sender += 1
            number = 1 + self._sender % len(self._vms)
        caller = self.cluster.caller((f"10.0.0.{number}", 80))
        return self.cluster.send(path, caller=caller, **options)

    def ask(self, path, number=1, seconds=0.1):
        """Sends a request and lets time pass; returns its caller."""
        caller = self.send(path, number)
        self.cluster.pass_time(seconds)
        return caller

    def load(self, path, count, interval_s=0.01):
        """Sends requests through all gateways; returns their callers."""
        callers = []
        for _ in range(count):
            callers.append(self.send(path))
            self.cluster.pass_time(interval_s)
        self.cluster.pass_time(0.5)
        return callers

    def wrong_starts(self):
        """Returns how many requests other starts than the named one got."""
        return sum(
            seen.headers["x-expect-instance"] != start.instance
            for start in self.cluster.endpoints()
            for seen in start.seen
            if "x-expect-instance" in seen.headers
        )


class WrongStartTest(TestCase):
    """A request that another start has refused goes on elsewhere."""

    def test_no_503_while_another_endpoint_is_open(self):
        """Guards against callers refused for want of a second attempt.

        Their routes allow one endpoint to run the request, and the 421 of a
        start that ran nothing counted as that one.
        """
        for path in ("/book/x", "/draft/x"):
            fleet = Fleet(desks=6, engines=6)
            callers = []
            for _ in range(3):
                kind = ModelServerStandin if "draft" in path else None
                starts = [
                    start
                    for start in fleet.starts
                    if isinstance(start, ModelServerStandin) is bool(kind)
                ]
                fresh = fleet.return_at_once(starts[:2])
                callers += fleet.load(path, 45)
                fleet.list_starts(fresh)
                fleet.cluster.pass_time(1)
            statuses = [caller.last.status for caller in callers]
            self.assertEqual({200}, set(statuses), path)
            self.assertGreater(fleet.wrong_starts(), 0)
            ran = {fleet.cluster.ran(c.request_id) for c in callers}
            self.assertEqual({1}, ran, path)

    def test_unprobed_endpoints_take_what_another_start_refused(self):
        """Guards against a 503 where the probed endpoints close meanwhile."""
        fleet = Fleet(desks=3, vms=VMS[:1])
        prober = fleet.cluster.gateway._prober
        probe = prober.probe

        async def probe_closing(call, avoid):
            results = await probe(call, avoid)
            if avoid:
                results.candidates.clear()
            return results

        prober.probe = probe_closing
        fleet.return_at_once(fleet.starts[:1])
        for _ in range(4):
            caller = fleet.ask("/book/x")
            self.assertEqual(200, caller.last.status)
        self.assertEqual(1, fleet.wrong_starts())

    def test_a_suspected_endpoint_with_other_weights_is_tried_again(self):
        """Guards against a 421 that leaves an engine unsound for good."""
        fleet = Fleet(desks=0, engines=1, vms=VMS[:1])
        (engine,) = fleet.starts
        (peer,) = fleet.cluster.gateway.directory.peers.values()
        engine.version = 2
        peer.health.streak = 1
        fleet.ask("/draft/x", seconds=0.5)
        self.assertEqual(0, len(engine.ran))
        self.assertTrue(peer.sound(fleet.cluster.net.seconds()))

    def test_a_storm_of_421_is_paid_from_the_retry_budget(self):
        """Guards against load that grows with each endpoint that restarts."""
        fleet = Fleet(desks=6, vms=VMS[:1])
        for start in fleet.starts:
            start.faults = [Fault.MISDIRECTED] * 400
        callers = fleet.load("/read/x", 200)
        arrivals = sum(len(start.seen) for start in fleet.starts)
        budget = fleet.cluster.gateway._new_budget()
        allowed = len(callers) * (1 + budget.ratio) + budget.limit
        self.assertLessEqual(arrivals, allowed)

    def test_a_spent_budget_refuses_truly_and_briefly(self):
        """Guards against callers told to wait while others are open."""
        for path in ("/read/x", "/book/x"):
            fleet = Fleet(desks=2, vms=VMS[:1])
            fleet.cluster.gateway._budget.limit = 0.0
            fleet.return_at_once(fleet.starts)
            caller = fleet.ask(path)
            self.assertEqual(503, caller.last.status)
            self.assertLess(float(caller.last.headers["retry-after"]), 0.1)
            self.assertEqual(0, fleet.cluster.ran(caller.request_id))

    def test_a_lost_non_idempotent_request_is_not_sent_again(self):
        """Guards against a booking that runs twice after a 421."""
        fleet = Fleet(desks=3, vms=VMS[:1])
        first = fleet.ask("/book/x")
        self.assertEqual(200, first.last.status)
        fleet.return_at_once(fleet.starts[:1])
        for start in fleet.starts:
            start.faults = [Fault.RESET_BEFORE] * 9
        for _ in range(6):
            caller = fleet.ask("/book/x")
            self.assertEqual(502, caller.last.status)
            self.assertEqual(1, fleet.cluster.ran(caller.request_id))
        self.assertEqual(1, fleet.wrong_starts())
