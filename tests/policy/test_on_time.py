"""What makes a streamed answer late."""

from testtools import TestCase

from magnolialug.policy.ontime import Lateness, are_gaps_in_time, lateness


class OnTimeTest(TestCase):
    """Targets of 0.4 s for the first event and 0.5 s for a pause."""

    def test_both_targets_count(self):
        """Guards against answers that are on time by their first event only."""
        for first_s, gap_s, late in (
            (0.4, 0.5, Lateness.ON_TIME),
            (0.41, 0.5, Lateness.FIRST_EVENT),
            (0.4, 0.51, Lateness.GAP),
            (0.41, 0.51, Lateness.BOTH),
        ):
            self.assertEqual(late, lateness(first_s, gap_s, 0.4, 0.5))

    def test_a_route_that_names_no_pause_has_none_that_is_late(self):
        self.assertEqual(Lateness.ON_TIME, lateness(0.1, 60.0, 0.4, 0.0))
        self.assertTrue(are_gaps_in_time(60.0, 0.0))
