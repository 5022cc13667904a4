"""Permits for the requests of all entries, one endpoint and its owner."""

from testtools import TestCase

from magnolialug.policy.limitnotice import LimitNotice
from magnolialug.policy.sendbucket import SendBucket


class SendBucketTest(TestCase):
    """An endpoint that accepts two requests a second."""

    def setUp(self):
        super().setUp()
        self.bucket = SendBucket()
        self.bucket.known.record(LimitNotice("a", 2.0, 0.0, 0.0))
        self.bucket.ask("e", 0, 0.0)

    def test_requests_without_a_permit_delay_the_next_one(self):
        """Guards against entries that could not ask and are not counted."""
        self.bucket.record_sent("other", 3, 3, 1.0)
        self.assertGreaterEqual(self.bucket.ask("e", 0, 1.0), 1.5)

    def test_a_repeated_report_counts_once(self):
        self.bucket.record_sent("other", 1, 1, 1.0)
        self.bucket.record_sent("other", 1, 1, 1.0)
        self.assertLessEqual(self.bucket.ask("e", 0, 1.0), 0.5)

    def test_the_total_of_a_long_time_counts_as_the_last_second(self):
        """Guards against a new owner that permits nothing for minutes."""
        self.bucket.record_sent("other", 1000, 1, 1.0)
        self.assertLessEqual(self.bucket.ask("e", 0, 1.0), 0.5)

    def test_a_permit_that_is_not_used_is_free_again(self):
        waits = [self.bucket.ask("e", 0, 1.0) for _ in range(4)]
        self.assertEqual([0.0, 0.0, 0.0], waits[:3])
        self.assertGreater(waits[3], 0.0)
        self.assertEqual(0.0, self.bucket.ask("e", 0, 1.0 + waits[3]))

    def test_an_owner_that_reaches_half_of_the_entries_permits_half(self):
        """Guards against two owners that each permit the whole rate."""
        self.bucket.share = 0.5
        self.bucket.record_sent("e", 1, 1, 1.0)
        permits = 0
        for step in range(100):
            now = 1.0 + step / 10
            if self.bucket.ask("e", 0, now) == 0.0:
                permits += 1
                self.bucket.record_sent("e", 1 + permits, 1, now)
        self.assertLessEqual(permits, 10)
        self.assertGreaterEqual(permits, 8)
