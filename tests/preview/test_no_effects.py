"""Previews change nothing, at their gateway or at owners.

They guard against one failure: operators who look at a gateway in trouble take
what its requests need: permits of limited endpoints, the first request after a
rest, slots of cold endpoints, places in admission queues.
"""

import msgspec
from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines
from tests.preview.asking import PROMPT, begin

VMS = ("front-1", "front-2")
LONG = {**PROMPT, "input": 60000, "parts": "aa:20000,o1:40000"}
READ = {"route": "read", "team": "team-a"}
# The time of day, and an id that each start draws.
_VOLATILE = ("at", "holder")


def operator():
    """Returns a configuration whose plain endpoints have cold starts."""
    base = config()
    desk = {**base["services"][0], "coldStartS": 3.0, "coldPerS": 2.0}
    return {**base, "services": [desk, *base["services"][1:]]}


class Day:
    """A short day of trouble, with or without previews."""

    def __init__(self, with_previews):
        self.with_previews = with_previews
        self.answered = 0
        self.cluster = GatewayCluster(
            desks=4, engines=3, operator=operator(), vms=VMS
        )
        self.arrivals = []
        for endpoint in self.cluster.endpoints():
            endpoint.on_arrival = self._listener(endpoint)
        self.asked = []

    def _listener(self, endpoint):
        def note(req):
            at = round(self.cluster.net.seconds(), 4)
            self.arrivals.append((at, endpoint.instance, req.request_id))

        return note

    def step(self, number):
        """Sends some requests, with previews of such requests among them."""
        for gateway in self.cluster.gateways if self.with_previews else ():
            for request in (READ, PROMPT, LONG)[number % 2 :]:
                self.asked.append(begin(gateway, **request)[1])
        callers = []
        for path in ("/read/x", "/draft/x", "/check/x")[: 1 + number % 3]:
            vm = 1 + number % len(VMS)
            caller = self.cluster.caller((f"10.0.0.{vm}", 80))
            parts = f"aa:20000,o{number}:20000"
            self.cluster.send(
                path, caller=caller, parts=parts, tokens="40000,9"
            )
            callers.append(caller)
        self.cluster.net.advance_by(0.05, 0.001)
        return callers

    def run(self):
        """Plays the day; returns the callers' statuses."""
        cold, limited, resting, broken = self.cluster.desks.values()
        for engine in self.cluster.engines.values():
            engine.gap_s = 0.2
        limited.send_limit = 3.0
        callers = [c for n in range(20) for c in self.step(n)]
        self.cluster.relist(cold, coldRemainingMs=3000, sequence=2)
        resting.refuses, resting.rest = True, 1.0
        broken.faults[:] = [Fault.RESET_BEFORE] * 4
        callers += [c for n in range(20) for c in self.step(n)]
        resting.refuses = False
        callers += [c for n in range(40) for c in self.step(n)]
        self.cluster.pass_time(3)
        return [caller.last.status for caller in callers]

    def counters(self):
        """Returns the metrics of all gateways."""
        return [gateway.metrics.snapshot() for gateway in self.cluster.gateways]


def told(lines):
    """Returns log lines without what differs between two equal runs."""
    rows = [msgspec.json.decode(str(line)) for line in lines]
    return [
        {name: row[name] for name in row if name not in _VOLATILE}
        for row in rows
    ]


class NoEffectsTest(TestCase):
    """The same day twice, once with previews."""

    def test_a_day_with_previews_is_the_day_without(self):
        """Guards against any decision, count or line that a preview changes."""
        lines = collect_lines(self)
        plain = Day(with_previews=False)
        statuses = plain.run()
        lines_without = told(lines)
        lines.clear()
        previewed = Day(with_previews=True)
        self.assertEqual(statuses, previewed.run())
        self.assertEqual(plain.arrivals, previewed.arrivals)
        self.assertEqual(lines_without, told(lines))
        self.assertEqual(plain.counters(), previewed.counters())
        self.assertEqual({1}, set(map(len, previewed.asked)))
        explained = [r for (r,) in previewed.asked if hasattr(r, "outcome")]
        self.assertGreater(len(explained), len(previewed.asked) / 2)
        self.assertLess({200}, set(statuses))
        names = {row["name"] for row in lines_without}
        self.assertLessEqual(
            {"ENDPOINT_LIMITED", "ENDPOINT_RESTING", "ENDPOINT_COLD"}, names
        )
