"""A third of the endpoints crash and are back at once, three times over.

They start again at their addresses under new ids, which the registry lists a
heartbeat later. Until then gateways send to starts that have ended.
"""

from collections import Counter

from testtools import TestCase

from magnolialug.standin.endpoint import EndpointStandin, Fault
from magnolialug.standin.modelserver import ModelServerStandin
from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines

VMS = ("front-1", "front-2", "front-3")
# A gateway whose last contact is younger finds out by itself.
CONTACT_S = 0.2
# The most endpoints that may run a request, as standin/operatorconfig.py says.
ROUTE_ATTEMPTS = 2


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

    def load(self, path, count, interval_s=0.01, parts="x{n}:500"):
        """Sends requests through all gateways; returns their callers.

        Args:
          parts: the parts of a prompt, with the number of the request.
        """
        callers = []
        for _ in range(count):
            named = parts.format(n=self._sender)
            callers.append(self.send(path, parts=named))
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
        peer.health.suspect()
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
        self.assert_arrivals_of_each(fleet)

    def test_one_request_does_not_spend_the_retry_budget(self):
        """Guards against a request that is sent on while the budget lasts."""
        for path in ("/read/x", "/book/x"):
            fleet = Fleet(desks=12, vms=VMS[:1])
            for start in fleet.starts:
                start.faults = [Fault.MISDIRECTED] * 400
            fleet.ask(path, seconds=5)
            self.assert_arrivals_of_each(fleet)

    def assert_arrivals_of_each(self, fleet):
        """Asserts that no request came too often, or twice to one endpoint.

        All endpoints answer 421, and three such answers do not count as an
        attempt.
        """
        most = ROUTE_ATTEMPTS + 3
        arrivals = Counter()
        for start in fleet.starts:
            of_start = Counter(
                seen.request_id for seen in start.seen if seen.request_id
            )
            self.assertEqual({1}, {1, *of_start.values()})
            arrivals += of_start
        self.assertLessEqual(max(arrivals.values()), most)

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


class SharedKnowledgeTest(TestCase):
    """What one gateway's request meets, the others need not meet."""

    def test_the_first_421_spares_the_others_theirs(self):
        """Guards against one refused request at each gateway and endpoint."""
        fleet = Fleet()
        for _ in range(3):
            fresh = fleet.return_at_once(fleet.starts[:2])
            fleet.cluster.pass_time(CONTACT_S)
            callers = fleet.load("/read/x", 45, 0.03)
            self.assertEqual({200}, {c.last.status for c in callers})
            fleet.list_starts(fresh)
            fleet.cluster.pass_time(1)
        # Each gateway by itself meets all six. Two requests at once may meet
        # the same start before the notice of the first arrives.
        self.assertLessEqual(fleet.wrong_starts(), len(VMS) * 6 / 2)

    def test_a_lost_notice_is_made_up_for(self):
        """Guards against a gateway that one lost datagram leaves behind."""
        fleet = Fleet(desks=1)
        net = fleet.cluster.net
        fleet.return_at_once(fleet.starts)
        net.loses_datagram = lambda sender, receiver: True
        fleet.ask("/read/x", 1)
        net.loses_datagram = lambda sender, receiver: False
        fleet.cluster.pass_time(0.5)
        peer = fleet.cluster.gateways[1].directory.peers["i-desk1"]
        self.assertFalse(peer.sound(net.seconds()))

    def test_the_first_refused_connection_spares_the_others_theirs(self):
        """Guards against connections refused at each gateway in turn."""
        fleet = Fleet()
        fleet.crash(fleet.starts[:2])
        dialled = fleet.cluster.net.dialled
        del dialled[:]
        callers = fleet.load("/read/x", 60)
        self.assertEqual({200}, {c.last.status for c in callers})
        tried = [dialled.count(start.address) for start in fleet.starts[:2]]
        # The request, its confirmation, and the same 0.8 s later.
        self.assertLessEqual(max(tried), 4)

    def test_a_refusing_endpoint_is_used_when_it_is_back(self):
        """Guards against an endpoint that reports keep closed."""
        fleet = Fleet(desks=2)
        (start,) = gone = fleet.starts[:1]
        fleet.crash(gone)
        fleet.load("/read/x", 30)
        fleet.cluster.net.servers[start.address] = start
        seen = len(start.seen)
        fleet.cluster.pass_time(1)
        fleet.load("/read/x", 60)
        self.assertGreater(len(start.seen) - seen, 10)

    def test_one_request_at_a_time_tries_a_refusing_endpoint(self):
        """Guards against callers that all wait for the same dead address."""
        fleet = Fleet(desks=2, vms=VMS[:1])
        net = fleet.cluster.net
        gone = fleet.starts[0]
        fleet.crash([gone])
        fleet.load("/read/x", 10)
        fleet.cluster.pass_time(1)
        net.dark.add(gone.address)
        del net.dialled[:]
        callers = [fleet.send("/read/x") for _ in range(20)]
        net.advance_by(0.1)
        answered = [c for c in callers if c.last.status == 200]
        self.assertLessEqual(net.dialled.count(gone.address), 1)
        self.assertGreaterEqual(len(answered), 19)

    def test_a_false_report_closes_no_endpoint_in_use(self):
        """Guards against one faulty gateway that takes endpoints from all."""
        fleet = Fleet(desks=2)
        reporter, other = fleet.cluster.gateways[:2]
        fleet.ask("/read/x", 2)
        fleet.ask("/read/x", 2)
        now = fleet.cluster.net.seconds
        fleet.cluster.pass_time(CONTACT_S)
        for peer in list(reporter.directory.peers.values()):
            reporter.directory.on_replaced(peer, "i-liar")
        fleet.cluster.pass_time(0.02)
        peers = list(other.directory.peers.values())
        self.assertFalse(any(peer.sound(now()) for peer in peers))
        # None looks sound, so all are tried, and an answer clears the first.
        lines = collect_lines(self)
        self.assertEqual(200, fleet.ask("/read/x", 2).last.status)
        self.assertEqual(1, sum("START_ANSWERS" in line for line in lines))
        self.assertTrue(any(peer.sound(now()) for peer in peers))
        fleet.cluster.pass_time(4)
        self.assertTrue(all(peer.sound(now()) for peer in peers))
        self.assertFalse(any(peer.gone for peer in peers))

    def test_a_late_report_of_an_earlier_start_changes_nothing(self):
        """Guards against a start closed for the end of the one before it."""
        fleet = Fleet(desks=2)
        start = fleet.starts[0]
        fleet.cluster.relist(start, born=1000)
        fleet.cluster.pass_time(1)
        reporter, other = fleet.cluster.gateways[:2]
        before = reporter.directory.peers[start.instance]
        fleet.cluster.start_again(start, 2000)
        fleet.cluster.pass_time(1)
        reporter.directory.on_replaced(before, "i-other")
        fleet.cluster.pass_time(0.1)
        peer = other.directory.peers[start.instance]
        self.assertEqual(2000, peer.listed.born_ms)
        self.assertTrue(peer.sound(fleet.cluster.net.seconds()))

    def test_the_registry_outweighs_a_report(self):
        fleet = Fleet(desks=1)
        gateway = fleet.cluster.gateway
        (peer,) = gateway.directory.peers.values()
        fleet.cluster.gateways[1].directory.on_replaced(peer, "i-liar")
        fleet.cluster.pass_time(0.1)
        now = fleet.cluster.net.seconds
        self.assertFalse(peer.sound(now()))
        fleet.cluster.relist(fleet.starts[0], slots=7)
        fleet.cluster.pass_time(0.5)
        self.assertTrue(peer.sound(now()))

    def test_the_owners_death_loses_nothing(self):
        """Guards against knowledge that is lost with an endpoint's owner."""
        fleet = Fleet(desks=3)
        ring = fleet.cluster.gateway.owners.ring
        owner, _ = ring.owner(fleet.starts[0].instance)
        number = int(owner.rpartition(".")[2])
        left = [n for n in (1, 2, 3) if n != number]
        fleet.return_at_once(fleet.starts[:1])
        fleet.cluster.pass_time(CONTACT_S)
        del fleet.cluster.net.listeners[owner, 7000]
        fleet.cluster.gateways[number - 1].messenger.transport = None
        for count in range(16):
            caller = fleet.ask("/book/x", left[count % 2], 0.2)
            self.assertEqual(200, caller.last.status)
        self.assertEqual(1, fleet.wrong_starts())


class ReturnTest(TestCase):
    """Endpoints that are back, cold and idle, beside busy ones."""

    def share(self, path, interval_s):
        """Returns the first arrivals at a returned endpoint by equal share."""
        engines = 6 if "draft" in path else 0
        parts = "a{n}:6000,b{n}:3000"
        vms = [f"front-{number}" for number in range(1, 7)]
        fleet = Fleet(6 - engines, engines, vms)
        for start in fleet.starts:
            self._set_work(start)
        fleet.load(path, 100, interval_s, parts)
        fleet.crash(fleet.starts[:1])
        fleet.load(path, 20, interval_s, parts)
        (back,) = fresh = fleet.return_at_once(fleet.starts[:1])
        self._set_work(back)
        fleet.list_starts(fresh)
        fleet.cluster.pass_time(0.3)
        before = sum(len(start.seen) for start in fleet.starts)
        fleet.load(path, 60, interval_s, parts)
        arrivals = sum(len(start.seen) for start in fleet.starts) - before
        return len(back.seen) / (arrivals / len(fleet.starts))

    def _set_work(self, start):
        start.work_s = 0.3
        start.events, start.gap_s = 20, 0.02

    def test_a_returned_endpoint_gets_no_more_than_twice_its_share(self):
        """Guards against an idle-looking endpoint that takes everything."""
        for path in ("/draft/x", "/read/x"):
            for interval_s in (0.005, 0.02):
                share = self.share(path, interval_s)
                self.assertLess(share, 2.0, (path, interval_s))
