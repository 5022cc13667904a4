"""Which engines have prompts with a part, and since when."""

from testtools import TestCase

from magnolialug.policy.pendingparts import PendingParts


class PendingPartsTest(TestCase):
    """Reports of several entries."""

    def test_the_oldest_prompt_at_an_engine_counts(self):
        rows = PendingParts()
        for sent_at in (3.0, 1.0, 2.0):
            rows.record("llm", "a", "i-1", sent_at, now=4.0)
        self.assertEqual({"i-1"}, rows.engines("llm", "a", before=1.5))
        self.assertEqual(set(), rows.engines("llm", "a", before=1.0))
        self.assertEqual(set(), rows.engines("other", "a", before=9.0))
        self.assertEqual(set(), rows.engines("llm", "b", before=9.0))

    def test_old_reports_are_forgotten(self):
        """Guards against prompts that have ended long ago."""
        rows = PendingParts()
        rows.record("llm", "a", "i-1", 0.0, now=1.0)
        rows.record("llm", "b", "i-1", 0.0, now=4.0)
        rows.drop_expired(7.0)
        self.assertEqual(1, len(rows))
        self.assertEqual({"i-1"}, rows.engines("llm", "b", before=1.0))

    def test_memory_is_bounded(self):
        """Guards against parts and engines that callers or entries invent."""
        rows = PendingParts()
        for number in range(5000):
            rows.record("llm", f"p{number}", "i-1", 0.0, now=1.0)
            rows.record("llm", "p", f"i-{number}", 0.0, now=1.0)
        self.assertLess(len(rows), 5000)
        self.assertLess(len(rows.engines("llm", "p", before=1.0)), 100)
