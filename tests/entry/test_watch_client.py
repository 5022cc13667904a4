"""One watch over all keys, and how often it is asked anew.

The pattern: 68 machines start, or are started again one after the other, and
38 endpoints register; ten keys a second change for some seconds. The service
counts each call, and each change woke every machine.
"""

from random import Random

import msgspec
from loguru import logger
from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.entry.watchclient import WatchClient
from magnolialug.result import Code, failed
from magnolialug.standin.kv import KvStore
from magnolialug.watchsubscriber import WatchSubscriber


class Seen(WatchSubscriber):
    """Notes when each key was seen to change."""

    def __init__(self, clock):
        self.clock = clock
        self.at = {}
        self.values = {}
        self.away_s = []
        self.settles = 0

    def snapshot(self, entries):
        """Takes all entries."""
        for entry in entries:
            self.changed(entry)

    def changed(self, entry):
        """Takes one change."""
        self.at.setdefault(entry.key, self.clock.seconds())
        self.values[entry.key] = entry.value

    def back(self, away_s):
        """Notes for how long the service was away."""
        self.away_s.append(away_s)

    def settled(self):
        """Counts what came together."""
        self.settles += 1


class WatchClientTest(TestCase):
    """Few calls, and no change seen late."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.kv = KvStore(self.clock)
        self.seen, self.other = Seen(self.clock), Seen(self.clock)
        takes = {"a/": self.seen, "b/": self.other}
        self.watch_client = WatchClient(
            self.kv, takes, self.clock, Random(1), 25.0, (0.25, 1.0)
        )
        self.watch_client.start()
        self.addCleanup(self.watch_client.stop)
        self.pass_time(5)

    def pass_time(self, seconds):
        """Lets time pass."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def write(self, key):
        """Changes a key."""
        ensureDeferred(self.kv.put_if(key, b"x", 0))
        return self.clock.seconds()

    def test_one_that_comes_alone_is_seen_at_once(self):
        at = self.write("a/1")
        self.pass_time(0.5)
        self.assertLess(self.seen.at["a/1"] - at, 0.02)

    def test_a_second_and_a_third_are_seen_soon(self):
        for number in range(3):
            at = self.write(f"a/{number}")
            self.pass_time(0.3)
            self.assertLess(self.seen.at[f"a/{number}"] - at, 0.27)

    def test_a_fleet_that_starts_costs_few_calls(self):
        """Every machine is woken by every change.

        Symptom: 13 calls a machine before the first request, and as many
        again in a rolling restart. Cause: the next call was made a third of a
        second after each.
        """
        before = self.kv.calls["watch"]
        written = {}
        for number in range(60):
            written[f"a/{number}"] = self.write(f"a/{number}")
            self.pass_time(0.1)
        self.pass_time(1.1)
        self.assertLess(self.kv.calls["watch"] - before, 12)
        late = [self.seen.at[key] - at for key, at in written.items()]
        self.assertLess(max(late), 1.05)
        self.assertLess(self.seen.settles, 12)

    def test_a_change_behind_a_lost_watch_is_seen_within_the_bound(self):
        """The answer to a watch is lost in an outage; the path stays open."""
        self.kv.lose_watches()
        at = self.write("a/1")
        self.pass_time(2)
        self.assertIn("a/1", self.seen.at)
        self.assertLess(self.seen.at["a/1"] - at, 1.5)

    def test_an_outage_is_noticed_while_a_watch_waits(self):
        """A service that falls silent closes no connection."""
        self.kv.lose_watches()
        self.kv.faults.down = True
        self.pass_time(2)
        self.assertFalse(self.watch_client.is_connected)
        self.kv.faults.down = False
        self.pass_time(2)
        self.assertTrue(self.watch_client.is_connected)

    def test_a_service_that_was_never_reached_is_logged(self):
        """Guards against a process that refuses all, and does not say why."""
        self.watch_client.stop()
        lines = []
        sink = logger.add(lines.append, format="{message}")
        self.addCleanup(logger.remove, sink)
        self.kv.faults.down = True
        started = WatchClient(self.kv, {}, self.clock, Random(2), 25.0)
        started.start()
        self.addCleanup(started.stop)
        self.pass_time(12.5)
        rows = [msgspec.json.decode(str(line)) for line in lines]
        lost = [row for row in rows if row["name"] == "KV_LOST"]
        self.assertGreaterEqual(len(lost), 2)
        self.assertEqual("KV_TIMEOUT", lost[0]["code_name"])

    def test_time_away_counts_from_the_last_answer(self):
        """Guards against an end of a stale watch that counts as an answer."""
        self.kv.lose_watches()
        self.kv.faults.down = True
        self.pass_time(4)
        self.kv.faults.down = False
        self.pass_time(2)
        self.assertGreaterEqual(self.seen.away_s[-1], 4.0)

    def test_one_that_could_not_connect_is_back_soon(self):
        """Guards against a process that learns too late what it missed."""
        self.kv.faults.unreachable = True
        self.kv.end_watches()
        self.pass_time(10)
        self.kv.faults.unreachable = False
        self.pass_time(0.26)
        self.assertTrue(self.watch_client.is_connected)

    def test_checks_of_a_quiet_watch_do_not_end_it(self):
        """A check is cheap; a watch that is asked anew is not."""
        before = self.kv.calls["watch"]
        self.pass_time(15)
        self.assertEqual(0, self.kv.calls["watch"] - before)

    def test_each_is_told_to_those_whose_it_is(self):
        self.write("a/1")
        self.write("b/1")
        self.write("c/1")
        self.pass_time(1)
        self.assertEqual({"a/1"}, set(self.seen.at))
        self.assertEqual({"b/1"}, set(self.other.at))


class LostPageTest(TestCase):
    """A service with more entries than one answer holds."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.kv = KvStore(self.clock)
        self.kv.page_size = 2
        for number in range(7):
            ensureDeferred(self.kv.put_if(f"a/{number}", b"x", 0))
        self.asked = []
        self.fails_at = set()
        self.on_failure = lambda: None
        self.kv.page = self.page
        self.seen = Seen(self.clock)
        self.watch_client = WatchClient(
            self.kv, {"a/": self.seen}, self.clock, Random(1), 25.0
        )
        self.addCleanup(self.watch_client.stop)

    async def page(self, prefix, after="", *args):
        """Loses the answers that the test names."""
        self.asked.append(after)
        if len(self.asked) in self.fails_at:
            self.on_failure()
            return failed(Code.KV_TIMEOUT)
        return await KvStore.page(self.kv, prefix, after, *args)

    def pass_time(self, seconds):
        """Lets time pass."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def test_a_page_that_is_lost_is_asked_for_alone(self):
        """Guards against a start that begins anew with each lost page."""
        self.fails_at = {2, 4}
        self.watch_client.start()
        self.pass_time(1)
        self.assertEqual(["", "a/1", "a/1", "a/3", "a/3", "a/5"], self.asked)
        self.assertEqual(7, len(self.seen.at))

    def test_pages_are_read_again_after_an_outage(self):
        """Guards against entries that were removed while pages were lost."""
        self.fails_at = set(range(2, 30))
        self.watch_client.start()
        self.pass_time(1)
        self.kv._remove("a/0")
        self.pass_time(30)
        self.assertTrue(self.watch_client.is_connected)
        self.assertNotIn("a/0", self.seen.at)

    def test_pages_are_read_again_after_a_change(self):
        """Guards against a snapshot that undoes a change reported before."""
        self.watch_client.start()
        self.pass_time(1)
        self.hide_changes("b/1")
        self.fails_at = {len(self.asked) + 2}
        self.on_failure = self.show_a_removal
        self.pass_time(1.5)
        self.assertIsNone(self.seen.values["a/0"])
        self.hide_changes("b/2")
        self.pass_time(1.5)
        self.assertIsNone(self.seen.values["a/0"])

    def test_pages_are_read_again_after_an_urgent_change(self):
        """Guards against a catch-up that lists what it has just removed."""
        ensureDeferred(self.kv.put_if("z", b"x" * 100_000, 0))
        self.watch_client = WatchClient(
            self.kv,
            {"a/": self.seen},
            self.clock,
            Random(1),
            25.0,
            urgent=("a/",),
        )
        self.watch_client.start()
        self.pass_time(1)
        self.asked.clear()
        self.fails_at = {2}
        self.on_failure = lambda: self.kv._remove("a/0")
        self.kv.end_watches()
        self.pass_time(1)
        self.assertEqual(["", "a/1", ""], self.asked[:3])
        self.assertIsNone(self.seen.values["a/0"])

    def hide_changes(self, key):
        """Makes watches skip a change, so that all entries are read."""
        self.kv.faults.deaf_watches = True
        ensureDeferred(self.kv.put_if(key, b"x", 0))

    def show_a_removal(self):
        """Removes a key of a page that was read, and reports it."""
        self.kv.faults.deaf_watches = False
        self.kv._remove("a/0")

    def test_an_answer_that_is_too_long_is_replaced_by_a_snapshot(self):
        """Guards against changes that are asked for in vain for ever."""
        self.watch_client.start()
        self.pass_time(1)
        self.asked.clear()

        async def too_long(*args):
            return failed(Code.KV_ANSWER_TOO_LONG)

        changes, self.kv.changes = self.kv.changes, too_long
        self.kv.end_watches()
        self.pass_time(0.5)
        self.kv.changes = changes
        ensureDeferred(self.kv.put_if("a/9", b"x", 0))
        self.pass_time(1)
        self.assertIn("", self.asked)
        self.assertIn("a/9", self.seen.at)
