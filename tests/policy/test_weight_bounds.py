"""Weight versions that are too old to start a prompt on."""

from testtools import TestCase

from magnolialug.policy.weightbounds import WeightBounds

NEVER = float("inf")


class WeightBoundsTest(TestCase):
    """Older versions are refused a fixed time after a newer one is named."""

    def test_a_version_is_usable_until_the_bound_after_a_newer_one(self):
        bounds = WeightBounds(12.0)
        bounds.record_version("m", 2, 5.0)
        bounds.record_version("m", 3, 8.0)
        bounds.record_version("m", 3, 11.0)
        for model, version, until in (
            ("m", 0, 17.0),
            ("m", 1, 17.0),
            ("m", 2, 20.0),
            ("m", 3, NEVER),
            ("other", 1, NEVER),
        ):
            found = bounds.usable_until(model, version)
            self.assertEqual(until, found, (model, version))

    def test_the_earliest_bound_is_kept_among_many_versions(self):
        bounds = WeightBounds(10.0)
        for version in range(2, 30):
            bounds.record_version("m", version, float(version))
        self.assertEqual(12.0, bounds.usable_until("m", 1))
