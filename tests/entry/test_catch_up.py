"""Tests of reads of the newest changes beside the watch."""

from random import Random

from testtools import TestCase
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from magnolialug.entry.watchclient import WatchClient
from magnolialug.platform.kv import Changes
from magnolialug.result import Code, failed
from magnolialug.standin.kv import KvStore
from magnolialug.watchsubscriber import WatchSubscriber


class Rows(WatchSubscriber):
    """Records the changes that are reported, in order."""

    def __init__(self):
        self.reported = []

    def snapshot(self, entries):
        """Records all entries."""
        self.reported += [(entry.key, entry.value) for entry in entries]

    def changed(self, entry):
        """Records one change."""
        self.reported.append((entry.key, entry.value))


class CatchUpTest(TestCase):
    """The newest changes are read while the watch reports nothing."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.kv = KvStore(self.clock)
        self.urgent, self.other = Rows(), Rows()
        self.watch_client = WatchClient(
            self.kv,
            {"u/": self.urgent, "o/": self.other},
            self.clock,
            Random(1),
            25.0,
            (0.25, 1.0),
            ("u/",),
        )
        self.watch_client.start()
        self.addCleanup(self.watch_client.stop)
        self.clock.advance(1)

    def write(self, key, value):
        """Writes a key; the watch hears of it when time passes."""
        row = self.kv._rows.get(key)
        revision = row.revision if row else 0
        ensureDeferred(self.kv.put_if(key, value, revision))

    def catch_up(self):
        """Returns what a read that has ended returned."""
        results = []
        ensureDeferred(self.watch_client.catch_up()).addCallback(results.append)
        return results

    def test_changes_of_urgent_keys_are_reported_once_and_in_order(self):
        """Guards against a watch that reports again what was read beside it."""
        self.write("u/a", b"1")
        self.write("o/a", b"1")
        self.write("u/a", b"2")
        self.assertEqual([None], self.catch_up())
        self.assertEqual([("u/a", b"1"), ("u/a", b"2")], self.urgent.reported)
        self.assertEqual([], self.other.reported)
        self.clock.advance(1)
        self.assertEqual([("u/a", b"1"), ("u/a", b"2")], self.urgent.reported)
        self.assertEqual([("o/a", b"1")], self.other.reported)

    def test_answer_that_the_watch_has_overtaken_changes_nothing(self):
        """Guards against an entry that goes back to an older value."""
        answer, changes = Deferred(), self.kv.changes

        async def held(prefix, after, wait_s, *rest):
            found = await changes(prefix, after, wait_s, *rest)
            if wait_s == 0:
                await answer
            return found

        self.kv.changes = held
        self.write("u/a", b"1")
        results = self.catch_up()
        self.clock.advance(0.01)
        self.write("u/a", b"2")
        for _ in range(200):
            self.clock.advance(0.01)
        self.assertEqual(("u/a", b"2"), self.urgent.reported[-1])
        answer.callback(None)
        self.assertEqual([None], results)
        self.assertEqual(("u/a", b"2"), self.urgent.reported[-1])

    def test_changes_that_the_service_skips_confirm_nothing(self):
        """Guards against an answer without the changes of its revision."""
        self.kv.faults.deaf_watches = True
        self.write("u/a", b"1")
        (failure,) = self.catch_up()
        self.assertEqual(Code.KV_HISTORY_GONE, failure.code)

    def test_service_that_has_gone_back_confirms_nothing(self):
        """Guards against a service that restarts with lower revisions.

        What is written there next has a revision that was already read.
        """
        for number in range(3):
            self.write("u/a", b"%d" % number)
            self.clock.advance(1)
        self.kv._rows.clear()
        self.kv._history.clear()
        self.kv.revision = 0
        self.write("u/b", b"1")
        (failure,) = self.catch_up()
        self.assertEqual(Code.KV_HISTORY_GONE, failure.code)

    def test_read_is_not_tried_while_the_service_is_known_to_be_away(self):
        """Guards against callers who wait for what is known to fail."""
        self.kv.faults.down = True
        self.kv.end_watches()
        for _ in range(30):
            self.clock.advance(0.1)
        calls = self.kv.calls.total()
        (failure,) = self.catch_up()
        self.assertEqual(Code.KV_UNREACHABLE, failure.code)
        self.assertEqual(calls, self.kv.calls.total())

    def test_read_whose_connection_was_silent_is_made_again(self):
        """Guards against a cut connection that fails a read by itself."""
        answers = [failed(Code.KV_TIMEOUT), Changes((), 0)]

        async def changes(*call):
            return answers.pop(0)

        self.kv.changes = changes
        self.assertEqual([None], self.catch_up())
        self.assertEqual([], answers)
