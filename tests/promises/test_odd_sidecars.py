"""Sidecars and endpoints whose messages no sound one would send."""

import math

import msgspec
from testtools import TestCase

from magnolialug.entry.retryloop import Served
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
