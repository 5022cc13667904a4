"""Quarantined requests as announced, written, read and released."""

import msgspec
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.platform.kv import KvEntry
from magnolialug.quarantine.messages import Quarantined
from magnolialug.quarantine.quarantinelist import (
    QUARANTINE_KEYS,
    QuarantineList,
)
from magnolialug.result import Code
from magnolialug.standin.kv import KvStore

ENDED = ("i-1", "i-2", "i-3")
VALUE = msgspec.json.encode({"ended": ENDED})


class QuarantineListTest(TestCase):
    """One entry's list, and what is written of it."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.kv = KvStore(self.clock)
        self.broken_off = []
        self.book = self.new_book()

    def new_book(self, writes=lambda digest: True):
        """Returns the book of an entry."""
        return QuarantineList(
            self.kv, self.clock, writes, self.broken_off.append
        )

    def pass_time(self, seconds):
        """Lets time pass, with ticks."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.book.tick(self.clock.seconds())

    def written(self):
        """Returns the digests that are written."""
        keys = [key for key in self.kv._rows if key.startswith(QUARANTINE_KEYS)]
        return [key.removeprefix(QUARANTINE_KEYS) for key in keys]

    def test_a_bar_that_lasts_is_written_and_one_that_does_not_is_not(self):
        self.book.told(Quarantined("held", ENDED[:2], 60_000))
        self.book.told(Quarantined("barred", ENDED))
        self.pass_time(1.1)
        self.assertEqual(["barred"], self.written())
        self.assertEqual(["held", "barred"], self.broken_off)
        for digest in ("held", "barred"):
            self.assertEqual(Code.QUARANTINED, self.book.refusal(digest).code)
        self.assertIsNone(self.book.refusal("other"))

    def test_what_is_held_goes_again_after_its_time(self):
        self.book.told(Quarantined("held", ENDED[:2], 60_000))
        self.pass_time(59)
        self.assertIsNotNone(self.book.refusal("held"))
        self.pass_time(2)
        self.assertIsNone(self.book.refusal("held"))
        self.assertEqual(0, len(self.book))

    def test_a_late_word_shortens_nothing(self):
        self.book.told(Quarantined("d", ENDED))
        self.book.told(Quarantined("d", ENDED[:2], 60_000))
        self.pass_time(61)
        self.assertIsNotNone(self.book.refusal("d"))

    def test_only_one_entry_writes(self):
        self.book = self.new_book(writes=lambda digest: False)
        self.book.told(Quarantined("d", ENDED))
        self.pass_time(3)
        self.assertEqual([], self.written())
        self.assertEqual(0, self.kv.calls["write"])

    def test_a_write_that_fails_is_made_again(self):
        self.kv.faults.down = True
        self.book.told(Quarantined("d", ENDED))
        self.pass_time(2)
        self.assertEqual([], self.written())
        self.kv.faults.down = False
        self.pass_time(1.1)
        self.assertEqual(["d"], self.written())
        self.pass_time(5)
        calls = self.kv.calls["write"]
        self.pass_time(5)
        self.assertEqual(calls, self.kv.calls["write"])

    def test_a_write_whose_answer_is_lost_is_found_done(self):
        self.kv.faults.lose_answers = 1
        self.book.told(Quarantined("d", ENDED))
        self.pass_time(5)
        calls = self.kv.calls["write"]
        self.pass_time(5)
        self.assertEqual(["d"], self.written())
        self.assertEqual(calls, self.kv.calls["write"])

    def test_an_entry_that_starts_reads_what_is_written(self):
        self.book.snapshot([KvEntry(QUARANTINE_KEYS + "d", VALUE, 7)])
        failure = self.book.refusal("d")
        self.assertIn("3 endpoints", failure.reason)

    def test_an_operator_releases_one_by_removing_its_key(self):
        for remove in (
            lambda: self.book.changed(KvEntry(QUARANTINE_KEYS + "d", None, 8)),
            lambda: self.book.snapshot([]),
        ):
            self.book.changed(KvEntry(QUARANTINE_KEYS + "d", VALUE, 7))
            self.assertIsNotNone(self.book.refusal("d"))
            remove()
            self.assertIsNone(self.book.refusal("d"))

    def test_what_is_not_written_yet_outlives_a_snapshot(self):
        self.book.told(Quarantined("d", ENDED))
        self.book.snapshot([])
        self.assertIsNotNone(self.book.refusal("d"))

    def test_a_malformed_bar_bars_nothing(self):
        for value in (b"", b"{}", b'{"ended":"x"}', b"\xff"):
            self.book.changed(KvEntry(QUARANTINE_KEYS + "d", value, 7))
            self.assertIsNone(self.book.refusal("d"), value)

    def test_the_oldest_are_released_beyond_a_bound(self):
        for number in range(1000):
            key = f"{QUARANTINE_KEYS}d{number}"
            self.kv._write(key, VALUE, 0)
            self.book.changed(self.kv._rows[key])
        self.book.told(Quarantined("new", ENDED))
        self.pass_time(1.1)
        self.assertEqual(1000, len(self.written()))
        self.assertNotIn("d0", self.written())
        self.assertIn("new", self.written())
