"""Sidecars and endpoints whose messages no sound one would send."""

import math

import msgspec
from testtools import TestCase
from twisted.internet.defer import Deferred

from magnolialug.entry.retryloop import Served
from magnolialug.result import Code
from magnolialug.wire import messages as msg
from tests.harness import Cluster

_CHANGES = (
    {"prefill_rate": 0.0},
    {"prefill_rate": -1.0},
    {"prefill_rate": math.nan},
    {"prefill_rate": math.inf},
    {"run_s": math.nan},
    {"run_s": -1e308},
    {"queued_by_priority": ()},
    {"queued_by_priority": (-(2**63),)},
    {"queued_by_priority": (2**64 - 1,) * 10_000},
    {"now": math.nan},
    {"now": -math.inf},
    {"running": -(2**63)},
    {"filled": -1},
    {"epoch": 2**63},
    {"beat": math.nan},
    {"beat": math.inf},
)


class OddStatusTest(TestCase):
    """One sidecar's reports, beside a sound one's."""

    def report(self, cluster, **changes):
        """Makes one sidecar report odd figures from now on."""
        app = cluster.sidecars["model-1"]
        status = app.status
        app.status = lambda: msgspec.structs.replace(status(), **changes)
        app._broadcast()
        cluster.run(0.5)

    def test_calls_are_served_beside_odd_figures(self):
        """Guards against one sidecar that fails the calls of all."""
        for changes in _CHANGES:
            cluster = Cluster(bookings=0)
            self.report(cluster, **changes)
            outcomes = [
                cluster.call(n % 2, cluster.prompt(f"prompt {n}"))
                for n in range(6)
            ]
            for outcome in outcomes:
                result = cluster.finish(outcome)
                self.assertIsInstance(result, Served, (changes, result))

    def test_odd_welcomes_end_no_entry(self):
        """Guards against a clock that is no number."""
        for now in (math.nan, math.inf, -math.inf):
            cluster = Cluster(bookings=0)
            (link, *_) = cluster.sidecars["model-1"]._links
            link.send(msg.Welcome("model-1", "other", now))
            cluster.run(0.5)
            outcome = cluster.call(0, cluster.prompt("after"))
            self.assertIsInstance(cluster.finish(outcome), Served, now)


class EndlessAnswerTest(TestCase):
    """Answers without end, at a sidecar and at an entry."""

    def test_tokens_without_end_end_a_call(self):
        """Guards against an entry that keeps all that a sidecar sends."""
        cluster = Cluster(bookings=0, models=1)
        outcome = cluster.call(0, cluster.prompt("long", 120))
        cluster.run(0.05)
        app = cluster.sidecars["model-1"]
        link = outcome.entry.fleet.upstreams["model-1"]._link
        (run,) = cluster.engines["model-1"]._running
        run.pause()
        cluster.run(0.1)
        (answer,) = app.answers._answers.values()
        seq = answer.last_seq
        text = "x" * 100_000
        for number in range(1, 40):
            link.on_message(msg.Token(answer.attempt, seq + number, text))
            cluster.run(0.05)
        held = sum(map(len, (piece for _, piece in outcome.sink.pieces)))
        self.assertLess(held, 2_000_000)
        self.assertEqual(Code.ANSWER_TOO_LARGE, outcome.result.code)

    def test_a_sidecar_that_passes_its_window_loses_its_link(self):
        """Guards against pieces that gather behind a caller that lags."""
        cluster = Cluster(bookings=0, models=1)
        outcome = cluster.call(0, cluster.prompt("long", 120))
        outcome.sink.gate = Deferred()
        cluster.run(0.1)
        app = cluster.sidecars["model-1"]
        upstream = outcome.entry.fleet.upstreams["model-1"]
        link = upstream._link
        (answer,) = app.answers._answers.values()
        for number in range(2000):
            link.on_message(msg.Token(answer.attempt, 1000 + number, "x"))
        (boxes,) = upstream.mailboxes.values()
        self.assertLess(len(boxes[0]), 600)
        self.assertIsNot(link, upstream._link)
        outcome.sink.gate.callback(None)
        outcome.sink.gate = None
        self.assertIsInstance(cluster.finish(outcome), Served)
