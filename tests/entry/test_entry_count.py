"""The number of entries in the key-value service."""

from random import Random

from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.entry.entrycount import COUNT_KEY, EntryCount
from magnolialug.entry.watchclient import WatchClient
from magnolialug.standin.kv import KvStore
from tests.loglines import collect_lines


class EntryCountTest(TestCase):
    """Some entries, each with a count of its own, at one service."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.kv = KvStore(self.clock)
        self.counts = [self.start(), self.start()]

    def start(self):
        """Returns the count of an entry that starts."""
        count = EntryCount(self.kv, self.clock)
        watch_client = WatchClient(
            self.kv, {COUNT_KEY: count}, self.clock, Random(1), 25.0
        )
        watch_client.start()
        self.addCleanup(watch_client.stop)
        return count

    def pass_time(self, seconds, entries, writers=(0,)):
        """Lets time pass, in which each entry sees a number of entries."""
        for _ in range(round(seconds / 0.05)):
            for number, count in enumerate(self.counts):
                count.update(entries, number in writers)
            self.clock.advance(0.05)

    def stored(self):
        """Returns what each entry knows to be stored."""
        return [count.stored for count in self.counts]

    def test_a_number_that_stands_is_written_once(self):
        """Guards against a write for each entry that starts, or by each."""
        for entries in range(1, 8):
            self.pass_time(1, entries)
        self.pass_time(10, 7)
        self.assertEqual([7, 7], self.stored())
        self.assertEqual(1, self.kv.calls["write"])

    def test_a_number_that_keeps_changing_is_written(self):
        """Guards against a write that each further change puts off."""
        for entries in range(1, 12):
            self.pass_time(3, entries)
        self.assertGreaterEqual(min(self.stored()), 5)
        self.assertLessEqual(self.kv.calls["write"], 3)

    def test_two_writers_do_not_overwrite_each_other_for_ever(self):
        self.pass_time(30, 7, writers=(0, 1))
        self.assertEqual([7, 7], self.stored())
        self.assertLessEqual(self.kv.calls["write"], 2)

    def test_a_failed_write_is_repeated(self):
        """Guards against a number that is lost in an outage."""
        lines = collect_lines(self)
        self.kv.faults.refusing = True
        self.pass_time(12, 7)
        self.assertEqual([0, 0], self.stored())
        unwritten = [line for line in lines if "COUNT_UNWRITTEN" in line]
        self.assertEqual(2, len(unwritten))
        self.kv.faults.refusing = False
        self.pass_time(8, 7)
        self.assertEqual([7, 7], self.stored())

    def test_a_malformed_number_counts_as_none(self):
        """Guards against an entry that cannot start, and against silence."""
        lines = collect_lines(self)
        for value in (b"", b"{}", b'{"entries":"7"}', b'{"entries":-7}'):
            ensureDeferred(self.kv.put_if(COUNT_KEY, value, self.kv.revision))
            self.clock.advance(0.05)
            self.assertEqual([0, 0], self.stored())
        refused = [line for line in lines if "ENTRY_REFUSED" in line]
        self.assertEqual(8, len(refused))

    def test_a_removed_number_is_written_again(self):
        self.pass_time(8, 7)
        ensureDeferred(self.kv.delete(COUNT_KEY))
        self.pass_time(8, 7)
        self.assertEqual([7, 7], self.stored())
