"""Requests that crash endpoints and are sent again."""

from random import Random

from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.entry.crashsetup import (
    CRASHING_BODY,
    MAX_SENT_AFTER,
    VMS,
    CrashSetup,
)


class RepeatedTest(TestCase):
    """The same request is sent to any gateway under new request ids."""

    def test_it_is_blocked_after_three_endpoints_crashed(self):
        """Guards against one request that crashes every endpoint in turn.

        A gateway retries the request at another endpoint after a crash, and
        the caller repeats it at other gateways under new ids. Requests must
        be identified by their digest, not by id, and crashes must be
        remembered beyond the request and shared between gateways. Other
        requests running at the endpoints would fail too. Log line 2008 shows
        the same digest at every endpoint that crashed.
        """
        for path, kinds in (
            ("/check/x", {"engines": 6}),
            ("/draft/x", {"engines": 6}),
            ("/read/x", {"desks": 6, "engines": 0}),
            ("/book/x", {"desks": 6, "engines": 0}),
        ):
            setup = CrashSetup(**kinds)
            setup.send_repeatedly(path, seconds=20, every_s=0.25)
            self.assertGreater(len(setup.crashed), 0, path)
            self.assertLessEqual(
                len(setup.sent_after_limit()), MAX_SENT_AFTER, path
            )

    def test_it_is_blocked_despite_lost_datagrams(self):
        setup = CrashSetup()
        random = Random(2)
        setup.cluster.net.loses_datagram = lambda *_: random.random() < 0.5
        setup.send_repeatedly("/check/x", seconds=20, every_s=0.25)
        self.assertLessEqual(len(setup.sent_after_limit()), MAX_SENT_AFTER)

    def test_gateways_without_peer_messages_read_the_stored_quarantine(self):
        setup = CrashSetup()
        setup.cluster.net.loses_datagram = lambda sender, to: True
        setup.send_repeatedly("/check/x", seconds=8, every_s=0.25)
        before = len(setup.sent)
        setup.send_repeatedly("/check/x", seconds=12, every_s=0.25)
        self.assertEqual(before, len(setup.sent))

    def test_it_is_held_after_two_crashes_and_barred_after_the_third(self):
        """The third attempt waits until a common fault would be over."""
        setup = CrashSetup()
        setup.send_repeatedly("/check/x", seconds=50, every_s=0.5)
        self.assertEqual(2, len(setup.crashed))
        setup.send_repeatedly("/check/x", seconds=30, every_s=0.5)
        self.assertEqual(3, len(setup.crashed))
        setup.send_repeatedly("/check/x", seconds=70, every_s=0.5)
        self.assertEqual(3, len(setup.crashed))

    def test_its_caller_is_refused_at_once_without_retry_after(self):
        setup = CrashSetup()
        setup.send_repeatedly("/check/x", seconds=5, every_s=0.25)
        caller = setup.cluster.ask("/check/x", 0.02, body=CRASHING_BODY)
        self.assertEqual(502, caller.last.status)
        self.assertTrue(caller.last.whole)
        self.assertNotIn("retry-after", caller.last.headers)
        self.assertIn(b"315", caller.last.body)

    def test_a_request_queued_at_an_endpoint_is_withdrawn(self):
        """Guards against a further crash after the request is barred.

        The request is barred while it is queued at one more endpoint. It must
        be withdrawn there, in addition to refusing new attempts.
        """
        setup = CrashSetup(desks=6, engines=0)
        setup.send_repeatedly("/book/x", seconds=2, every_s=0.25)
        self.assertEqual(2, len(setup.crashed))
        setup.cluster.pass_time(61)
        sent = len(setup.sent)
        setup.send_repeatedly("/book/x", seconds=0.08, every_s=0.02)
        setup.cluster.pass_time(5)
        self.assertEqual(4, len(setup.sent) - sent)
        self.assertEqual(3, len(setup.crashed))

    def test_the_quarantine_survives_a_restart_of_all_gateways(self):
        """Guards against three more crashes after each restart.

        All gateways are killed after the request is barred. The quarantine
        must not exist in the memory of the processes only.
        """
        setup = CrashSetup()
        for seconds in (5, 61):
            setup.send_repeatedly("/check/x", seconds=seconds, every_s=0.5)
        setup.send_repeatedly("/check/x", seconds=5, every_s=0.25)
        self.assertEqual(3, len(setup.crashed))
        net = setup.cluster.net
        for number, vm in enumerate(VMS, 1):
            setup.cluster.gateways[number - 1].handle = None
            del net.servers[(f"10.0.0.{number}", 80)]
            setup.cluster.start(vm, number)
        setup.cluster.pass_time(1)
        setup.send_repeatedly("/check/x", seconds=5, every_s=0.25)
        self.assertEqual(3, len(setup.crashed))


class OthersTest(TestCase):
    """Requests that only resemble or accompany a crashing one are served."""

    def test_other_bodies_paths_and_teams_are_served(self):
        setup = CrashSetup()
        setup.send_repeatedly("/check/x", seconds=5, every_s=0.25)
        setup.crashing.clear()
        for path, options in (
            ("/check/x", {"body": b"another"}),
            ("/check/y", {"body": CRASHING_BODY}),
            ("/check/x", {"body": CRASHING_BODY, "key": "key-b"}),
        ):
            caller = setup.cluster.ask(path, **options)
            self.assertEqual(200, caller.last.status, (path, options))
            self.assertTrue(caller.last.whole)

    def test_a_common_request_is_not_barred_by_unrelated_crashes(self):
        """Guards against barring a request that many callers send.

        All plain endpoints lose power at once, several times, while the same
        read is running at three or more of them.
        """
        setup = CrashSetup(desks=4, engines=0)
        cluster = setup.cluster
        for _ in range(4):
            for _ in range(3):
                cluster.ask("/read/x", 0.2)
            for _ in range(40):
                cluster.send("/read/x")
            cluster.pass_time(0.05)
            for desk in list(cluster.desks.values()):
                if desk.address in cluster.net.servers and desk.open:
                    setup.crash(desk)
            cluster.pass_time(4)
        caller = cluster.ask("/read/x")
        self.assertEqual(200, caller.last.status)

    def test_streams_with_events_are_resumed_and_not_barred(self):
        """Guards against barring a stream that two engines had started well.

        Engines crash while they run streams that already had events. Such a
        stream must not count as the cause of the crash.
        """
        setup = CrashSetup(vms=("front-1",))
        cluster = setup.cluster
        for engine in cluster.engines.values():
            engine.events, engine.gap_s = 60, 0.05
        cluster.send("/check/x", body=b"long", deadline_ms=9000)
        for _ in range(2):
            cluster.pass_time(0.4)
            busy = [e for e in cluster.engines.values() if e.open]
            for engine in busy:
                setup.crash(engine)
        cluster.pass_time(5)
        again = cluster.ask("/check/x", 5, body=b"long", deadline_ms=9000)
        self.assertEqual(200, again.last.status)
        self.assertTrue(again.last.whole)

    def test_aborted_responses_bar_no_request(self):
        """Guards against taking a closed connection for a crash.

        An endpoint closes the connection on one request in two but keeps
        running. The requests must not be barred.
        """
        for fault in (Fault.RESET_BEFORE, Fault.CLOSE_MIDWAY):
            setup = CrashSetup(desks=4, engines=0, vms=("front-1",))
            for desk in setup.cluster.desks.values():
                desk.faults = [fault] * 20
            for _ in range(12):
                setup.cluster.ask("/book/x", 0.5, body=b"sound")
            for desk in setup.cluster.desks.values():
                desk.faults = []
            setup.cluster.pass_time(5)
            caller = setup.cluster.ask("/book/x", body=b"sound")
            self.assertEqual(200, caller.last.status, fault)
