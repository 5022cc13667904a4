"""When new connections are better served by other entries."""

from testtools import TestCase

from magnolialug.policy.saturation import Saturation


class SaturationTest(TestCase):
    """One entry's view of its own delay and of the others'."""

    def setUp(self):
        super().setUp()
        self.saturation = Saturation()
        self.hear(0.0)

    def hear(self, delay_s, at=10.0):
        """Records the same delay from three other entries."""
        for entry in "abc":
            self.saturation.record_other(entry, delay_s, at)

    def record(self, delay_s, times=8):
        """Records this entry's delay several times."""
        for _ in range(times):
            self.saturation.record(delay_s)

    def test_an_idle_entry_accepts(self):
        self.record(0.01)
        self.assertFalse(self.saturation.turns_away(10.0))

    def test_a_saturated_entry_turns_away_while_others_have_room(self):
        self.record(0.2)
        self.assertTrue(self.saturation.turns_away(10.0))

    def test_a_fleet_that_is_saturated_turns_nobody_away(self):
        """Guards against callers that are turned away by every entry."""
        self.record(0.2)
        self.hear(0.3)
        self.assertFalse(self.saturation.turns_away(10.0))

    def test_an_entry_that_hears_no_other_accepts(self):
        self.record(0.2)
        self.assertFalse(self.saturation.turns_away(13.0))

    def test_one_slow_event_does_not_turn_away(self):
        self.record(0.3, times=1)
        self.assertFalse(self.saturation.turns_away(10.0))

    def test_it_accepts_again_only_when_the_delay_is_low(self):
        """Guards against changes with every measurement."""
        self.record(0.2)
        self.record(0.08)
        self.assertTrue(self.saturation.turns_away(10.0))
        self.record(0.0)
        self.assertFalse(self.saturation.turns_away(10.0))

    def test_a_frozen_process_accepts_again_within_a_second(self):
        self.record(9.0, times=1)
        self.record(0.0, times=10)
        self.assertFalse(self.saturation.turns_away(10.0))
