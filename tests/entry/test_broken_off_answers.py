"""Tests of answers that end early and must not look complete."""

from functools import partial

from testtools import TestCase

from magnolialug.carrier.reader import Framing
from magnolialug.standin.endpoint import Fault
from magnolialug.standin.modelserver import BreakOff, ModelServerStandin
from tests.gatewaycluster import GatewayCluster

STREAM_FRAMINGS = (Framing.CHUNKS, Framing.LENGTH, Framing.CLOSE)


def cluster_with_broken_engines(framing, break_off, stops, in_event=True):
    """Returns two engines whose next runs break off after two events.

    Args:
      stops: the number of runs of each engine that break off.
    """
    cluster = GatewayCluster(desks=0, engines=2)
    for engine in cluster.engines.values():
        engine.framing = framing
        engine.break_off = break_off
        engine.in_event = in_event
        engine.stop_after = [2] * stops
    return cluster


class BrokenOffStreamTest(TestCase):
    """Streams that end inside an event, for each framing and each end."""

    def cases(self):
        """Yields every framing with every way of breaking off."""
        for framing in STREAM_FRAMINGS:
            for break_off in BreakOff:
                yield framing, break_off

    def test_stream_ending_inside_an_event_is_not_passed_on_as_whole(self):
        """Guards against a broken-off stream that is framed as complete."""
        for case in self.cases():
            cluster = cluster_with_broken_engines(*case, stops=1)
            caller = cluster.ask("/draft/x")
            self.assertEqual(200, caller.last.status, case)
            self.assertIn(b"id: 2\n", caller.last.body, case)
            self.assertFalse(caller.last.whole, case)
            self.assertTrue(caller.closed, case)
            self.assertEqual(1, cluster.ran(caller.request_id), case)

    def test_stream_that_no_engine_completes_is_not_passed_on_as_whole(self):
        """Guards against a resumed stream that is framed as complete."""
        for case in self.cases():
            cluster = cluster_with_broken_engines(*case, stops=5)
            caller = cluster.ask("/check/x", seconds=2)
            self.assertFalse(caller.last.whole, case)
            self.assertTrue(caller.closed, case)

    def test_whole_streams_stay_whole_with_any_framing(self):
        """Guards against whole streams that are taken for broken ones."""
        for framing in STREAM_FRAMINGS:
            for path in ("/draft/x", "/check/x"):
                cluster = cluster_with_broken_engines(framing, None, stops=0)
                caller = cluster.ask(path)
                self.assertTrue(caller.last.whole, (framing, path))
                self.assertTrue(
                    caller.last.body.endswith(b"id: 4\ndata: word4\n\n")
                )

    def test_streams_with_other_line_ends_are_whole_and_resumed(self):
        """Guards against resumable streams in CRLF that are never answered."""
        for line_end in (b"\r\n", b"\r"):
            for framing, break_off in self.cases():
                for path, stops in (("/check/x", 0), ("/check/x", 1)):
                    cluster = cluster_with_broken_engines(
                        framing, break_off, stops=0
                    )
                    left = [2] * stops

                    def arm(engine, req, left=left):
                        engine.stop_after = [left.pop()] if left else []

                    for engine in cluster.engines.values():
                        engine.line_end = line_end
                        engine.on_arrival = partial(arm, engine)
                    caller = cluster.ask(path, seconds=2)
                    case = (line_end, framing, break_off, stops)
                    self.assertTrue(caller.last.whole, case)
                    body = caller.last.body
                    self.assertEqual(4, body.count(b"id: "), case)
                    end = line_end.join((b"data: word4", b"", b""))
                    self.assertTrue(body.endswith(end), case)

    def test_stream_without_an_event_is_refused_with_a_reason(self):
        """Guards against a connection that closes without an answer.

        Engines break off after the head, which nothing has sent on yet.
        """
        for break_off in (BreakOff.RESET, BreakOff.CLOSE):
            for path in ("/draft/x", "/check/x"):
                for version in ("1.1", "1.0"):
                    cluster = cluster_with_broken_engines(
                        Framing.CHUNKS, break_off, stops=5, in_event=False
                    )
                    for engine in cluster.engines.values():
                        engine.stop_after = [0] * 5
                    caller = cluster.ask(path, seconds=2, version=version)
                    case = (break_off, path, version)
                    self.assertEqual(502, caller.last.status, case)
                    self.assertTrue(caller.last.whole, case)
                    self.assertNotIn("x-response-stamp", caller.last.headers)
                    self.assertIn(b"outcome_unknown", caller.last.body, case)

    def test_stream_that_closes_behind_its_head_is_not_whole(self):
        """Guards against a head that a living engine leaves without a body.

        It has neither a length nor chunks, so its close is taken for the end.
        """
        for path, stops, status in (
            ("/draft/x", 1, 502),
            ("/check/x", 1, 200),
            ("/check/x", 5, 502),
        ):
            cluster = cluster_with_broken_engines(
                Framing.CLOSE, BreakOff.CLOSE, stops=0, in_event=False
            )
            left = [0] * stops

            def arm(engine, req, left=left):
                engine.stop_after = [left.pop()] if left else []

            for engine in cluster.engines.values():
                engine.on_arrival = partial(arm, engine)
            caller = cluster.ask(path, seconds=2)
            case = (path, stops)
            self.assertEqual(status, caller.last.status, case)
            self.assertTrue(caller.last.whole, case)
            if status == 200:
                self.assertEqual(4, caller.last.body.count(b"id: "), case)
            else:
                self.assertNotIn("x-response-stamp", caller.last.headers)

    def test_stream_without_a_content_type_is_checked_too(self):
        """Guards against a check that a missing or mixed-case type avoids."""
        for content_type in ("", "Text/Event-Stream; charset=utf-8"):
            cluster = cluster_with_broken_engines(
                Framing.CLOSE, BreakOff.CLOSE, stops=1
            )
            for engine in cluster.engines.values():
                engine.content_type = content_type
            caller = cluster.ask("/draft/x")
            self.assertFalse(caller.last.whole, content_type)
            engine.stop_after = []
            self.assertTrue(cluster.ask("/draft/x").last.whole, content_type)

    def test_failure_that_is_no_stream_is_passed_on_whole(self):
        """Guards against failures that count as broken off for their type."""
        for path in ("/draft/x", "/check/x"):
            cluster = cluster_with_broken_engines(Framing.LENGTH, None, stops=0)
            for engine in cluster.engines.values():
                engine.faults = [Fault.ERROR]
                engine.error_status = 404
                engine.error_type = "text/event-stream"
            caller = cluster.ask(path)
            self.assertEqual(404, caller.last.status, path)
            self.assertEqual(b"failed", caller.last.body, path)
            self.assertTrue(caller.last.whole, path)

    def test_engine_that_breaks_streams_off_loses_its_health(self):
        """Guards against broken-off streams that count as good answers."""
        cluster = cluster_with_broken_engines(
            Framing.CLOSE, BreakOff.CLOSE, stops=1
        )
        cluster.ask("/draft/x")
        peers = cluster.gateway.directory.peers.values()
        failed = [p.listed.endpoint for p in peers if p.health.streak]
        ran = [e.instance for e in cluster.engines.values() if e.seen]
        self.assertEqual(ran, failed)

    def test_request_that_ends_engines_inside_an_event_is_quarantined(self):
        """Guards against a poison request whose crashes look like ends.

        Each engine that runs it closes all connections in order, inside an
        event of a stream without a length. Such ends counted as answers, and
        so ruled the request out as a cause of crashes.
        """
        cluster = GatewayCluster(desks=0, engines=8)

        def crash(engine):
            cluster.net.servers.pop(engine.address, None)
            for conn in list(engine.open):
                conn.transport.loseConnection()

        for engine in cluster.engines.values():
            engine.framing = Framing.CLOSE
            engine.break_off = BreakOff.CLOSE
            engine.in_event = True
            engine.stop_after = [2]
            engine.on_break_off = partial(crash, engine)
        callers = [cluster.ask("/draft/x", body=b"poison") for _ in range(7)]
        crashed = [e for e in cluster.engines.values() if not e.stop_after]
        self.assertLessEqual(len(crashed), 5)
        self.assertEqual(0, cluster.ran(callers[-1].request_id))


class LivingEngineTest(TestCase):
    """Engines that close between two events of a stream, and live on."""

    def ask(self, stops, engines=2, framing=Framing.CLOSE, path="/check/x"):
        """Returns the cluster and the caller of a stream.

        Args:
          stops: behind which event each run, in turn, closes.
        """
        cluster = GatewayCluster(desks=0, engines=engines)
        self.left = list(stops)

        def arm(engine, req):
            if req.target == path:
                engine.stop_after = [self.left.pop(0)] if self.left else []

        for engine in cluster.engines.values():
            engine.framing = framing
            engine.break_off = BreakOff.CLOSE
            engine.on_arrival = partial(arm, engine)
        return cluster, cluster.ask(path, seconds=2)

    def test_stream_that_closes_early_goes_on_at_another_engine(self):
        """Guards against a short stream that a living engine ends."""
        cluster, caller = self.ask(stops=[2])
        self.assertTrue(caller.last.whole)
        self.assertEqual(4, caller.last.body.count(b"id: "))
        runs = [e.ran[caller.request_id] for e in cluster.engines.values()]
        self.assertEqual([1, 2], sorted(runs))

    def test_whole_stream_is_confirmed_by_one_more_run(self):
        """Guards against whole streams that are cut, or asked for twice."""
        cluster, caller = self.ask(stops=[])
        self.assertTrue(caller.last.whole)
        self.assertEqual(4, caller.last.body.count(b"id: "))
        self.assertEqual(2, cluster.ran(caller.request_id))
        self.assertFalse(caller.closed)

    def test_framed_stream_is_not_asked_for_again(self):
        """Guards against second runs of streams that prove their end."""
        for framing in (Framing.CHUNKS, Framing.LENGTH):
            cluster, caller = self.ask(stops=[], framing=framing)
            self.assertTrue(caller.last.whole)
            self.assertEqual(1, cluster.ran(caller.request_id))

    def test_stream_that_may_not_be_resumed_runs_once(self):
        """Guards against a second run of a request that may run once."""
        cluster, caller = self.ask(stops=[], path="/draft/x")
        self.assertTrue(caller.last.whole)
        self.assertEqual(1, cluster.ran(caller.request_id))

    def test_whole_stream_of_the_only_engine_stays_whole(self):
        """Guards against whole streams that are cut for want of a witness."""
        _, caller = self.ask(stops=[], engines=1)
        self.assertTrue(caller.last.whole)

    def test_whole_stream_stays_whole_if_the_other_engine_fails(self):
        """Guards against whole streams that a refused confirmation cuts."""
        cluster = GatewayCluster(desks=0, engines=2)
        for engine in cluster.engines.values():
            engine.framing = Framing.CLOSE
        first = cluster.ask("/check/w", seconds=2)
        self.assertTrue(first.last.whole)
        for fault in (Fault.ERROR, Fault.SHED, Fault.MUTE):
            cluster = GatewayCluster(desks=0, engines=2)
            seen = []

            def arm(engine, req, seen=seen, fault=fault):
                if req.target == "/check/x":
                    seen.append(engine)
                    engine.faults = [fault] if len(seen) > 1 else []

            for engine in cluster.engines.values():
                engine.framing = Framing.CLOSE
                engine.on_arrival = partial(arm, engine)
            caller = cluster.ask("/check/x", seconds=3)
            self.assertEqual(2, len(seen), fault)
            self.assertTrue(caller.last.whole, fault)
            self.assertEqual(4, caller.last.body.count(b"id: "), fault)

    def test_stream_that_closes_early_twice_goes_on(self):
        """Guards against a false end that is believed the second time."""
        _, caller = self.ask(stops=[1, 3])
        self.assertTrue(caller.last.whole)
        self.assertEqual(4, caller.last.body.count(b"id: "))

    def test_stream_without_ids_does_not_begin_again(self):
        """Guards against events that come twice, as nothing numbers them."""
        for framing in (Framing.CHUNKS, Framing.CLOSE):
            for stops, is_whole in (
                ([2], framing is Framing.CLOSE),
                ([], True),
            ):
                cluster = GatewayCluster(desks=0, engines=2)
                for engine in cluster.engines.values():
                    engine.framing = framing
                    engine.break_off = BreakOff.CLOSE
                    engine.stop_after = list(stops)
                    engine._event_bytes = lambda run, number: (
                        b"data: word%d\n\n" % number
                    )
                caller = cluster.ask("/check/x", seconds=2)
                case = (framing, stops)
                self.assertEqual(
                    2 if stops else 4, caller.last.body.count(b"data"), case
                )
                self.assertEqual(is_whole, caller.last.whole, case)
                self.assertEqual(1, cluster.ran(caller.request_id), case)

    def test_stream_whose_false_end_nobody_confirms_is_cut(self):
        """Guards against a second end that is believed after a false one."""
        cluster = GatewayCluster(desks=0, engines=2)
        runs = []

        def arm(engine, req):
            if req.target == "/check/x":
                runs.append(engine)
                engine.stop_after = [1] if len(runs) == 1 else []
                engine.faults = [Fault.SHED] if len(runs) > 2 else []

        for engine in cluster.engines.values():
            engine.framing = Framing.CLOSE
            engine.break_off = BreakOff.CLOSE
            engine.on_arrival = partial(arm, engine)
        caller = cluster.ask("/check/x", seconds=2)
        self.assertEqual(4, caller.last.body.count(b"id: "))
        self.assertFalse(caller.last.whole)
        self.assertTrue(caller.closed)

    def test_confirmations_leave_half_of_the_retry_budget(self):
        """Guards against sound ends that use up what lost requests need."""
        cluster, _ = self.ask(stops=[])
        budget = cluster.gateway._budget
        while budget.left("llm") >= budget.limit / 2:
            budget.withdraw("llm")
        before = budget.left("llm")
        caller = cluster.ask("/check/x", seconds=2)
        self.assertTrue(caller.last.whole)
        self.assertEqual(1, cluster.ran(caller.request_id))
        self.assertGreaterEqual(budget.left("llm"), before)


def kill(cluster, endpoint):
    """Ends an endpoint as a kernel does where nothing is unread: in order."""
    cluster.net.servers.pop(endpoint.address, None)
    for conn in list(endpoint.open):
        conn.transport.loseConnection()


class KilledEndpointTest(TestCase):
    """Endpoints whose process ends while it sends, between two events."""

    def ask_dying_engines(self, path, dying):
        """Returns the cluster, and the caller of engines that die.

        Args:
          dying: how many engines end, the first behind one event, the second
            behind three.
        """
        cluster = GatewayCluster(desks=0, engines=2)
        armed = []

        def arm(engine, req):
            if req.target == path and len(armed) < dying:
                armed.append(engine)
                engine.stop_after = [2 * len(armed) - 1]

        for engine in cluster.engines.values():
            engine.framing = Framing.CLOSE
            engine.break_off = BreakOff.CLOSE
            engine.on_break_off = partial(kill, cluster, engine)
            engine.on_arrival = partial(arm, engine)
        return cluster, cluster.ask(path, seconds=2)

    def test_stream_of_a_killed_engine_is_not_passed_on_as_whole(self):
        """Guards against the FIN of a killed process that ends a stream."""
        cluster, caller = self.ask_dying_engines("/draft/x", dying=1)
        self.assertIn(b"id: 1\n", caller.last.body)
        self.assertNotIn(b"id: 2\n", caller.last.body)
        self.assertFalse(caller.last.whole)
        self.assertTrue(caller.closed)
        self.assertEqual(1, cluster.ran(caller.request_id))

    def test_stream_of_a_killed_engine_is_resumed(self):
        """Guards against a short stream that another engine could complete."""
        _, caller = self.ask_dying_engines("/check/x", dying=1)
        self.assertTrue(caller.last.whole)
        self.assertTrue(caller.last.body.endswith(b"id: 4\ndata: word4\n\n"))
        self.assertEqual(4, caller.last.body.count(b"id: "))

    def test_stream_whose_engines_are_all_killed_is_cut(self):
        """Guards against a resumed stream that a second kill ends as whole."""
        _, caller = self.ask_dying_engines("/check/x", dying=2)
        self.assertFalse(caller.last.whole)
        self.assertTrue(caller.closed)

    def begin_draft(self):
        """Returns a caller that has one event, the cluster and its engine."""
        cluster = GatewayCluster(desks=0, engines=1)
        (engine,) = cluster.engines.values()
        engine.framing = Framing.CLOSE
        engine.gap_s = 0.1
        caller = cluster.send("/draft/x", deadline_ms=12000)
        cluster.pass_time(0.12)
        self.assertEqual(1, caller.last.body.count(b"id: "))
        return caller, cluster, engine

    def replace(self, cluster, engine):
        """Kills an engine; another one gets its address at once."""
        kill(cluster, engine)
        other = ModelServerStandin(cluster.net, "i-other")
        cluster.net.servers[engine.address] = other
        cluster.write("servers/i-other", engine.row)

    def test_end_that_a_suspended_gateway_reads_late_is_not_whole(self):
        """Guards against another start that listens when the FIN is read."""
        caller, cluster, engine = self.begin_draft()
        self.replace(cluster, engine)
        cluster.net.advance(1.0)
        cluster.pass_time(3.0)
        self.assertFalse(caller.last.whole)
        self.assertTrue(caller.closed)

    def test_end_behind_a_pause_of_the_reader_is_not_whole(self):
        """Guards against an old FIN that is read when the caller reads on."""
        caller, cluster, engine = self.begin_draft()
        (attempt,) = cluster.gateway._in_flight
        attempt.pause()
        self.replace(cluster, engine)
        cluster.pass_time(1.0)
        attempt.resume()
        cluster.pass_time(3.0)
        self.assertFalse(caller.last.whole)
        self.assertTrue(caller.closed)

    def test_whole_answer_is_whole_though_its_end_is_read_late(self):
        """Guards against readers that pause and lose a whole answer."""
        caller, cluster, _ = self.begin_draft()
        (attempt,) = cluster.gateway._in_flight
        attempt.pause()
        cluster.pass_time(1.0)
        attempt.resume()
        (peer,) = cluster.gateway.directory.peers.values()
        for _ in range(30):
            cluster.pass_time(0.1)
            self.assertFalse(peer.unresponsive)
        self.assertTrue(caller.last.whole)
        self.assertEqual(4, caller.last.body.count(b"id: "))

    def test_plain_answer_of_a_killed_endpoint_is_asked_for_again(self):
        """Guards against half a body that reaches its caller as whole."""
        for path, status in (("/read/x", 200), ("/book/x", 502)):
            cluster = GatewayCluster(desks=2, engines=0)
            for desk in cluster.desks.values():
                desk.answer = partial(self._send_half_once, cluster, desk)
            caller = cluster.ask(path, seconds=2)
            self.assertEqual(status, caller.last.status, path)
            if status == 200:
                self.assertEqual(b"served", caller.last.body)

    def _send_half_once(self, cluster, desk, conn, req):
        """Sends half an answer, and ends; the other endpoint sends it all."""
        others = [d for d in cluster.desks.values() if d is not desk]
        if any(d.address not in cluster.net.servers for d in others):
            type(desk).answer(desk, conn, req)
            return
        lines = (
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {req.request_id}",
            "X-Response-Stamp: stamp",
        )
        conn.send("\r\n".join(lines).encode() + b"\r\n\r\nser")
        kill(cluster, desk)


class CallerWithoutChunksTest(TestCase):
    """Callers of HTTP/1.0, for whom the close is the end of an answer."""

    def test_answer_that_breaks_off_ends_in_a_reset(self):
        """Guards against an orderly close that ends half an answer."""
        cluster = cluster_with_broken_engines(
            Framing.CHUNKS, BreakOff.RESET, stops=1
        )
        caller = cluster.ask("/draft/x", version="1.0")
        self.assertIn(b"id: 2\n", caller.last.body)
        self.assertTrue(caller.closed)
        self.assertFalse(caller.last.whole)

    def test_whole_answer_ends_in_an_orderly_close(self):
        """Guards against resets that end whole answers."""
        for path in ("/draft/x", "/check/x", "/read/x"):
            cluster = GatewayCluster(desks=1, engines=1)
            caller = cluster.ask(path, version="1.0")
            self.assertTrue(caller.last.whole, path)
            self.assertTrue(caller.closed, path)
