"""Quarantined requests are added, written, read and released."""

import msgspec
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.platform.kv import KvEntry
from magnolialug.policy.partpattern import PartPattern
from magnolialug.policy.requestidentity import RequestIdentity
from magnolialug.quarantine.messages import Quarantined
from magnolialug.quarantine.quarantinelist import (
    QUARANTINE_KEYS,
    QuarantineList,
)
from magnolialug.result import Code
from magnolialug.standin.kv import KvStore

CRASHED = ("i-1", "i-2", "i-3")
VALUE = msgspec.json.encode({"ended": CRASHED})


def request(digest, *parts, service="llm", team="a"):
    """Returns the identity of a request."""
    return RequestIdentity(digest, service, team, parts)


class ListSetup(TestCase):
    """The list of one entry, and what it writes."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.kv = KvStore(self.clock)
        self.notified = []
        self.quarantined = self.new_list()

    def new_list(self, is_writer=lambda digest: True):
        """Returns the quarantine list of an entry."""
        return QuarantineList(
            self.kv, self.clock, is_writer, self.notified.append
        )

    def pass_time(self, seconds):
        """Advances the clock, with ticks."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self.quarantined.tick(self.clock.seconds())

    def written(self):
        """Returns the digests in the key-value service."""
        keys = [key for key in self.kv._rows if key.startswith(QUARANTINE_KEYS)]
        return [key.removeprefix(QUARANTINE_KEYS) for key in keys]


class QuarantineListTest(ListSetup):
    """Single requests."""

    def test_only_permanent_quarantines_are_written(self):
        self.quarantined.add(Quarantined("temporary", CRASHED[:2], 60_000))
        self.quarantined.add(Quarantined("permanent", CRASHED))
        self.pass_time(1.1)
        self.assertEqual(["permanent"], self.written())
        self.assertEqual(["temporary", "permanent"], self.notified)
        for digest in ("temporary", "permanent"):
            self.assertEqual(
                Code.QUARANTINED, self.quarantined.refusal(request(digest)).code
            )
        self.assertIsNone(self.quarantined.refusal(request("other")))

    def test_a_temporary_quarantine_ends_after_its_time(self):
        self.quarantined.add(Quarantined("temporary", CRASHED[:2], 60_000))
        self.pass_time(59)
        self.assertIsNotNone(self.quarantined.refusal(request("temporary")))
        self.pass_time(2)
        self.assertIsNone(self.quarantined.refusal(request("temporary")))
        self.assertEqual(0, len(self.quarantined))

    def test_a_delayed_notice_does_not_shorten_a_quarantine(self):
        self.quarantined.add(Quarantined("d", CRASHED))
        self.quarantined.add(Quarantined("d", CRASHED[:2], 60_000))
        self.pass_time(61)
        self.assertIsNotNone(self.quarantined.refusal(request("d")))

    def test_only_one_entry_writes(self):
        self.quarantined = self.new_list(is_writer=lambda digest: False)
        self.quarantined.add(Quarantined("d", CRASHED))
        self.pass_time(3)
        self.assertEqual([], self.written())
        self.assertEqual(0, self.kv.calls["write"])

    def test_a_failed_write_is_retried(self):
        self.kv.faults.down = True
        self.quarantined.add(Quarantined("d", CRASHED))
        self.pass_time(2)
        self.assertEqual([], self.written())
        self.kv.faults.down = False
        self.pass_time(1.1)
        self.assertEqual(["d"], self.written())
        self.pass_time(5)
        calls = self.kv.calls["write"]
        self.pass_time(5)
        self.assertEqual(calls, self.kv.calls["write"])

    def test_a_write_whose_reply_is_lost_is_not_repeated_forever(self):
        self.kv.faults.lose_answers = 1
        self.quarantined.add(Quarantined("d", CRASHED))
        self.pass_time(5)
        calls = self.kv.calls["write"]
        self.pass_time(5)
        self.assertEqual(["d"], self.written())
        self.assertEqual(calls, self.kv.calls["write"])

    def test_a_starting_entry_reads_the_written_requests(self):
        self.quarantined.snapshot([KvEntry(QUARANTINE_KEYS + "d", VALUE, 7)])
        failure = self.quarantined.refusal(request("d"))
        self.assertIn("3 endpoints", failure.reason)

    def test_an_operator_releases_a_request_by_removing_its_key(self):
        for remove in (
            lambda: self.quarantined.changed(
                KvEntry(QUARANTINE_KEYS + "d", None, 8)
            ),
            lambda: self.quarantined.snapshot([]),
        ):
            self.quarantined.changed(KvEntry(QUARANTINE_KEYS + "d", VALUE, 7))
            self.assertIsNotNone(self.quarantined.refusal(request("d")))
            remove()
            self.assertIsNone(self.quarantined.refusal(request("d")))

    def test_a_request_not_yet_written_survives_a_snapshot(self):
        self.quarantined.add(Quarantined("d", CRASHED))
        self.quarantined.snapshot([])
        self.assertIsNotNone(self.quarantined.refusal(request("d")))

    def test_a_malformed_value_quarantines_nothing(self):
        for value in (b"", b"{}", b'{"ended":"x"}', b"\xff"):
            self.quarantined.changed(KvEntry(QUARANTINE_KEYS + "d", value, 7))
            self.assertIsNone(self.quarantined.refusal(request("d")), value)

    def test_the_oldest_are_released_above_the_maximum(self):
        for number in range(1000):
            key = f"{QUARANTINE_KEYS}d{number}"
            self.kv._write(key, VALUE, 0)
            self.quarantined.changed(self.kv._rows[key])
        self.quarantined.add(Quarantined("new", CRASHED))
        self.pass_time(1.1)
        self.assertEqual(1000, len(self.written()))
        self.assertNotIn("d0", self.written())
        self.assertIn("new", self.written())


class PatternTest(ListSetup):
    """Patterns in the same list."""

    PATTERN = PartPattern("llm", "a", ("dead", "s"))

    def add(self, pattern):
        """Quarantines a pattern."""
        notice = Quarantined(pattern.digest, CRASHED, 0, pattern)
        self.quarantined.add(notice)

    def test_only_requests_that_match_are_refused(self):
        self.add(self.PATTERN)
        for refused, parts, more in (
            (True, ("f", "s", "dead"), {}),
            (True, ("dead", "s"), {}),
            (False, ("f", "s"), {}),
            (False, ("f", "dead"), {}),
            (False, ("s", "dead"), {"team": "b"}),
            (False, ("s", "dead"), {"service": "other"}),
            (False, (), {}),
        ):
            refusal = self.quarantined.refusal(request("d", *parts, **more))
            self.assertEqual(refused, refusal is not None, (parts, more))

    def test_a_pattern_for_any_team_refuses_all(self):
        self.add(PartPattern("llm", "", ("dead",)))
        for team in "ab":
            identity = request("d", "dead", team=team)
            self.assertIsNotNone(self.quarantined.refusal(identity))

    def test_a_starting_entry_reads_a_written_pattern(self):
        """Guards against three more crashes after a restart of all entries."""
        self.add(self.PATTERN)
        self.pass_time(1.1)
        other = self.new_list()
        rows = self.kv._rows.items()
        other.snapshot(
            [KvEntry(key, row.value, row.revision) for key, row in rows]
        )
        self.assertIsNotNone(other.refusal(request("d", "s", "dead")))
        self.assertTrue(other.covers(self.PATTERN))

    def test_a_released_pattern_refuses_nothing(self):
        self.add(self.PATTERN)
        self.pass_time(1.1)
        self.quarantined.release(self.PATTERN.digest)
        self.pass_time(1.1)
        self.assertIsNone(self.quarantined.refusal(request("d", "s", "dead")))
        self.assertFalse(self.quarantined.names_part("llm", "dead"))
        self.assertEqual([], self.written())

    def test_a_wider_pattern_covers_a_narrower_one(self):
        self.add(PartPattern("llm", "a", ("dead",)))
        self.assertTrue(self.quarantined.covers(self.PATTERN))
        wider = PartPattern("llm", "", ("dead",))
        self.assertFalse(self.quarantined.covers(wider))

    def test_bystanders_are_released_when_the_cause_is_found(self):
        """Guards against refusing what two crashes of a part took along."""
        self.quarantined.add(Quarantined("bystander", CRASHED[:2], 60_000))
        self.quarantined.add(Quarantined("other", ("i-1", "i-9"), 60_000))
        self.quarantined.add(Quarantined("poison", CRASHED))
        self.add(self.PATTERN)
        refused = [
            digest
            for digest in ("bystander", "other", "poison")
            if self.quarantined.refusal(request(digest))
        ]
        self.assertEqual(["other", "poison"], refused)
