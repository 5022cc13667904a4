"""Tests of the model of the parts in an engine's cache."""

from testtools import TestCase

from magnolialug.policy.partcache import PartCache
from magnolialug.policy.prompt import Part


class PartCacheTest(TestCase):
    """Rows are bounded, whatever sizes and names callers choose."""

    def test_rows_of_small_parts_are_bounded(self):
        """Guards against a row for each token that an engine holds."""
        for tokens in (0, 1):
            cache = PartCache(140_000)
            for number in range(10_000):
                cache.touch("n", [Part(f"p{number}", tokens)])
            kept = [
                number
                for number in range(10_000)
                if cache.has("n", Part(f"p{number}", tokens))
            ]
            self.assertEqual(1024, len(kept))
            self.assertEqual(9_999, kept[-1])

    def test_long_names_are_not_kept(self):
        """Guards against names that take more memory than their parts."""
        cache = PartCache(140_000)
        part = Part("x" * 10_000, 1)
        cache.touch("n", [part])
        self.assertFalse(cache.has("n", part))

    def test_least_recently_used_parts_are_evicted(self):
        cache = PartCache(100)
        first, second, third = (Part(name, 40) for name in "abc")
        cache.touch("n", [first, second])
        cache.touch("n", [first])
        cache.touch("n", [third])
        self.assertTrue(cache.has("n", first))
        self.assertFalse(cache.has("n", second))
        self.assertEqual(1, cache.leading("n", [third, second]))
