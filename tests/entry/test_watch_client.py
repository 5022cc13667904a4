"""The watch over all keys, and how many calls it makes.

68 machines start, or restart one after the other, and 38 endpoints register:
ten keys a second change for some seconds. The service counts each call, and
without pauses every change causes one call from every machine.
"""

from random import Random

import msgspec
from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.entry.watchclient import WatchClient
from magnolialug.result import Code, failed
from magnolialug.standin.kv import KvStore
from magnolialug.watchsubscriber import WatchSubscriber
from tests.loglines import collect_lines


class RecordingSubscriber(WatchSubscriber):
    """Records when each key was seen to change."""

    def __init__(self, clock):
        self.clock = clock
        self.at = {}
        self.values = {}
        self.away_s = []
        self.settled_count = 0

    def snapshot(self, entries):
        """Records all entries."""
        for entry in entries:
            self.changed(entry)

    def changed(self, entry):
        """Records one change."""
        self.at.setdefault(entry.key, self.clock.seconds())
        self.values[entry.key] = entry.value

    def back(self, away_s):
        """Records how long the service could not be reached."""
        self.away_s.append(away_s)

    def settled(self):
        """Counts the batches of changes."""
        self.settled_count += 1


class WatchClientTest(TestCase):
    """Changes are seen in time with few calls."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.kv = KvStore(self.clock)
        self.seen, self.other = (
            RecordingSubscriber(self.clock),
            RecordingSubscriber(self.clock),
        )
        subscribers = {"a/": self.seen, "b/": self.other}
        self.watch_client = WatchClient(
            self.kv, subscribers, self.clock, Random(1), 25.0, (0.25, 1.0)
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

    def test_a_single_change_is_seen_at_once(self):
        at = self.write("a/1")
        self.pass_time(0.5)
        self.assertLess(self.seen.at["a/1"] - at, 0.02)

    def test_a_second_and_a_third_change_are_seen_soon(self):
        for number in range(3):
            at = self.write(f"a/{number}")
            self.pass_time(0.3)
            self.assertLess(self.seen.at[f"a/{number}"] - at, 0.27)

    def test_a_starting_fleet_causes_few_calls(self):
        """Guards against one watch call for every change in the fleet.

        With a third of a second between calls, each machine made 13 calls
        before the first request, and as many again in a rolling restart.
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
        self.assertLess(self.seen.settled_count, 12)

    def test_a_change_behind_a_lost_watch_is_seen_within_the_bound(self):
        """The reply to a watch is lost while the connection stays open."""
        self.kv.lose_watches()
        at = self.write("a/1")
        self.pass_time(2)
        self.assertIn("a/1", self.seen.at)
        self.assertLess(self.seen.at["a/1"] - at, 1.5)

    def test_an_outage_is_noticed_while_a_watch_waits(self):
        """A service that stops answering closes no connection."""
        self.kv.lose_watches()
        self.kv.faults.down = True
        self.pass_time(2)
        self.assertFalse(self.watch_client.is_connected)
        self.kv.faults.down = False
        self.pass_time(2)
        self.assertTrue(self.watch_client.is_connected)

    def test_a_service_that_was_never_reached_is_logged(self):
        """Guards against a process that logs no cause for its refusals."""
        self.watch_client.stop()
        lines = collect_lines(self)
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
        """Guards against counting the end of a stale watch as a reply."""
        self.kv.lose_watches()
        self.kv.faults.down = True
        self.pass_time(4)
        self.kv.faults.down = False
        self.pass_time(2)
        self.assertGreaterEqual(self.seen.away_s[-1], 4.0)

    def test_it_reconnects_soon_after_failed_connection_attempts(self):
        """Guards against a late read of the missed changes."""
        self.kv.faults.unreachable = True
        self.kv.end_watches()
        self.pass_time(10)
        self.kv.faults.unreachable = False
        self.pass_time(0.26)
        self.assertTrue(self.watch_client.is_connected)

    def test_checks_of_an_idle_watch_do_not_end_it(self):
        """A check is cheap, while a new watch call is not."""
        before = self.kv.calls["watch"]
        self.pass_time(15)
        self.assertEqual(0, self.kv.calls["watch"] - before)

    def test_each_change_goes_to_the_subscriber_of_its_prefix(self):
        self.write("a/1")
        self.write("b/1")
        self.write("c/1")
        self.pass_time(1)
        self.assertEqual({"a/1"}, set(self.seen.at))
        self.assertEqual({"b/1"}, set(self.other.at))


class LostPageTest(TestCase):
    """A service whose entries need several pages."""

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
        self.seen = RecordingSubscriber(self.clock)
        self.watch_client = WatchClient(
            self.kv, {"a/": self.seen}, self.clock, Random(1), 25.0
        )
        self.addCleanup(self.watch_client.stop)

    async def page(self, prefix, after="", *args):
        """Loses the replies whose numbers are in `fails_at`."""
        self.asked.append(after)
        if len(self.asked) in self.fails_at:
            self.on_failure()
            return failed(Code.KV_TIMEOUT)
        return await KvStore.page(self.kv, prefix, after, *args)

    def pass_time(self, seconds):
        """Lets time pass."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def test_only_the_lost_page_is_requested_again(self):
        """Guards against reading all pages again after each lost page."""
        self.fails_at = {2, 4}
        self.watch_client.start()
        self.pass_time(1)
        self.assertEqual(["", "a/1", "a/1", "a/3", "a/3", "a/5"], self.asked)
        self.assertEqual(7, len(self.seen.at))

    def test_pages_are_read_again_after_an_outage(self):
        """Guards against listing entries removed while pages were lost."""
        self.fails_at = set(range(2, 30))
        self.watch_client.start()
        self.pass_time(1)
        self.kv._remove("a/0")
        self.pass_time(30)
        self.assertTrue(self.watch_client.is_connected)
        self.assertNotIn("a/0", self.seen.at)

    def test_pages_are_read_again_after_a_change(self):
        """Guards against a snapshot that undoes a change already reported."""
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
        """Guards against a catch-up that lists an entry just removed."""
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
        """Changes a key without a report, so that all entries are read."""
        self.kv.faults.deaf_watches = True
        ensureDeferred(self.kv.put_if(key, b"x", 0))

    def show_a_removal(self):
        """Removes a key of a page already read, and reports the removal."""
        self.kv.faults.deaf_watches = False
        self.kv._remove("a/0")

    def test_a_snapshot_replaces_a_response_that_is_too_long(self):
        """Guards against repeating a request that can never succeed."""
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


class FailingSubscriber(RecordingSubscriber):
    """Raises for some keys, as a fault in a reader does."""

    def snapshot(self, entries):
        """Applies nothing if one entry raises."""
        for entry in entries:
            self.changed(entry)

    def changed(self, entry):
        """Raises for keys with "bad"."""
        if "bad" in entry.key:
            raise LookupError(entry.key)
        super().changed(entry)

    def settled(self):
        """Always raises."""
        raise ZeroDivisionError


class FailingSubscriberTest(WatchClientTest):
    """A subscriber that raises."""

    def setUp(self):
        super().setUp()
        self.watch_client.stop()
        self.lines = collect_lines(self)
        self.failing = FailingSubscriber(self.clock)
        subscribers = {"a/": self.failing, "b/": self.other}
        self.watch_client = WatchClient(
            self.kv, subscribers, self.clock, Random(1), 25.0, (0.25, 1.0)
        )
        self.seen = self.failing
        self.addCleanup(self.watch_client.stop)
        self.watch_client.start()
        self.pass_time(5)

    def test_an_entry_that_raises_keeps_no_others_back(self):
        """Guards against one entry that ends the watch of all keys."""
        for key in ("a/bad", "a/1", "b/1"):
            self.write(key)
        self.pass_time(2)
        self.assertIn("a/1", self.failing.at)
        self.assertIn("b/1", self.other.at)
        refused = [line for line in self.lines if "ENTRY_REFUSED" in line]
        self.assertEqual(1, len(refused))
        self.assertIn("a/bad", refused[0])
        self.assertIn("LookupError", refused[0])
        self.assertEqual(1, self.watch_client.guard.failures["entry"])

    def test_a_snapshot_that_raises_is_reported_entry_by_entry(self):
        """Guards against a start that one entry keeps from all others."""
        for key in ("a/bad", "a/1", "b/1"):
            self.write(key)
        started = WatchClient(
            self.kv,
            {"a/": self.failing, "b/": self.other},
            self.clock,
            Random(2),
            25.0,
        )
        self.watch_client.stop()
        self.failing.at.clear()
        self.other.at.clear()
        started.start()
        self.addCleanup(started.stop)
        self.pass_time(1)
        self.assertIn("a/1", self.failing.at)
        self.assertIn("b/1", self.other.at)
        self.assertIn("snapshot a/", started.guard.failing)
