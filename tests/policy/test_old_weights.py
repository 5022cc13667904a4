"""Weights that no engine has any more.

The pattern: two versions are named within seconds while prompts return. Stores
that drop nothing hold the parts of all versions: 2.6 million tokens of room,
2 million of which one version fills within the day's first half.
"""

from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.policy.oldweights import EngineWeights, OldWeights


def rows(**versions):
    """Returns what engines have of the model."""
    return [EngineWeights(EndpointId(n), "m", v) for n, v in versions.items()]


class OldWeightsTest(TestCase):
    """Nothing is out of use while any engine may have it."""

    def test_as_engines_change(self):
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
            old.seen(seen, at)
            self.assertEqual(below, old.unused_below("m", at), at)

    def test_an_engine_of_unknown_weights_keeps_all(self):
        old = OldWeights()
        for at in (0.0, 5.0):
            old.seen(rows(a=3, b=0), at)
        self.assertEqual(0, old.unused_below("m", 5.0))

    def test_one_that_lapsed_counts_for_a_while(self):
        old = OldWeights()
        old.seen(rows(a=1, b=2), 0.0)
        for at in (1.0, 5.0, 9.0):
            old.seen(rows(b=2), at)
            self.assertLess(old.unused_below("m", at), 2)
        for at in (10.5, 13.0):
            old.seen(rows(b=2), at)
        self.assertEqual(2, old.unused_below("m", 13.0))

    def test_a_model_that_nobody_has_seen(self):
        self.assertEqual(0, OldWeights().unused_below("m", 5.0))
