"""Parts that were answered, and how many of them are remembered."""

from testtools import TestCase

from magnolialug.policy.answeredparts import AnsweredParts


class AnsweredPartsTest(TestCase):
    """What rules a part out, and what is forgotten."""

    def setUp(self):
        super().setUp()
        self.parts = AnsweredParts()

    def test_an_answer_shortly_before_or_since_rules_a_part_out(self):
        self.parts.record("llm", ["p"], "v1/1", 10.0)
        for at, ruled_out in ((5.0, True), (11.9, True), (12.1, False)):
            found = self.parts.rules_out("llm", "p", "v1/1", at)
            self.assertEqual(ruled_out, found, at)
        self.assertFalse(self.parts.rules_out("llm", "p", "v1/2", 10.0))
        self.assertFalse(self.parts.rules_out("other", "p", "v1/1", 10.0))

    def test_an_older_report_does_not_replace_a_newer_answer(self):
        self.parts.record("llm", ["p"], "v1/1", 10.0)
        self.parts.record("llm", ["p"], "v1/1", 3.0)
        self.assertEqual(10.0, self.parts.answered_at("llm", "p", "v1/1"))

    def test_a_team_with_many_parts_does_not_displace_those_of_others(self):
        """Guards against a team by which others' parts become suspect."""
        self.parts.record("llm", ["theirs"], "v1/1", 10.0, "b")
        for number in range(5000):
            self.parts.record("llm", [f"p{number}"], "v1/1", 11.0, "a")
        self.assertTrue(self.parts.rules_out("llm", "theirs", "v1/1", 12.0))
        self.assertFalse(self.parts.rules_out("llm", "p1", "v1/1", 12.0))
        self.assertTrue(self.parts.rules_out("llm", "p4999", "v1/1", 12.0))
        self.assertEqual(1024, len(self.parts))

    def test_a_part_belongs_to_the_team_that_had_it_last(self):
        for team in ("a", "b", "a"):
            self.parts.record("llm", ["p"], "v1/1", 10.0, team)
        for number in range(2000):
            self.parts.record("llm", [f"p{number}"], "v1/1", 11.0, "c")
        self.assertTrue(self.parts.rules_out("llm", "p", "v1/1", 11.0))
        self.assertEqual(1024, len(self.parts))

    def test_a_report_without_a_team_does_not_take_a_part_over(self):
        """Guards against reports of others that make a team's parts forgotten.

        They name no team, and are many while engines crash.
        """
        self.parts.record("llm", ["p"], "v1/1", 10.0, "a")
        self.parts.record("llm", ["p"], "v1/1", 10.5)
        for number in range(2000):
            self.parts.record("llm", [f"p{number}"], "v1/1", 11.0)
        self.assertTrue(self.parts.rules_out("llm", "p", "v1/1", 11.0))
