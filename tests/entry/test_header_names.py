"""Tests of what the HTTP parser remembers of header names."""

from testtools import TestCase
from twisted.web import http_headers

from magnolialug.entry.headernames import bound_name_cache


class HeaderNameTest(TestCase):
    """Names of callers do not stay behind."""

    def test_names_are_remembered_within_bounds(self):
        """Guards against long or many names that are kept for good."""
        bound_name_cache()
        encoder = http_headers._nameEncoder
        for number in range(3_000):
            encoder.encode(b"x-%d" % number)
            encoder.encode(b"y" * 10_000 + b"%d" % number)
        cache = encoder._canonicalHeaderCache
        self.assertLessEqual(len(cache), 1_000)
        self.assertLess(max(map(len, cache)), 100)

    def test_spelling_is_the_same_for_all_names(self):
        for name in (b"x-request-id", b"te", b"x-" + b"y" * 200):
            bound_name_cache()
            spelt = http_headers._nameEncoder.encode(name)
            self.assertEqual(name, spelt.lower())
            self.assertEqual(spelt, http_headers._nameEncoder.encode(name))
