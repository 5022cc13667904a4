"""Tests of answers that end early and must not look complete."""

from functools import partial

from testtools import TestCase

from magnolialug.carrier.reader import Framing
from magnolialug.standin.endpoint import Fault
from magnolialug.standin.modelserver import BreakOff
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
