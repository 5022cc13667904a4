"""Times of callers' keys, bounded in age and in number."""

from testtools import TestCase

from magnolialug.policy.recenttimes import RecentTimes


class RecentTimesTest(TestCase):
    """What is remembered, and for how long."""

    def setUp(self):
        super().setUp()
        self.times = RecentTimes(keep_s=10.0, limit=3)

    def test_the_newest_time_counts(self):
        self.times.record("a", 1.0)
        self.times.record("a", 4.0)
        self.assertEqual(2.0, self.times.age_s("a", 6.0))
        self.assertEqual(float("inf"), self.times.age_s("b", 6.0))

    def test_it_is_forgotten_after_its_time(self):
        self.times.record("a", 1.0)
        self.times.record("b", 8.0)
        self.assertEqual(float("inf"), self.times.age_s("a", 12.0))
        self.times.drop_expired(12.0)
        self.assertEqual(1, len(self.times))

    def test_many_keys_of_a_caller_do_not_grow_it(self):
        """Guards against state that a caller can make grow without a bound."""
        for number in range(1000):
            self.times.record(number, 1.0)
        self.assertEqual(3, len(self.times))
        self.assertEqual(0.0, self.times.age_s(999, 1.0))
