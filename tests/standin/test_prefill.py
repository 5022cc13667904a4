"""The stand-in engine reads prompts in chunks, and writes between them.

The load: long prompts beside short ones and beside streams under way.
"""

from functools import partial

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.standin.prefill import Prefill, unread_tokens
from tests.entry.test_silent_endpoints import set_streams
from tests.gatewaycluster import GatewayCluster

RATE = 16_384.0


_STEP_S = 1 / 64


class PrefillTest(TestCase):
    """A chunk of 2,048 tokens takes 0.125 s."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.slowness = 1.0
        self.read = {}
        self.gone = set()
        self.prefill = Prefill(self.clock, RATE, lambda s: s * self.slowness)

    def add(self, name, tokens, priority=1):
        """Queues a prompt."""
        self.prefill.add(
            tokens,
            priority,
            lambda: name not in self.gone,
            partial(self._read, name),
        )

    def _read(self, name):
        self.read[name] = self.clock.seconds()

    def play(self, seconds=5.0):
        """Lets time pass, in steps that add up exactly."""
        self.clock.pump([_STEP_S] * round(seconds / _STEP_S))

    def test_prompts_are_read_one_after_the_other(self):
        self.add("a", 4096)
        self.add("b", 2048)
        self.play()
        self.assertEqual({"a": 0.25, "b": 0.375}, self.read)
        self.assertEqual(0.0, self.prefill.step_s)

    def test_an_urgent_one_waits_for_the_chunk_under_way_only(self):
        self.add("long", 20_480)
        self.play(0.05)
        self.add("short", 1024, priority=0)
        self.play()
        self.assertEqual({"short": 0.1875, "long": 1.3125}, self.read)

    def test_one_whose_caller_has_left_is_dropped(self):
        """Guards against an engine that reads for nobody."""
        self.add("a", 20_480)
        self.add("b", 2048)
        self.play(0.05)
        self.gone.add("a")
        self.play()
        self.assertEqual({"b": 0.25}, self.read)

    def test_a_slow_engine_takes_longer(self):
        self.slowness = 2.5
        self.add("a", 4096)
        self.play()
        self.assertEqual({"a": 0.625}, self.read)


class UnreadTokensTest(TestCase):
    """What an engine has to read of a prompt."""

    def test_parts_behind_a_missing_one_are_read_again(self):
        headers = {
            "x-cache-salt": "s",
            "x-token-counts": "3000,50",
            "x-prompt-prefix": "a:500,b:2000,c:500",
        }
        for known, unread in (
            ((), 3000),
            (("a",), 2500),
            (("a", "b"), 500),
            (("b", "c"), 3000),
            (("a", "b", "c"), 1),
        ):
            parts = {("s", name) for name in known}
            self.assertEqual(unread, unread_tokens(headers, parts), known)


class StreamsBesideTest(TestCase):
    """An engine that reads in chunks behind a gateway."""

    def longest_gap_s(self, reads):
        """Returns a stream's longest pause between events."""
        cluster = GatewayCluster(desks=0, engines=1)
        (engine,) = cluster.engines.values()
        engine.reads_in_chunks(RATE)
        set_streams(cluster, 10, 0.05)
        caller = cluster.send("/check/x", tokens="500,50", parts="aa:500")
        cluster.pass_time(0.15)
        if reads:
            cluster.send("/draft/x", tokens="8192,50", parts="bb:8192")
        arrivals = []
        for _ in range(600):
            cluster.pass_time(0.005)
            count = caller.last.body.count(b"\n\n")
            if count != len(arrivals):
                arrivals += [cluster.net.seconds()] * (count - len(arrivals))
        self.assertEqual(10, len(arrivals))
        pairs = zip(arrivals, arrivals[1:], strict=False)
        return max(after - before for before, after in pairs)

    def test_streams_pause_while_a_prompt_is_read_beside_them(self):
        self.assertLess(self.longest_gap_s(reads=False), 0.07)
        beside_s = self.longest_gap_s(reads=True)
        self.assertAlmostEqual(0.875, beside_s, delta=0.03)
