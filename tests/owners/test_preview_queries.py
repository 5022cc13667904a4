"""What owners do for previews, while endpoints limit their requests.

They guard against permits that go to requests which nobody sends.
"""

import msgspec

from magnolialug.owners.messages import LoadQuery, QueriedEndpoint
from magnolialug.policy.limitnotice import ReportedNotice
from tests.owners.test_ledger_service import OwnerCase

NOTICE = ReportedNotice("a", 2.0, 20, 10)


class PreviewQueryTest(OwnerCase):
    """An owner that is asked by previews between requests."""

    def preview(self, entry="e", priority=0, notice=None):
        """Returns the state that a preview gets."""
        rows = (QueriedEndpoint("i-1", "", notice),)
        query = LoadQuery(entry, 1, rows, priority=priority, is_preview=True)
        return self.service.answer(query).states[0]

    def waits(self, previews):
        """Returns what requests are told, with previews before each."""
        self.service, self.now = self.started(), 10.0
        found = []
        for number in range(40):
            for turn in range(previews):
                self.preview(priority=turn % 3)
            found.append(self.ask(NOTICE).send_wait_ms)
            self.now += 0.05 * (number % 5)
        return found

    def test_previews_take_no_permit_and_deny_none(self):
        """Guards against a preview whose priority holds back others."""
        without = self.waits(0)
        self.assertIn(0, without)
        self.assertNotEqual({0}, set(without))
        self.assertEqual(without, self.waits(4))

    def test_a_preview_is_told_what_a_request_is(self):
        self.ask(NOTICE)
        for _ in range(40):
            self.now += 0.05
            said = self.preview()
            self.assertEqual(said, self.ask())

    def test_an_owner_that_knows_nothing_replies_with_the_limit_named(self):
        """Guards against a preview that shows a limited endpoint without it."""
        previewed = self.preview(notice=NOTICE)
        self.assertEqual(self.ask(NOTICE), previewed)
        self.assertEqual(2.0, previewed.notice.rate)

    def test_a_preview_s_older_limit_does_not_replace_the_known_one(self):
        self.ask(NOTICE)
        older = ReportedNotice("a", 9.0, 20, 5000)
        self.assertEqual(2.0, self.preview(notice=older).notice.rate)

    def test_the_limit_that_a_preview_names_is_not_kept(self):
        self.preview(notice=NOTICE)
        self.assertIsNone(self.ask().notice)

    def test_owners_of_two_releases_understand_a_query(self):
        """Guards against queries that a rolling upgrade drops."""
        old = msgspec.msgpack.encode(["ask", "e", 1, [], [], 0, 0, 2])
        read = msgspec.msgpack.decode(old, type=LoadQuery)
        self.assertEqual((2, False), (read.priority, read.is_preview))
        new = msgspec.msgpack.encode(LoadQuery("e", 1, (), is_preview=True))
        self.assertEqual(
            ["ask", "e", 1, [], [], 0, 0, 0, True, []],
            msgspec.msgpack.decode(new),
        )
