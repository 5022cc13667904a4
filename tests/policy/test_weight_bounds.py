"""Weights that are too old to begin a prompt with."""

from testtools import TestCase

from magnolialug.policy.weightbounds import WeightBounds

NEVER = float("inf")


class WeightBoundsTest(TestCase):
    """Each version bars the older ones a bound after its own naming."""

    def test_bounds(self):
        bounds = WeightBounds(12.0)
        bounds.heard("m", 2, 5.0)
        bounds.heard("m", 3, 8.0)
        bounds.heard("m", 3, 11.0)
        for model, version, until in (
            ("m", 0, 17.0),
            ("m", 1, 17.0),
            ("m", 2, 20.0),
            ("m", 3, NEVER),
            ("other", 1, NEVER),
        ):
            found = bounds.usable_until(model, version)
            self.assertEqual(until, found, (model, version))

    def test_of_many_versions_the_first_bound_stays(self):
        bounds = WeightBounds(10.0)
        for version in range(2, 30):
            bounds.heard("m", version, float(version))
        self.assertEqual(12.0, bounds.usable_until("m", 1))
