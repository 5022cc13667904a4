"""Tests of a caller's response when an attempt fails."""

from testtools import TestCase

from magnolialug.carrier.reader import Framing
from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster

# For how long a stream of the route "check" may be taken up.
STREAM_LIFETIME_S = 6.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


def one_desk(*faults):
    """Returns a cluster with one plain endpoint with the given faults."""
    cluster = GatewayCluster(desks=1, engines=0)
    (desk,) = cluster.desks.values()
    desk.faults = list(faults)
    return cluster, desk


def serving_connections(desk):
    """Returns a dict that takes each request's connection by its id."""
    served_by = {}
    answer = desk.answer

    def record(conn, req):
        served_by[req.request_id] = conn
        answer(conn, req)

    desk.answer = record
    return served_by


class FaultTableTest(TestCase):
    """Every fault of a plain endpoint, for both types of route."""

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

    def test_response_after_a_single_fault(self):
        """Guards against a misclassified end of an attempt.

        One endpoint has a fault, the other none. If the end of the attempt is
        misclassified, a booking runs twice, a caller gets half an answer, or a
        request that ran is reported as "not run".
        """
        for fault, safe, unsafe in self.CASES:
            for path, status in (("/read/x", safe), ("/book/x", unsafe)):
                cluster = GatewayCluster(desks=2, engines=0)
                first = cluster.desks["i-desk1"]
                first.faults = [fault]
                cluster.desks["i-desk2"].faults = []
                caller = cluster.ask(path)
                case = (fault, path)
                self.assertEqual(status, caller.last.status, case)
                self.assertTrue(caller.last.whole, case)
                self.assertFalse(caller.broken, case)
                if status == 200:
                    self.assertEqual(b"served", caller.last.body, case)
                    self.assertIn("x-response-stamp", caller.last.headers)
                if path == "/book/x":
                    self.assertLessEqual(
                        cluster.ran(caller.request_id), 1, case
                    )

    def test_not_run_statuses_are_only_sent_if_nothing_ran(self):
        for fault, _, _ in self.CASES:
            for path in ("/read/x", "/book/x"):
                cluster, _ = one_desk(*[fault] * 10)
                caller = cluster.ask(path, seconds=4)
                if caller.last.status in NOT_RUN_STATUSES:
                    ran = cluster.ran(caller.request_id)
                    self.assertEqual(0, ran, (fault, path))
                self.assertEqual(1, len(caller.answers), (fault, path))

    def test_connections_with_unexpected_data_are_not_reused(self):
        """Guards against a caller that gets the answer to another's request.

        An endpoint sends a second answer, and the next request goes out on the
        same connection. The extra bytes were read as the answer to it.
        """
        for fault in (
            Fault.EXTRA,
            Fault.UNFRAMED,
            Fault.GARBAGE,
            Fault.RESET_MIDWAY,
        ):
            cluster, desk = one_desk(fault)
            desk.body_of = lambda req: req.request_id.encode()
            served_by = serving_connections(desk)
            first = cluster.ask("/book/x")
            second = cluster.ask("/book/x")
            self.assertEqual(200, second.last.status, fault)
            self.assertEqual(second.request_id.encode(), second.last.body)
            self.assertIsNot(
                served_by[first.request_id],
                served_by[second.request_id],
                fault,
            )

    def test_late_extra_answer_is_skipped(self):
        """Guards against a caller that gets the answer to an earlier request.

        An extra answer arrives together with the next answer. The first answer
        after a request was taken for the answer to it.
        """
        cluster, desk = one_desk(Fault.EXTRA_LATE)
        desk.body_of = lambda req: req.request_id.encode()
        cluster.ask("/book/x")
        second = cluster.ask("/book/x")
        self.assertEqual(200, second.last.status)
        self.assertEqual(second.request_id.encode(), second.last.body)
        self.assertEqual(1, cluster.ran(second.request_id))

    def test_failure_is_forwarded_if_no_endpoint_succeeds(self):
        cluster, _ = one_desk(Fault.ERROR, Fault.ERROR)
        caller = cluster.ask("/read/x")
        self.assertEqual(500, caller.last.status)
        self.assertEqual(b"failed", caller.last.body)

    def test_request_without_endpoints_is_refused_at_once(self):
        cluster = GatewayCluster(desks=0, engines=0)
        caller = cluster.ask("/read/x", seconds=0.1)
        self.assertEqual(503, caller.last.status)
        self.assertIn("retry-after", caller.last.headers)

    def test_refused_connections_fail_no_request(self):
        cluster = GatewayCluster(desks=2, engines=0)
        del cluster.net.servers[cluster.desks["i-desk1"].address]
        for _ in range(20):
            caller = cluster.ask("/book/x", seconds=0.2)
            self.assertEqual(200, caller.last.status)
            self.assertEqual(1, cluster.ran(caller.request_id))

    def test_reused_address_runs_no_request_of_another_service(self):
        """Guards against a booking that runs at another service.

        An endpoint dies and its address goes to another service while the
        registry still lists the old one. The address alone was taken to
        identify the endpoint.
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

    def test_retry_budget_bounds_retries_during_an_outage(self):
        """Guards against retries that double the load during an outage.

        Without a shared budget, each failed request is retried on its own. The
        bound is a fifth of the requests plus a fixed number, over all entries.
        """
        cluster, desk = one_desk(*[Fault.ERROR] * 1000)
        for _ in range(300):
            cluster.ask("/read/x", seconds=0.05)
        extra = len(desk.seen) - 300
        self.assertLessEqual(extra, 0.2 * 300 + 54)
        self.assertGreater(extra, 20)


class StreamTest(TestCase):
    """Streams that are cut, hang, or are resumed."""

    def event_ids(self, caller):
        """Returns the ids of the events that a caller received."""
        lines = caller.last.body.split(b"\n")
        return [int(row[4:]) for row in lines if row.startswith(b"id: ")]

    def test_events_are_forwarded_as_they_arrive(self):
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.gap_s = 0.2
        caller = cluster.ask("/draft/x", seconds=0.3)
        self.assertEqual([1, 2], self.event_ids(caller))
        self.assertFalse(caller.last.whole)

    def test_resumable_stream_continues_at_another_engine(self):
        """Guards against merged, missing or doubled events.

        Half an event arrives and the connection is reset; another engine
        continues after the last complete event. The partial event was
        forwarded.
        """
        for torn in (False, True):
            for after in range(5):
                cluster = GatewayCluster(engines=2)
                for engine in cluster.engines.values():
                    engine.in_event = torn
                    engine.stop_after = []
                first = self._first_engine(cluster)
                first.stop_after = [after]
                caller = cluster.ask("/check/x", seconds=2)
                self.assertEqual([1, 2, 3, 4], self.event_ids(caller))
                self.assertTrue(caller.last.whole)
                self.assertEqual(2, cluster.ran(caller.request_id))
                stamp = f"stamp.{first.instance}"
                self.assertEqual(
                    stamp
                    if after or torn
                    else caller.last.headers["x-response-stamp"],
                    caller.last.headers["x-response-stamp"],
                )

    def test_resumed_stream_does_not_keep_the_first_length(self):
        """Guards against bytes of a stream that are read as the next answer.

        The first engine announces a length and breaks off; the second one's
        events are longer. The caller read its last bytes as another answer.
        """
        cluster = GatewayCluster(engines=2)
        first = self._first_engine(cluster)
        for engine in cluster.engines.values():
            engine.framing = Framing.LENGTH
            engine.text = lambda req, number: b"longer by some bytes"
        first.text = lambda req, number: b"short"
        first.stop_after = [2]
        caller = cluster.ask("/check/x", seconds=2)
        self.assertEqual([1, 2, 3, 4], self.event_ids(caller))
        self.assertTrue(caller.last.whole)
        self.assertFalse(caller.broken)
        following = cluster.ask("/read/x", caller=caller)
        self.assertEqual(b"served", following.last.body)

    def test_resumable_stream_leaves_a_silent_engine(self):
        """Guards against a stream that stays at an engine that lost power.

        The engine stops in mid-stream without closing the connection. It was
        suspected after 0.8 s without a byte and got no new work, but only
        streams without any event were moved. The caller had two events at its
        deadline although other engines were idle.
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
        self.assertEqual([1, 2, 3, 4], self.event_ids(caller))
        self.assertTrue(caller.last.whole)
        self.assertEqual(2, cluster.ran(caller.request_id))

    def test_non_resumable_stream_stays_at_a_slow_engine(self):
        """Guards against giving up a stream of an engine that only pauses.

        An engine that pauses long enough to be suspected was taken for dead,
        so an answer that would have arrived was cut or run twice.
        """
        cluster = GatewayCluster(engines=2)
        for engine in cluster.engines.values():
            engine.gap_s = 1.2
        caller = cluster.ask("/draft/x", seconds=6, deadline_ms=9000)
        self.assertEqual([1, 2, 3, 4], self.event_ids(caller))
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

    def test_cut_non_resumable_stream_is_visibly_incomplete(self):
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.stop_after = [2]
        caller = cluster.ask("/draft/x", seconds=1)
        self.assertEqual([1, 2], self.event_ids(caller))
        self.assertFalse(caller.last.whole)
        self.assertTrue(caller.closed)
        self.assertEqual(1, cluster.ran(caller.request_id))

    def test_caller_resumes_with_last_event_id(self):
        cluster = GatewayCluster(engines=1)
        # Until then a gateway cannot know that no other version has served.
        cluster.pass_time(STREAM_LIFETIME_S)
        caller = cluster.ask("/check/x", headers=("Last-Event-Id: 2",))
        self.assertEqual([3, 4], self.event_ids(caller))
        (seen,) = cluster.seen()
        self.assertEqual("2", seen.headers["last-event-id"])
        self.assertEqual(1, seen.names.count("Last-Event-Id"))

    def test_engine_that_refuses_work_is_paused(self):
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

    def test_mismatched_weights_are_recorded(self):
        """Guards against requiring replaced weights again and again.

        An entry is cut off from the registry while an engine loads new
        weights. It kept requiring the old version, and each of its requests
        was refused with 421 for seconds.
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

    def test_unknown_versions_share_no_cache(self):
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.version = 2
        for _ in range(3):
            cluster.ask("/draft/x", seconds=0.01)
        cluster.pass_time(1)
        without_version = [
            seen.headers["x-cache-salt"]
            for seen in engine.seen
            if "x-expect-version" not in seen.headers
        ]
        self.assertEqual(len(without_version), len(set(without_version)))
        self.assertTrue(without_version)

    def test_isolated_teams_share_no_cache(self):
        cluster = GatewayCluster(engines=1)
        cluster.ask("/draft/x", key="key-a")
        cluster.ask("/draft/x", key="key-b")
        salts = {seen.headers["x-cache-salt"] for seen in cluster.seen()}
        self.assertEqual({"/m/1", "team-b/m/1"}, salts)

    def test_team_priority_precedes_route_priority(self):
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
    """What one entry learns of an engine's weights reaches the others."""

    def started(self):
        """Returns a cluster of two gateways and one engine, and the engine."""
        cluster = GatewayCluster(desks=0, engines=1, vms=("front-1", "front-2"))
        cluster.pass_time(2)
        return cluster, next(iter(cluster.engines.values()))

    def test_one_refusal_updates_all_entries(self):
        """Guards against one refusal per entry and engine after a rollout.

        The leader is cut off after its rollout command, so no entry knows that
        the engine has new weights, and each requires the old version. A refusal
        informed only the entry that received it.
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

    def test_loading_engines_are_announced_to_all_entries_at_once(self):
        """Guards against prompts sent to engines that load weights.

        Entries fetch changes from the key-value service up to a second late,
        but engines get no new work for only 0.125 s before they load. A hundred
        prompts a second were refused by loading engines.
        """
        cluster, engine = self.started()
        second = cluster.gateways[1]
        second._watch_client.stop()
        cluster.write("op/version/m", {"model": "m", "version": 2})
        while not engine.busy:
            cluster.pass_time(0.01)
        peer = second.directory.peers[engine.instance]
        self.assertFalse(peer.sound(cluster.net.seconds()))
