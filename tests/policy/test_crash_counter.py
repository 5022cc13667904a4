"""Which requests are kept back, and which are cleared."""

from testtools import TestCase

from magnolialug.policy.crashcounter import CrashCounter, Term
from magnolialug.policy.recentanswers import RecentAnswers


class CrashCounterTest(TestCase):
    """Ends are counted by endpoint and request."""

    def terms(self, rows):
        """Returns the terms of ends: endpoint, answered, time."""
        book = CrashCounter()
        return [book.record_crash("d", *row) for row in rows]

    def test_two_ends_hold_a_request_and_three_bar_it(self):
        rows = [(f"i-{n}", False, float(n)) for n in range(4)]
        self.assertEqual(
            [
                Term.NONE,
                Term.TEMPORARY,
                Term.PERMANENT,
                Term.PERMANENT,
            ],
            self.terms(rows),
        )

    def test_one_endpoint_ends_once_however_many_tell_it(self):
        rows = [("i-1", False, 0.0)] * 4
        self.assertEqual([Term.NONE] * 4, self.terms(rows))

    def test_runs_that_had_answered_count_half(self):
        rows = [(f"i-{n}", True, float(n)) for n in range(6)]
        self.assertEqual(
            [Term.NONE] * 3 + [Term.TEMPORARY] * 2 + [Term.PERMANENT],
            self.terms(rows),
        )

    def test_the_worse_of_two_words_of_one_end_counts(self):
        rows = [
            ("i-1", True, 0.0),
            ("i-1", False, 0.0),
            ("i-2", False, 1.0),
        ]
        self.assertEqual(Term.TEMPORARY, self.terms(rows)[-1])

    def test_ends_long_ago_count_no_more(self):
        rows = [("i-1", False, 0.0), ("i-2", False, 601.0)]
        self.assertEqual([Term.NONE] * 2, self.terms(rows))

    def test_a_whole_answer_clears_a_request(self):
        book = CrashCounter()
        book.record_crash("d", "i-1", False, 0.0)
        book.survived("d")
        self.assertEqual(Term.NONE, book.record_crash("d", "i-2", False, 1.0))
        self.assertEqual(("i-2",), book.endpoints("d"))

    def test_what_is_remembered_is_bounded(self):
        book = CrashCounter()
        for number in range(10_001):
            book.record_crash(f"d{number}", "i-1", False, 0.0)
        self.assertEqual((), book.endpoints("d0"))
        self.assertEqual(("i-1",), book.endpoints("d10000"))


class AnsweredTest(TestCase):
    """An answer clears a request of the ends of one fault."""

    def test_ends_together_are_one_fault(self):
        answered = RecentAnswers()
        answered.add("d")
        for now in (5.0, 5.0, 5.9):
            self.assertTrue(answered.rules_out("d", now))
        self.assertFalse(answered.rules_out("d", 6.1))
        self.assertFalse(answered.rules_out("d", 6.2))

    def test_what_was_never_answered_is_not_cleared(self):
        self.assertFalse(RecentAnswers().rules_out("d", 0.0))

    def test_what_is_remembered_is_bounded(self):
        answered = RecentAnswers()
        for number in range(4097):
            answered.add(f"d{number}")
        self.assertFalse(answered.rules_out("d0", 0.0))
        self.assertTrue(answered.rules_out("d4096", 0.0))
