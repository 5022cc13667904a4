"""Weight versions that no engine uses any more.

Load pattern: two versions are named within seconds while prompts return. Stores
that evict nothing hold the parts of all versions. Their capacity is 2.6 million
tokens, and one version fills 2 million within the first half of the day.
"""

from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.policy.oldweights import EngineWeights, OldWeights


def rows(**versions):
    """Returns the versions of the model that engines have."""
    return [EngineWeights(EndpointId(n), "m", v) for n, v in versions.items()]


class OldWeightsTest(TestCase):
    """A version is in use while any engine may have it."""

    def test_versions_fall_out_of_use_as_engines_change(self):
        old = OldWeights()
        for at, seen, below in (
            (0.0, rows(a=1, b=1), 0),
            (3.0, rows(a=1, b=1), 1),
            (5.0, rows(a=2, b=1), 1),
            (6.0, rows(a=2, b=2), 0),
            (8.0, rows(a=2, b=2), 0),
            (8.3, rows(a=3, b=2), 2),
            (9.0, rows(a=3, b=3), 0),
            (12.0, rows(a=3, b=3), 3),
        ):
            old.update(seen, at)
            self.assertEqual(below, old.unused_below("m", at), at)

    def test_an_engine_with_unknown_weights_keeps_all_versions_in_use(self):
        old = OldWeights()
        for at in (0.0, 5.0):
            old.update(rows(a=3, b=0), at)
        self.assertEqual(0, old.unused_below("m", 5.0))

    def test_an_engine_that_is_no_longer_listed_counts_for_a_while(self):
        old = OldWeights()
        old.update(rows(a=1, b=2), 0.0)
        for at in (1.0, 5.0, 9.0):
            old.update(rows(b=2), at)
            self.assertLess(old.unused_below("m", at), 2)
        for at in (10.5, 13.0):
            old.update(rows(b=2), at)
        self.assertEqual(2, old.unused_below("m", 13.0))

    def test_an_unknown_model_has_no_unused_versions(self):
        self.assertEqual(0, OldWeights().unused_below("m", 5.0))
