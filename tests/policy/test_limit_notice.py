"""Which of two answers tells the request rate that an endpoint accepts."""

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from magnolialug.policy.limitnotice import KnownLimit, LimitNotice, holding


def notice(rate, asked_at, seen_at, id=""):
    """Returns a notice of its own id."""
    return LimitNotice(id or f"{rate}/{asked_at}", rate, asked_at, seen_at)


class LimitNoticeTest(TestCase):
    """Answers that overtake each other, and that return from other entries."""

    def setUp(self):
        super().setUp()
        self.limit = KnownLimit()

    def record(self, *notices):
        """Records notices and returns the rate that holds."""
        for row in notices:
            self.limit.record(row)
        return self.limit.rate

    def test_an_answer_without_a_limit_ends_it(self):
        self.assertEqual(2.0, self.record(notice(2.0, 0, 1)))
        self.assertIsNone(self.record(notice(None, 1.5, 2)))

    def test_an_answer_asked_for_before_does_not_end_it(self):
        """Guards against an overtaken answer that lifts a new limit."""
        self.assertEqual(
            2.0, self.record(notice(2.0, 0, 1), notice(None, 0.5, 2))
        )

    def test_the_lower_of_two_overlapping_limits_holds(self):
        self.assertEqual(2.0, self.record(notice(3.0, 0, 2), notice(2.0, 1, 3)))
        self.assertEqual(2.0, self.record(notice(3.0, 1, 4)))
        self.assertEqual(3.0, self.record(notice(3.0, 3, 5)))

    def test_a_limit_rises_with_a_newer_answer(self):
        self.assertEqual(5.0, self.record(notice(2.0, 0, 1), notice(5.0, 1, 2)))

    def test_a_notice_that_returns_does_not_grow_newer(self):
        """Guards against a limit that entries renew for each other."""
        first = notice(2.0, 0, 0.001, "a")
        self.limit.record(first)
        for number in range(100):
            back = first.to_report(1.0).to_notice(1.004 + number)
            self.limit.record(back)
        self.assertEqual(first, self.limit.notice)

    def test_the_end_of_a_limit_outlives_its_return(self):
        """Guards against a limit that comes back from an entry that slept."""
        named, ended = notice(2.0, 0, 1, "a"), notice(None, 2, 3, "b")
        self.record(named, ended)
        self.assertIsNone(self.record(named.to_report(4).to_notice(4.01)))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from((1.0, 2.0, None)),
                st.integers(0, 20),
                st.integers(1, 10),
            ),
            max_size=4,
        )
    )
    def test_no_order_of_arrival_lifts_the_newest_limit(self, rows):
        """Whatever came before and late, the newest answer's limit stands."""
        rows = [
            notice(rate, asked, asked + took, str(number))
            for number, (rate, asked, took) in enumerate(rows)
        ]
        newest = notice(0.5, 40, 41)
        for order in permutations([*rows, newest]):
            held = None
            for row in order:
                held = holding(held, row)
            self.assertEqual(newest, held)
