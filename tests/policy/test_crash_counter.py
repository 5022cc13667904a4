"""Which requests are quarantined, and which are cleared."""

from testtools import TestCase

from magnolialug.policy.crashcounter import CrashCounter, QuarantineTerm
from magnolialug.policy.recentanswers import RecentAnswers


class CrashCounterTest(TestCase):
    """Crashes are counted by endpoint and request."""

    def terms(self, rows):
        """Returns the terms after crashes: rows of endpoint, answered, time."""
        counter = CrashCounter()
        return [counter.record_crash("d", *row) for row in rows]

    def test_two_crashes_quarantine_temporarily_and_three_permanently(self):
        rows = [(f"i-{n}", False, float(n)) for n in range(4)]
        self.assertEqual(
            [
                QuarantineTerm.NONE,
                QuarantineTerm.TEMPORARY,
                QuarantineTerm.PERMANENT,
                QuarantineTerm.PERMANENT,
            ],
            self.terms(rows),
        )

    def test_repeated_reports_of_one_crash_count_once(self):
        rows = [("i-1", False, 0.0)] * 4
        self.assertEqual([QuarantineTerm.NONE] * 4, self.terms(rows))

    def test_crashes_after_part_of_the_answer_count_half(self):
        rows = [(f"i-{n}", True, float(n)) for n in range(6)]
        self.assertEqual(
            [QuarantineTerm.NONE] * 3
            + [QuarantineTerm.TEMPORARY] * 2
            + [QuarantineTerm.PERMANENT],
            self.terms(rows),
        )

    def test_the_higher_of_two_reports_of_one_crash_counts(self):
        rows = [
            ("i-1", True, 0.0),
            ("i-1", False, 0.0),
            ("i-2", False, 1.0),
        ]
        self.assertEqual(QuarantineTerm.TEMPORARY, self.terms(rows)[-1])

    def test_crashes_far_apart_are_not_added_up(self):
        rows = [("i-1", False, 0.0), ("i-2", False, 601.0)]
        self.assertEqual([QuarantineTerm.NONE] * 2, self.terms(rows))

    def test_a_complete_answer_clears_a_request(self):
        counter = CrashCounter()
        counter.record_crash("d", "i-1", False, 0.0)
        counter.record_completion("d")
        self.assertEqual(
            QuarantineTerm.NONE, counter.record_crash("d", "i-2", False, 1.0)
        )
        self.assertEqual(("i-2",), counter.endpoints("d"))

    def test_the_number_of_counted_requests_is_bounded(self):
        counter = CrashCounter()
        for number in range(10_001):
            counter.record_crash(f"d{number}", "i-1", False, 0.0)
        self.assertEqual((), counter.endpoints("d0"))
        self.assertEqual(("i-1",), counter.endpoints("d10000"))


class RecentAnswersTest(TestCase):
    """A recent answer rules out a request as the cause of one fault."""

    def test_simultaneous_crashes_are_one_fault(self):
        answered = RecentAnswers()
        answered.add("d")
        for now in (5.0, 5.0, 5.9):
            self.assertTrue(answered.rules_out("d", now))
        self.assertFalse(answered.rules_out("d", 6.1))
        self.assertFalse(answered.rules_out("d", 6.2))

    def test_a_request_without_an_answer_is_not_cleared(self):
        self.assertFalse(RecentAnswers().rules_out("d", 0.0))

    def test_the_number_of_recorded_answers_is_bounded(self):
        answered = RecentAnswers()
        for number in range(4097):
            answered.add(f"d{number}")
        self.assertFalse(answered.rules_out("d0", 0.0))
        self.assertTrue(answered.rules_out("d4096", 0.0))
