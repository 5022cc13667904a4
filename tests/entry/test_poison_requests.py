"""A request under which endpoints end, and which comes again."""

from random import Random

from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster

VMS = ("front-1", "front-2", "front-3", "front-4")
HARMFUL = b"ends whoever begins it"
# An endpoint begins what it got after this long, and ends; of any other
# request the first word comes a moment later.
BEGINS_S = 0.1
WORK_S = 0.11
# A new start is listed this much later, at the same address.
BACK_S = 2.5
# What the platform allows: after a request has ended three endpoints, and this
# long after the third, it may be sent to endpoints three times more.
ENDED = 3
TOLD_S = 3.0
SENT_AFTER = 3


class Ward:
    """A cluster whose endpoints end when they begin a harmful request.

    Attributes:
      sent: when and where a harmful request arrived at an endpoint.
      ended: when and which endpoints ended under one.
    """

    def __init__(self, desks=0, engines=6, vms=VMS):
        self.cluster = GatewayCluster(desks, engines, vms=vms)
        self.random = Random(1)
        self.sent = []
        self.ended = []
        self.harmful = {HARMFUL}
        for endpoint in self.cluster.endpoints():
            self.watch(endpoint)

    @property
    def now(self):
        """The time."""
        return self.cluster.net.seconds()

    def watch(self, endpoint):
        """Lets an endpoint end under harmful requests."""
        endpoint.work_s = WORK_S

        def arrived(req):
            if req.body in self.harmful:
                self.sent.append((self.now, endpoint.instance))
                self.cluster.net.callLater(BEGINS_S, begun, req)

        def begun(req):
            if any(conn.current is req for conn in endpoint.open):
                self.end(endpoint)

        endpoint.on_arrival = arrived

    def end(self, endpoint):
        """Ends an endpoint; a successor takes its address later."""
        self.ended.append((self.now, endpoint.instance))
        net = self.cluster.net
        del net.servers[endpoint.address]
        for conn in list(endpoint.open):
            conn.current = None
            conn.transport.loseConnection()
        net.callLater(BACK_S, self.start_again, endpoint)

    def start_again(self, endpoint):
        """Starts an endpoint under a new id, at the same address."""
        cluster = self.cluster
        engine = bool(endpoint.row["models"])
        successor = cluster.add_engine() if engine else cluster.add_desk()
        del cluster.net.servers[successor.address]
        successor.address = endpoint.address
        cluster.net.servers[endpoint.address] = successor
        address = f"{endpoint.address[0]}:{endpoint.address[1]}"
        cluster.relist(successor, address=address)
        cluster.remove(f"servers/{endpoint.instance}")
        self.watch(successor)

    def comes(self, path, seconds, every_s, body=HARMFUL, vms=4):
        """Sends a request again and again, each time to some gateway."""
        until = self.now + seconds
        while self.now < until:
            number = 1 + self.random.randrange(vms)
            caller = self.cluster.caller((f"10.0.0.{number}", 80))
            self.cluster.ask(path, every_s, caller=caller, body=body)

    def sent_late(self):
        """Returns what was sent long after the third endpoint had ended."""
        if len(self.ended) < ENDED:
            return []
        since = self.ended[ENDED - 1][0] + TOLD_S
        return [row for row in self.sent if row[0] > since]


class RepeatedTest(TestCase):
    """The same request comes again, at any gateway and under new ids."""

    def test_it_is_not_sent_on_once_three_endpoints_have_ended(self):
        """One request comes for twenty seconds and ends every engine.

        Symptom: all engines end one after the other, so do their successors,
        and whatever else is under way there ends with them. Sequence: a
        gateway places the request; the engine ends as it begins to run it;
        the gateway sends it to a second one; the caller asks again elsewhere
        under a new id. Cause: gateways knew requests by ids only, and nothing
        that an engine's end told outlived the request or left the gateway.
        Shown by line 2008: the same digest at every engine that ended.
        """
        for path, kinds in (
            ("/check/x", {"engines": 6}),
            ("/draft/x", {"engines": 6}),
            ("/read/x", {"desks": 6, "engines": 0}),
            ("/book/x", {"desks": 6, "engines": 0}),
        ):
            ward = Ward(**kinds)
            ward.comes(path, seconds=20, every_s=0.25)
            self.assertGreater(len(ward.ended), 0, path)
            self.assertLessEqual(len(ward.sent_late()), SENT_AFTER, path)

    def test_lost_datagrams_do_not_let_it_through(self):
        ward = Ward()
        random = Random(2)
        ward.cluster.net.loses_datagram = lambda *_: random.random() < 0.5
        ward.comes("/check/x", seconds=20, every_s=0.25)
        self.assertLessEqual(len(ward.sent_late()), SENT_AFTER)

    def test_gateways_that_cannot_talk_learn_it_from_what_is_written(self):
        ward = Ward()
        ward.cluster.net.loses_datagram = lambda sender, to: True
        ward.comes("/check/x", seconds=8, every_s=0.25)
        before = len(ward.sent)
        ward.comes("/check/x", seconds=12, every_s=0.25)
        self.assertEqual(before, len(ward.sent))

    def test_it_is_held_after_two_ends_and_barred_after_a_third(self):
        """The third endpoint is only risked when a common fault is over."""
        ward = Ward()
        ward.comes("/check/x", seconds=50, every_s=0.5)
        self.assertEqual(2, len(ward.ended))
        ward.comes("/check/x", seconds=30, every_s=0.5)
        self.assertEqual(3, len(ward.ended))
        ward.comes("/check/x", seconds=70, every_s=0.5)
        self.assertEqual(3, len(ward.ended))

    def test_its_caller_is_told_at_once_and_not_asked_back(self):
        ward = Ward()
        ward.comes("/check/x", seconds=5, every_s=0.25)
        caller = ward.cluster.ask("/check/x", 0.02, body=HARMFUL)
        self.assertEqual(502, caller.last.status)
        self.assertTrue(caller.last.whole)
        self.assertNotIn("retry-after", caller.last.headers)
        self.assertIn(b"315", caller.last.body)

    def test_what_waits_at_an_endpoint_is_called_back(self):
        """The verdict comes while the request waits at one more endpoint.

        Symptom: a further engine ends after the verdict. Cause: only new
        sends were refused; what an engine had not begun stayed there.
        """
        ward = Ward(desks=6, engines=0)
        ward.comes("/book/x", seconds=2, every_s=0.25)
        self.assertEqual(2, len(ward.ended))
        ward.cluster.pass_time(61)
        sent = len(ward.sent)
        ward.comes("/book/x", seconds=0.08, every_s=0.02)
        ward.cluster.pass_time(5)
        self.assertEqual(4, len(ward.sent) - sent)
        self.assertEqual(3, len(ward.ended))

    def test_all_gateways_start_again(self):
        """All processes are killed after the verdict.

        Symptom: three further endpoints end after each restart. Cause: what
        was known of the request lived in the processes only.
        """
        ward = Ward()
        for seconds in (5, 61):
            ward.comes("/check/x", seconds=seconds, every_s=0.5)
        ward.comes("/check/x", seconds=5, every_s=0.25)
        self.assertEqual(3, len(ward.ended))
        net = ward.cluster.net
        for number, vm in enumerate(VMS, 1):
            ward.cluster.gateways[number - 1].handle = None
            del net.servers[(f"10.0.0.{number}", 80)]
            ward.cluster.start(vm, number)
        ward.cluster.pass_time(1)
        ward.comes("/check/x", seconds=5, every_s=0.25)
        self.assertEqual(3, len(ward.ended))


class OthersTest(TestCase):
    """What only resembles a harmful request, or was near one, is served."""

    def test_other_bodies_paths_and_teams_are_served(self):
        ward = Ward()
        ward.comes("/check/x", seconds=5, every_s=0.25)
        ward.harmful.clear()
        for path, options in (
            ("/check/x", {"body": b"another"}),
            ("/check/y", {"body": HARMFUL}),
            ("/check/x", {"body": HARMFUL, "key": "key-b"}),
        ):
            caller = ward.cluster.ask(path, **options)
            self.assertEqual(200, caller.last.status, (path, options))
            self.assertTrue(caller.last.whole)

    def test_endpoints_that_end_of_themselves_bar_nothing_that_is_common(self):
        """All plain endpoints lose power at once, again and again.

        Symptom: a path that everybody reads is refused for good. Cause: the
        same read was under way at three endpoints that ended.
        """
        ward = Ward(desks=4, engines=0)
        cluster = ward.cluster
        for _ in range(4):
            for _ in range(3):
                cluster.ask("/read/x", 0.2)
            for _ in range(40):
                cluster.send("/read/x")
            cluster.pass_time(0.05)
            for desk in list(cluster.desks.values()):
                if desk.address in cluster.net.servers and desk.open:
                    ward.end(desk)
            cluster.pass_time(4)
        caller = cluster.ask("/read/x")
        self.assertEqual(200, caller.last.status)

    def test_streams_that_were_under_way_are_resumed(self):
        """Engines end under streams that have had events.

        Symptom: a stream is refused that two engines had begun well. Cause:
        whatever an ended engine had was taken for what ended it.
        """
        ward = Ward(vms=("front-1",))
        cluster = ward.cluster
        for engine in cluster.engines.values():
            engine.events, engine.gap_s = 60, 0.05
        cluster.send("/check/x", body=b"long", deadline_ms=9000)
        for _ in range(2):
            cluster.pass_time(0.4)
            busy = [e for e in cluster.engines.values() if e.open]
            for engine in busy:
                ward.end(engine)
        cluster.pass_time(5)
        again = cluster.ask("/check/x", 5, body=b"long", deadline_ms=9000)
        self.assertEqual(200, again.last.status)
        self.assertTrue(again.last.whole)

    def test_answers_that_break_off_bar_nothing(self):
        """An endpoint closes on one request in two, and lives.

        Symptom: a sound request is refused. Cause: a closed connection was
        taken for the end of the endpoint.
        """
        for fault in (Fault.RESET_BEFORE, Fault.CLOSE_MIDWAY):
            ward = Ward(desks=4, engines=0, vms=("front-1",))
            for desk in ward.cluster.desks.values():
                desk.faults = [fault] * 20
            for _ in range(12):
                ward.cluster.ask("/book/x", 0.5, body=b"sound")
            for desk in ward.cluster.desks.values():
                desk.faults = []
            ward.cluster.pass_time(5)
            caller = ward.cluster.ask("/book/x", body=b"sound")
            self.assertEqual(200, caller.last.status, fault)
