"""Reports that a start has ended, where a third of the endpoints restart."""

from testtools import TestCase

from magnolialug.policy.health import Health
from magnolialug.policy.startreport import Evidence, ReportedEnd

# A start that is alive is closed by false reports for this share at most.
MAX_CLOSED_SHARE = 0.4


class ReportedEndTest(TestCase):
    """What reports close, and for how long."""

    def setUp(self):
        super().setUp()
        self.end = ReportedEnd()

    def test_a_report_holds_for_a_while_only(self):
        """Guards against an endpoint that one wrong report closes for good."""
        for evidence, at in ((Evidence.REPLACED, 0.0), (Evidence.REFUSED, 20)):
            self.assertTrue(self.end.record(evidence, at, at))
            self.assertTrue(self.end.holds(at + 0.7))
            self.assertFalse(self.end.holds(at + 4.0))

    def test_a_contact_after_the_report_outweighs_it(self):
        """Guards against late reports of a start that has been reached."""
        self.end.record_alive(5.5)
        for seen_at in (5.0, 5.55):
            self.assertFalse(self.end.record(Evidence.REPLACED, seen_at, 5.6))
        self.assertFalse(self.end.holds(5.6))
        self.assertTrue(self.end.record(Evidence.REPLACED, 6.0, 6.0))

    def test_a_contact_ends_what_was_reported(self):
        self.end.record(Evidence.REPLACED, 5.0, 5.0)
        self.end.record_alive(5.05)
        self.assertFalse(self.end.holds(5.1))
        self.assertFalse(self.end.record(Evidence.REPLACED, 5.0, 5.3))

    def test_a_repeated_report_extends_nothing(self):
        """Guards against a notice and its repeat that hold for twice as long.

        It names its age, so it ends when the first one does.
        """
        self.assertTrue(self.end.record(Evidence.REFUSED, 5.0, 5.0))
        self.assertFalse(self.end.record(Evidence.REFUSED, 5.0, 5.3))
        self.assertFalse(self.end.holds(5.8))

    def test_an_old_report_changes_nothing(self):
        self.assertFalse(self.end.record(Evidence.REFUSED, 5.0, 6.0))

    def test_false_reports_without_end_leave_most_of_the_time(self):
        """Guards against an entry that keeps reporting a start as ended."""
        closed = 0
        for step in range(10_000):
            now = step / 100
            self.end.record(Evidence.REPLACED, now, now)
            closed += self.end.holds(now)
        self.assertLessEqual(closed / 10_000, MAX_CLOSED_SHARE + 0.01)


class SuspectedTest(TestCase):
    """An endpoint of which others say that it refuses connections."""

    def test_one_request_at_a_time_shows_whether_it_works(self):
        """Guards against all waiting requests sent to a refusing endpoint."""
        health = Health()
        health.suspect()
        self.assertTrue(health.usable(1.0))
        health.probing = True
        self.assertFalse(health.usable(1.0))
        health.record_answer(True)
        self.assertTrue(health.usable(1.0))

    def test_a_suspicion_shortens_no_longer_streak(self):
        health = Health()
        for now in (0.0, 1.0, 5.0):
            health.record_failure(now)
        streak = health.streak
        health.suspect()
        self.assertEqual(streak, health.streak)
