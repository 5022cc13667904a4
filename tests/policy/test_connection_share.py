"""How many connections to an endpoint one entry may have."""

from testtools import TestCase

from magnolialug.policy.connectionshare import ConnectionShare

TOTAL = 64
ENTRIES = 26


class ConnectionShareTest(TestCase):
    """Shares and loans."""

    def setUp(self):
        super().setUp()
        self.share = ConnectionShare()
        self.share.divide(TOTAL, ENTRIES)

    def test_without_reports_it_is_an_equal_share(self):
        self.assertEqual(TOTAL // (ENTRIES + 1), self.share.limit(1.0))

    def test_what_others_do_not_use_is_borrowed_in_steps(self):
        limits = []
        for _ in range(5):
            self.share.record_others(self.share.limit(1.0), 10, 1.0)
            limits.append(self.share.limit(1.0))
        self.assertEqual(sorted(limits), limits)
        self.assertGreater(limits[-1], TOTAL // 2)
        self.assertLess(limits[-1] + 10, TOTAL)

    def test_a_loan_ends_with_its_report(self):
        self.share.record_others(2, 10, 1.0)
        self.assertGreater(self.share.limit(1.1), self.share.base)
        self.assertEqual(self.share.base, self.share.limit(1.3))

    def test_nothing_is_borrowed_from_connections_in_use(self):
        self.share.record_others(2, TOTAL - 4, 1.0)
        self.assertEqual(self.share.base, self.share.limit(1.0))

    def test_two_that_borrow_at_once_stay_below_the_total(self):
        """Guards against loans that together exceed what an endpoint takes."""
        other = ConnectionShare()
        other.divide(TOTAL, ENTRIES)
        used = {self.share: 2, other: 2}
        for _ in range(20):
            before = dict(used)
            for share, own in before.items():
                others = sum(before.values()) - own + 20
                share.record_others(own, others, 1.0)
                used[share] = share.limit(1.0)
            self.assertLessEqual(sum(used.values()) + 20, TOTAL)
