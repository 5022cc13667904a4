"""Answers with pauses, as a gateway's lines and metrics tell them.

The load: engines whose streams pause between events, also where another engine
goes on with them.
"""

import json

from testtools import TestCase

from magnolialug.events import Event
from magnolialug.standin.operatorconfig import route
from tests.entry.test_silent_endpoints import set_streams
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines

GAP_S = 0.5


def routes():
    """Returns routes of streams, one of which names no pause."""
    prompts = {
        "routeType": "streaming",
        "sessionAffinity": True,
        "timeoutMs": 15000,
    }
    return [
        route("read", "/read/", "desk"),
        route("draft", "/draft/", "llm", **prompts),
        route(
            "check",
            "/check/",
            "llm",
            **prompts,
            resumable=True,
            targetGapMs=int(GAP_S * 1000),
        ),
    ]


class AnswerGapsTest(TestCase):
    """One gateway, two engines with eight events an answer."""

    def setUp(self):
        super().setUp()
        self.lines = collect_lines(self)
        self.cluster = GatewayCluster(
            desks=1, engines=2, operator=config(routes=routes())
        )

    def line(self, caller, event):
        """Returns the line of one kind of a caller's request."""
        rows = [json.loads(str(line)) for line in self.lines]
        (row,) = [
            row
            for row in rows
            if row["event"] == event.value
            and row.get("request") == caller.request_id
        ]
        return row

    def points(self, name):
        """Returns the data points of a metric."""
        rows = self.cluster.gateway.metrics.snapshot()
        return [row for row in rows if row["name"] == name]

    def ask(self, path, gap_s, seconds=9.0):
        """Asks for a stream with pauses of one length."""
        set_streams(self.cluster, 8, gap_s)
        return self.cluster.ask(path, seconds, deadline_ms=15000)

    def test_pauses_within_the_target(self):
        line = self.line(self.ask("/check/x", 0.2), Event.REQUEST_DONE)
        self.assertEqual((8, GAP_S), (line["events"], line["gap_s"]))
        self.assertAlmostEqual(0.2, line["longest_gap_s"], delta=0.02)
        self.assertEqual(("", True), (line["late"], line["gaps_in_time"]))
        self.assertTrue(line["in_time"])
        self.assertEqual([], self.points("answers_late"))

    def test_an_answer_late_by_a_pause_is_told(self):
        """Guards against long answers that only their callers see late."""
        line = self.line(self.ask("/check/x", 0.8), Event.REQUEST_DONE)
        self.assertTrue(line["in_time"])
        self.assertEqual(("gap", False), (line["late"], line["gaps_in_time"]))
        (late,) = self.points("answers_late")
        self.assertEqual({"route": "check", "cause": "gap"}, late["attributes"])
        (gap,) = self.points("event_gap_seconds")
        self.assertEqual({"route": "check"}, gap["attributes"])

    def test_an_answer_of_one_event_has_no_pause(self):
        """Guards against percentiles that short answers draw to 0."""
        set_streams(self.cluster, 1, 0.2)
        caller = self.cluster.ask("/check/x", 9.0, deadline_ms=15000)
        line = self.line(caller, Event.REQUEST_DONE)
        self.assertEqual((1, True), (line["events"], line["gaps_in_time"]))
        self.assertEqual([], self.points("event_gap_seconds"))
        self.ask("/check/x", 0.2)
        (gap,) = self.points("event_gap_seconds")
        self.assertEqual(1, gap["count"])

    def test_a_route_that_names_no_pause_is_measured_only(self):
        line = self.line(self.ask("/draft/x", 0.3), Event.REQUEST_DONE)
        self.assertAlmostEqual(0.3, line["longest_gap_s"], delta=0.02)
        self.assertEqual((0.0, True), (line["gap_s"], line["gaps_in_time"]))

    def test_a_route_without_streams_has_no_pauses(self):
        caller = self.cluster.ask("/read/x")
        self.assertNotIn("events", self.line(caller, Event.REQUEST_DONE))

    def test_the_time_until_another_engine_goes_on_is_a_pause(self):
        """Guards against a stream's pause that no attempt has for its own."""
        for engine in self.cluster.engines.values():
            engine.work_s = 0.3
        set_streams(self.cluster, 8, 0.1)
        caller = self.cluster.send("/check/x", deadline_ms=9000)
        self.cluster.pass_time(0.55)
        for engine in self.cluster.engines.values():
            for conn in list(engine.open):
                if conn.current is not None:
                    conn.transport.abortConnection()
        self.cluster.pass_time(4)
        line = self.line(caller, Event.REQUEST_DONE)
        self.assertEqual(8, line["events"])
        self.assertGreater(line["longest_gap_s"], 0.3)
        self.assertIn(line["gap_after"], (1, 2, 3))

    def test_a_caller_that_leaves_in_a_pause(self):
        """Guards against a pause that nobody tells since no event ended it."""
        caller = self.ask("/check/x", 4.0, seconds=0.8)
        caller.pipe.abortConnection()
        self.cluster.pass_time(0.1)
        line = self.line(caller, Event.CANCELLED)
        self.assertEqual(1, line["gap_after"])
        self.assertAlmostEqual(0.73, line["longest_gap_s"], delta=0.02)

    def test_a_caller_that_leaves_before_the_first_event(self):
        for engine in self.cluster.engines.values():
            engine.work_s = 5.0
        caller = self.cluster.ask("/check/x", 0.3)
        caller.pipe.abortConnection()
        self.cluster.pass_time(0.1)
        self.assertNotIn("longest_gap_s", self.line(caller, Event.CANCELLED))

    def test_a_caller_that_does_not_read(self):
        """Guards against engines that are blamed for slow callers."""
        set_streams(self.cluster, 8, 0.1)
        caller = self.cluster.send("/check/x", deadline_ms=15000)
        self.cluster.pass_time(0.3)
        channel = caller.pipe.peer.producer
        channel.pauseProducing()
        self.cluster.pass_time(2.0)
        channel.resumeProducing()
        self.cluster.pass_time(2.0)
        line = self.line(caller, Event.REQUEST_DONE)
        self.assertLess(line["longest_gap_s"], GAP_S)
        self.assertAlmostEqual(2.0, line["reader_paused_s"], delta=0.05)
