"""When an entry can be missing because the registry was away."""

from testtools import TestCase

from magnolialug.policy.lapse import may_have_lapsed

_HEARTBEAT_S = 1.2


class LapseTest(TestCase):
    """An entry ends after three heartbeat intervals without a heartbeat."""

    def test_none_lapses_within_two_intervals_of_an_outage(self):
        self.assertFalse(may_have_lapsed(2.3, _HEARTBEAT_S))

    def test_one_may_lapse_soon_after_the_heartbeat_that_came_last(self):
        self.assertTrue(may_have_lapsed(2.4, _HEARTBEAT_S))
