"""Gateways that measure engines by the streams that they forward.

Load pattern: streams of a route that names a pause, at engines of which one is
slower, and callers that stop reading for a while.
"""

import msgspec
from testtools import TestCase

from magnolialug.events import Event
from magnolialug.ids import EndpointId
from magnolialug.policy.enginepace import EnginePace
from magnolialug.policy.sharedload import EndpointState
from tests.entry.test_silent_endpoints import result, set_streams
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines

GAP_S = 0.08


def operator(gap_ms):
    """Returns a configuration whose routes name a pause."""
    routes = [
        {**row, "targetGapMs": gap_ms} if row["service"] == "llm" else row
        for row in config()["routes"]
    ]
    return config(routes=routes)


class PaceSamplesTest(TestCase):
    """Guards against a pace that includes what isn't the engine's time."""

    def start(self, gap_ms=500):
        """Starts a gateway and one engine; returns what it knows of that."""
        self.cluster = GatewayCluster(
            desks=0, engines=1, operator=operator(gap_ms)
        )
        set_streams(self.cluster, events=30, gap_s=GAP_S)
        self.cluster.pass_time(1)
        (peer,) = self.cluster.gateway.directory.peers.values()
        return peer

    def share(self, peer):
        """Returns what the gateway would report of an engine."""
        return peer.share(self.cluster.net.seconds())

    def stream(self):
        """Sends a request; returns its caller."""
        return self.cluster.send("/check/x")

    def keep_asking(self, seconds):
        """Lets short prompts arrive, so that owners are asked often."""
        for _ in range(round(seconds / 0.25)):
            self.stream()
            self.cluster.pass_time(0.25)

    def test_events_of_forwarded_streams_tell_the_pace(self):
        peer = self.start()
        self.keep_asking(2)
        pace = self.share(peer).pace
        self.assertAlmostEqual(GAP_S * 1000, pace.event_ms, delta=8)
        rows = self.cluster.gateway.metrics.snapshot()
        counted = [r for r in rows if r["name"] == "engine_pace_samples"]
        self.assertTrue(counted[0]["value"] >= pace.samples)

    def test_routes_that_name_no_pause_tell_none(self):
        peer = self.start(gap_ms=0)
        self.keep_asking(2)
        self.assertIs(None, self.share(peer).pace)

    def test_a_caller_that_reads_nothing_is_not_a_slow_engine(self):
        """Guards against back pressure that is taken for the engine's pace."""
        peer = self.start()
        counts = []
        self.patch(
            peer.load, "events", lambda name, count, now: counts.append(count)
        )
        caller = self.stream()
        self.cluster.pass_time(0.5)
        channel = caller.pipe.peer.producer
        counts.append("paused")
        channel.pauseProducing()
        self.cluster.pass_time(1)
        counts.append("resumed")
        channel.resumeProducing()
        self.cluster.pass_time(4)
        self.assertEqual("whole", result(caller))
        paused, resumed = counts.index("paused"), counts.index("resumed")
        self.assertEqual([0], counts[paused + 1 : resumed])
        self.assertTrue(all(counts[:paused]), counts)
        self.assertTrue(all(counts[resumed:]), counts)

    def test_the_log_says_which_pace_was_believed(self):
        """Guards against a placement that no operator can explain."""
        lines = collect_lines(self)
        peer = self.start()
        now = self.cluster.net.seconds()
        state = EndpointState(
            peer.listed.endpoint, (), 0, 0, pace=EnginePace(50_000, 40, 9, 0)
        )
        peer.apply_shared_state(state, now)
        self.stream()
        self.cluster.pass_time(0.2)
        placed = [line for line in lines if Event.PLACED.name in line]
        self.assertIn('"pace":50000', placed[-1])

    def test_the_pace_of_another_start_is_not_used(self):
        """Guards against a restarted engine that looks slow, or fast."""
        peer = self.start()
        now = self.cluster.net.seconds()
        pace = EnginePace(20_000, 40, 9, 0)
        peer.listed = msgspec.structs.replace(peer.listed, born_ms=1_000)
        for born_ms in (2_000, 1_000):
            state = EndpointState(
                EndpointId(peer.listed.endpoint),
                (),
                0,
                0,
                born_ms=born_ms,
                pace=pace,
            )
            peer.apply_shared_state(state, now)
            expected = pace if born_ms == 1_000 else None
            self.assertEqual(expected, peer.load.pace)

    def test_operators_see_the_slowest_engine_of_a_service(self):
        peer = self.start()
        peer.load.record_pace(
            EnginePace(50_000, 40, 9, 0), self.cluster.net.seconds()
        )
        rows = {
            row["attributes"]["which"]: row["value"]
            for row in self.cluster.gateway.metrics.snapshot()
            if row["name"] == "engine_pace"
        }
        self.assertEqual({"slowest": 50_000, "median": 50_000}, rows)
