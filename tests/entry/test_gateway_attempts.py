"""What a caller is told when an attempt goes wrong."""

from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster

PROMISES = (408, 421, 429, 503)


def one_desk(*faults):
    """Returns a cluster with one plain endpoint that fails as told."""
    cluster = GatewayCluster(desks=1, engines=0)
    (desk,) = cluster.desks.values()
    desk.faults = list(faults)
    return cluster, desk


class FaultTableTest(TestCase):
    """Every fault of a plain endpoint, for both kinds of call."""

    CASES = (
        # fault, status of an idempotent call, of a non-idempotent one
        (Fault.NONE, 200, 200),
        (Fault.SHED, 200, 200),
        (Fault.ERROR, 200, 500),
        (Fault.RESET_BEFORE, 200, 502),
        (Fault.RESET_MIDWAY, 200, 502),
        (Fault.CLOSE_MIDWAY, 200, 502),
        (Fault.UNFRAMED, 200, 200),
        (Fault.UNFRAMED_RESET, 200, 502),
        (Fault.EXTRA, 200, 200),
        (Fault.GARBAGE, 200, 502),
        (Fault.UNSTAMPED, 200, 502),
        (Fault.TWO_LENGTHS, 200, 502),
        (Fault.LENGTH_AND_CHUNKS, 200, 502),
    )

    def test_one_fault_then_none(self):
        """One answer goes wrong; another endpoint is well.

        Symptom: a booking runs twice, or a caller gets half an answer, or
        hears "not run" of what has run. Cause: an ending was taken for
        another one.
        """
        for fault, safe, unsafe in self.CASES:
            for path, status in (("/read/x", safe), ("/book/x", unsafe)):
                cluster = GatewayCluster(desks=2, engines=0)
                first = cluster.desks["i-desk1"]
                first.faults = [fault]
                cluster.desks["i-desk2"].faults = []
                caller = cluster.ask(path)
                told = (fault, path)
                self.assertEqual(status, caller.last.status, told)
                self.assertTrue(caller.last.whole, told)
                self.assertFalse(caller.broken, told)
                if status == 200:
                    self.assertEqual(b"served", caller.last.body, told)
                    self.assertIn("x-response-stamp", caller.last.headers)
                if path == "/book/x":
                    self.assertLessEqual(
                        cluster.ran(caller.request_id), 1, told
                    )

    def test_a_promise_is_only_made_of_what_never_ran(self):
        for fault, _, _ in self.CASES:
            for path in ("/read/x", "/book/x"):
                cluster, _ = one_desk(*[fault] * 10)
                caller = cluster.ask(path, seconds=4)
                if caller.last.status in PROMISES:
                    ran = cluster.ran(caller.request_id)
                    self.assertEqual(0, ran, (fault, path))
                self.assertEqual(1, len(caller.answers), (fault, path))

    def test_connections_after_a_surprise_are_not_used_again(self):
        """A connection carries bytes that belong to no request.

        Symptom: a caller gets the answer to another's request. Sequence: an
        endpoint sends a second answer; the next request goes out on the same
        connection. Cause: the extra bytes were read as its answer.
        """
        for fault in (
            Fault.EXTRA,
            Fault.UNFRAMED,
            Fault.GARBAGE,
            Fault.RESET_MIDWAY,
        ):
            cluster, desk = one_desk(fault)
            desk.body_of = lambda req: req.request_id.encode()
            cluster.ask("/book/x")
            before = desk.connections
            second = cluster.ask("/book/x")
            self.assertEqual(200, second.last.status, fault)
            self.assertEqual(second.request_id.encode(), second.last.body)
            self.assertGreater(desk.connections, before, fault)

    def test_a_late_extra_answer_is_passed_over(self):
        """The second answer comes in front of the next one.

        Symptom: a caller gets the answer to the request before its own.
        Sequence: the extra answer arrives with the next answer. Cause: the
        first answer after a request was taken to be its own.
        """
        cluster, desk = one_desk(Fault.EXTRA_LATE)
        desk.body_of = lambda req: req.request_id.encode()
        cluster.ask("/book/x")
        second = cluster.ask("/book/x")
        self.assertEqual(200, second.last.status)
        self.assertEqual(second.request_id.encode(), second.last.body)
        self.assertEqual(1, cluster.ran(second.request_id))

    def test_a_failure_that_none_can_better_is_passed_on_whole(self):
        cluster, _ = one_desk(Fault.ERROR, Fault.ERROR)
        caller = cluster.ask("/read/x")
        self.assertEqual(500, caller.last.status)
        self.assertEqual(b"failed", caller.last.body)

    def test_no_endpoint_at_all_is_said_at_once(self):
        cluster = GatewayCluster(desks=0, engines=0)
        caller = cluster.ask("/read/x", seconds=0.1)
        self.assertEqual(503, caller.last.status)
        self.assertIn("retry-after", caller.last.headers)

    def test_an_endpoint_that_refuses_connections_costs_no_arrival(self):
        cluster = GatewayCluster(desks=2, engines=0)
        del cluster.net.servers[cluster.desks["i-desk1"].address]
        for _ in range(20):
            caller = cluster.ask("/book/x", seconds=0.2)
            self.assertEqual(200, caller.last.status)
            self.assertEqual(1, cluster.ran(caller.request_id))

    def test_an_address_used_again_runs_nothing_by_mistake(self):
        """Another service's endpoint has the address now.

        Symptom: a booking runs at a service that it was never sent to.
        Sequence: an endpoint dies, its address goes to another service, the
        registry still lists it. Cause: an address was taken for an endpoint.
        """
        cluster = GatewayCluster(desks=2, engines=1)
        (engine,) = cluster.engines.values()
        desk = cluster.desks["i-desk1"]
        cluster.net.servers[desk.address] = engine
        for _ in range(4):
            caller = cluster.ask("/book/x", seconds=0.2)
            self.assertEqual(200, caller.last.status)
        self.assertEqual(0, sum(engine.ran.values()))
        misdirected = [r for r in engine.seen if r.target == "/book/x"]
        self.assertEqual(1, len(misdirected))

    def test_the_retry_budget_bounds_an_outage(self):
        """Every answer fails for a while.

        Symptom: an outage doubles the load on the endpoints that are left.
        Cause: each request is tried again for itself. The bound is a fifth
        of the requests and a fixed number, over all entries.
        """
        cluster, desk = one_desk(*[Fault.ERROR] * 1000)
        for _ in range(300):
            cluster.ask("/read/x", seconds=0.05)
        extra = len(desk.seen) - 300
        self.assertLessEqual(extra, 0.2 * 300 + 54)
        self.assertGreater(extra, 20)


class StreamTest(TestCase):
    """Streams that break off, hang, or are resumed."""

    def words(self, caller):
        """Returns the ids of the events that a caller has."""
        lines = caller.last.body.split(b"\n")
        return [int(row[4:]) for row in lines if row.startswith(b"id: ")]

    def test_events_come_as_they_are_made(self):
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.gap_s = 0.2
        caller = cluster.ask("/draft/x", seconds=0.3)
        self.assertEqual([1, 2], self.words(caller))
        self.assertFalse(caller.last.whole)

    def test_a_resumable_stream_goes_on_elsewhere(self):
        """An engine dies in the middle of an event.

        Symptom: events run together, are missing, or come twice. Sequence:
        half an event arrives, the connection is reset, another engine goes
        on after the last whole one. Cause: the torn half was passed on.
        """
        for torn in (False, True):
            for after in range(5):
                cluster = GatewayCluster(engines=2)
                for engine in cluster.engines.values():
                    engine.torn = torn
                    engine.stop_after = []
                first = self._first_engine(cluster)
                first.stop_after = [after]
                caller = cluster.ask("/check/x", seconds=2)
                self.assertEqual([1, 2, 3, 4], self.words(caller))
                self.assertTrue(caller.last.whole)
                self.assertEqual(2, cluster.ran(caller.request_id))
                stamp = f"stamp.{first.instance}"
                self.assertEqual(
                    stamp
                    if after or torn
                    else caller.last.headers["x-response-stamp"],
                    caller.last.headers["x-response-stamp"],
                )

    def test_a_resumable_stream_leaves_an_engine_that_has_gone_silent(self):
        """An engine loses power in mid-stream; nothing closes.

        Symptom: the caller has two events, and leaves with them at its
        deadline though other engines are idle. Sequence: the engine is
        suspected after 0.8 s without a byte, gets no new work, and keeps what
        it has. Cause: only streams without any event went elsewhere.
        """
        cluster = GatewayCluster(engines=2)
        first = self._first_engine(cluster)
        for engine in cluster.engines.values():
            engine.gap_s = 0.1
        caller = cluster.send("/check/x", deadline_ms=5000)
        cluster.pass_time(0.2)
        for conn in first.open:
            conn.transport.silent = True
        first.gap_s = 60
        cluster.pass_time(1.6)
        self.assertEqual([1, 2, 3, 4], self.words(caller))
        self.assertTrue(caller.last.whole)
        self.assertEqual(2, cluster.ran(caller.request_id))

    def test_one_that_may_not_be_repeated_stays(self):
        """An engine pauses for longer than it takes to be suspected.

        Symptom: an answer that would have come is broken off, or run twice.
        Cause: what is suspected was taken for dead.
        """
        cluster = GatewayCluster(engines=2)
        for engine in cluster.engines.values():
            engine.gap_s = 1.2
        caller = cluster.ask("/draft/x", seconds=6, deadline_ms=9000)
        self.assertEqual([1, 2, 3, 4], self.words(caller))
        self.assertEqual(1, cluster.ran(caller.request_id))

    def _first_engine(self, cluster):
        """Returns the engine that a prompt goes to first."""
        caller = cluster.ask("/check/x", seconds=1)
        (first,) = [
            engine
            for engine in cluster.engines.values()
            if engine.ran[caller.request_id]
        ]
        return first

    def test_a_stream_that_may_not_be_resumed_looks_cut(self):
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.stop_after = [2]
        caller = cluster.ask("/draft/x", seconds=1)
        self.assertEqual([1, 2], self.words(caller))
        self.assertFalse(caller.last.whole)
        self.assertTrue(caller.closed)
        self.assertEqual(1, cluster.ran(caller.request_id))

    def test_a_caller_resumes_its_own_stream(self):
        cluster = GatewayCluster(engines=1)
        caller = cluster.ask("/check/x", headers=("Last-Event-Id: 2",))
        self.assertEqual([3, 4], self.words(caller))
        (seen,) = cluster.seen()
        self.assertEqual("2", seen.headers["last-event-id"])
        self.assertEqual(1, seen.names.count("Last-Event-Id"))

    def test_an_engine_that_sheds_is_left_alone_for_a_moment(self):
        cluster = GatewayCluster(engines=2)
        first = self._first_engine(cluster)
        first.busy = True
        cluster.ask("/check/x", seconds=0.2)
        before = len(first.seen)
        for _ in range(4):
            caller = cluster.ask("/draft/x", seconds=0.02)
        cluster.pass_time(1)
        self.assertEqual(before, len(first.seen))
        self.assertEqual(200, caller.last.status)

    def test_other_weights_than_asked_for_are_learned(self):
        """An entry is cut off from the registry while weights change.

        Symptom: every request of one entry is refused for seconds. Sequence:
        an engine takes new weights, the entry goes on asking for the old
        ones, and each is turned away with 421. Cause: the belief was kept.
        """
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.version = 2
        statuses = [
            cluster.ask("/draft/x", seconds=0.5).last.status for _ in range(4)
        ]
        self.assertEqual([200] * 3, statuses[1:])
        asked = [seen.headers.get("x-expect-version") for seen in engine.seen]
        self.assertEqual(["1", None, "2"], asked[:3])

    def test_cache_is_never_shared_under_a_version_that_is_not_known(self):
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.version = 2
        for _ in range(3):
            cluster.ask("/draft/x", seconds=0.01)
        cluster.pass_time(1)
        unsure = [
            seen.headers["x-cache-salt"]
            for seen in engine.seen
            if "x-expect-version" not in seen.headers
        ]
        self.assertEqual(len(unsure), len(set(unsure)))
        self.assertTrue(unsure)

    def test_isolated_teams_share_no_cache(self):
        cluster = GatewayCluster(engines=1)
        cluster.ask("/draft/x", key="key-a")
        cluster.ask("/draft/x", key="key-b")
        salts = {seen.headers["x-cache-salt"] for seen in cluster.seen()}
        self.assertEqual({"/m/1", "team-b/m/1"}, salts)

    def test_a_teams_priority_goes_before_its_routes(self):
        cluster = GatewayCluster(engines=1)
        for path in ("/draft/x", "/check/x"):
            for key in ("key-a", "key-b"):
                cluster.ask(path, key=key)
        ranks = [
            int(seen.headers["x-request-priority"]) for seen in cluster.seen()
        ]
        first, second = ranks[0::2], ranks[1::2]
        self.assertTrue(max(first) < min(second), ranks)


class LoadingTest(TestCase):
    """What one entry learns of an engine's weights the others know."""

    def started(self):
        """Returns two gateways before one engine, and its version 1."""
        cluster = GatewayCluster(desks=0, engines=1, vms=("front-1", "front-2"))
        cluster.pass_time(2)
        return cluster, next(iter(cluster.engines.values()))

    def test_one_is_turned_away_and_nobody_else(self):
        """An engine has taken new weights that no entry knows it to have.

        Symptom: every entry has one request turned away by every engine.
        Sequence: the holder of the orders is cut off after its order; each
        entry goes on asking for the old version. Cause: a refusal taught only
        the entry that met it.
        """
        cluster, engine = self.started()
        name = {"model": "m", "version": 2}
        for gateway in cluster.gateways:
            gateway._rollout_commands.tick = lambda: None
        cluster.write("op/version/m", name)
        cluster.pass_time(1)
        engine.version = 2
        first = cluster.ask("/draft/x", seconds=0.3)
        other = cluster.caller(("10.0.0.2", 80))
        second = cluster.ask("/draft/x", caller=other, seconds=0.3)
        self.assertEqual(503, first.last.status)
        self.assertLess(float(first.last.headers["retry-after"]), 0.1)
        self.assertEqual(200, second.last.status)

    def test_all_are_told_at_once_which_engines_load(self):
        """Much changes in the store while weights are rolled out.

        Symptom: a hundred prompts a second are turned away by engines that
        load. Cause: entries fetch changes up to a second late, and engines
        are closed to new work for an eighth of one before they load.
        """
        cluster, engine = self.started()
        second = cluster.gateways[1]
        second._watch_client.stop()
        cluster.write("op/version/m", {"model": "m", "version": 2})
        while not engine.busy:
            cluster.pass_time(0.01)
        peer = second.directory.peers[engine.instance]
        self.assertFalse(peer.sound(cluster.net.seconds()))
