"""Whether an entry may be missing because of a registry outage."""

from testtools import TestCase

from magnolialug.policy.lapse import may_have_lapsed

_HEARTBEAT_S = 1.2


class LapseTest(TestCase):
    """An entry expires after three heartbeat intervals without a heartbeat."""

    def test_no_entry_expires_within_two_intervals_of_an_outage(self):
        self.assertFalse(may_have_lapsed(2.3, _HEARTBEAT_S))

    def test_an_entry_may_expire_two_intervals_after_the_outage_began(self):
        self.assertTrue(may_have_lapsed(2.4, _HEARTBEAT_S))
