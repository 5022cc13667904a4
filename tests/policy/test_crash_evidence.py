"""Which parts of prompts explain crashes of engines."""

from testtools import TestCase

from magnolialug.policy.answeredparts import AnsweredParts
from magnolialug.policy.crashevidence import CrashEvidence, LostPrompt
from magnolialug.policy.requestidentity import RequestIdentity

SERVICE = "llm"
BUILD = "v1/1"


class Crashes:
    """Evidence that is filled by the names of lost prompts' parts."""

    def __init__(self):
        self.sound = AnsweredParts()
        self.evidence = CrashEvidence(SERVICE, BUILD, self.sound)
        self.now = 100.0
        self._numbers = iter(range(1000))

    def crash(self, *prompts, after_s=2.0):
        """Records the crash of an engine with some prompts."""
        self.now += after_s
        endpoint = f"i-{next(self._numbers)}"
        self.evidence.record_crash(endpoint, prompts, self.now)
        return endpoint

    def prompt(self, *parts, team="a", digest=None, age_s=0.1):
        """Returns a lost prompt; each has a digest of its own."""
        digest = digest or f"d{next(self._numbers)}"
        return LostPrompt(digest, team, parts, round(age_s * 1000))

    def answered(self, *parts, build=BUILD):
        """Records an answer to a prompt with some parts."""
        self.sound.record(SERVICE, parts, build, self.now)

    @property
    def patterns(self):
        """The team and the parts of each pattern that is found."""
        return [
            (found.pattern.team, found.pattern.parts)
            for found in self.evidence.findings(self.now)
        ]


class FindingTest(TestCase):
    """What is found."""

    def test_a_part_is_found_after_three_crashes(self):
        crashes = Crashes()
        for session in "stu":
            self.assertEqual([], crashes.patterns)
            crashes.crash(crashes.prompt(session, "dead"))
        self.assertEqual([("a", ("dead",))], crashes.patterns)

    def test_a_pattern_names_all_that_the_lost_prompts_share(self):
        """Guards against barring a session for the part that came with it.

        Nothing tells which of two parts that always come together crashes
        engines, until one of them is answered or comes without the other.
        """
        crashes = Crashes()
        for _ in range(3):
            crashes.crash(crashes.prompt("s", "dead"))
        self.assertEqual([("a", ("dead", "s"))], crashes.patterns)
        other = Crashes()
        for session in "sss":
            other.crash(other.prompt(session, "dead"))
        other.crash(other.prompt("t", "dead"))
        self.assertEqual([("a", ("dead",))], other.patterns)

    def test_a_part_that_is_answered_later_leaves_the_pattern(self):
        crashes = Crashes()
        for _ in range(3):
            crashes.crash(crashes.prompt("s", "dead"))
        crashes.answered("s")
        self.assertEqual([("a", ("dead",))], crashes.patterns)

    def test_a_pattern_is_for_one_team_until_another_team_crashes_too(self):
        """Guards against a team that names another team's part."""
        crashes = Crashes()
        for _ in range(3):
            crashes.crash(crashes.prompt("dead", team="b"))
        finding = crashes.evidence.findings(crashes.now)[0]
        mine = RequestIdentity("d", SERVICE, "a", ("first", "dead"))
        theirs = RequestIdentity("d", SERVICE, "b", ("first", "dead"))
        self.assertFalse(finding.pattern.matches(mine))
        self.assertTrue(finding.pattern.matches(theirs))
        crashes.crash(crashes.prompt("dead", team="a"))
        self.assertEqual([("", ("dead",))], crashes.patterns)

    def test_a_bystander_does_not_widen_a_pattern_to_its_team(self):
        """Guards against a team that has another team's part quarantined.

        Team b names a part of team a in prompts that crash engines; a prompt
        of team a is in progress at one of them.
        """
        crashes = Crashes()
        crashes.crash(
            crashes.prompt("dead", team="b"), crashes.prompt("dead", team="a")
        )
        for _ in range(2):
            crashes.crash(crashes.prompt("dead", team="b"))
        self.assertEqual([("b", ("dead",))], crashes.patterns)

    def test_two_parts_are_found_apart(self):
        crashes = Crashes()
        for session in "stu":
            crashes.crash(crashes.prompt(session, "dead1"))
            crashes.crash(crashes.prompt(session, "dead2"))
        self.assertEqual(
            {("a", ("dead1",)), ("a", ("dead2",))}, set(crashes.patterns)
        )

    def test_a_part_is_found_anew_with_other_weights(self):
        """Guards against old answers that clear a part for new weights."""
        crashes = Crashes()
        crashes.answered("dead", build="v1/0")
        for session in "stu":
            crashes.crash(crashes.prompt(session, "dead"))
            crashes.answered("dead", build="v1/0")
        self.assertEqual([("a", ("dead",))], crashes.patterns)


class BystanderTest(TestCase):
    """What is not found, though it was lost in crashes."""

    def test_parts_that_are_answered_are_ruled_out(self):
        crashes = Crashes()
        for session in "stu":
            crashes.answered("first")
            crashes.crash(
                crashes.prompt("first", session), crashes.prompt("first", "x")
            )
        self.assertEqual([], [p for p in crashes.patterns if "first" in p[1]])

    def test_a_bystander_that_is_retried_into_each_crash_is_not_found(self):
        """Guards against barring a session that was retried in a storm."""
        crashes = Crashes()
        bystander = crashes.prompt("session", digest="same")
        for session in "stu":
            crashes.crash(crashes.prompt(session, "dead"), bystander)
        self.assertEqual([("a", ("dead",))], crashes.patterns)

    def test_two_explanations_wait_for_the_next_crash(self):
        crashes = Crashes()
        for session in "stu":
            crashes.crash(
                crashes.prompt(session, "dead"), crashes.prompt("busy", session)
            )
        self.assertEqual([], crashes.patterns)
        crashes.crash(crashes.prompt("v", "dead"))
        self.assertEqual([("a", ("dead",))], crashes.patterns)

    def test_a_part_that_was_answered_before_needs_more_crashes(self):
        """Guards against quarantining a first part that was just unlucky."""
        crashes = Crashes()
        crashes.answered("first")
        for number in range(4):
            crashes.crash(crashes.prompt("first", f"s{number}"), after_s=3.0)
            self.assertEqual([], crashes.patterns)
        crashes.crash(crashes.prompt("first", "s"), after_s=3.0)
        self.assertEqual([("a", ("first",))], crashes.patterns)

    def test_five_crashes_are_decided_anyway(self):
        """Guards against endless crashes while two explanations are equal."""
        crashes = Crashes()
        for session in "stuvw":
            crashes.crash(
                crashes.prompt(session, "dead"), crashes.prompt("busy", session)
            )
        self.assertEqual(1, len(crashes.patterns))

    def test_prompts_sent_after_a_crash_are_left_out(self):
        """Guards against suspects that a crashed engine never began.

        What takes connections for crashed engines closes them; each entry
        finds that out by itself.
        """
        crashes = Crashes()
        for session in "stu":
            endpoint = crashes.crash(crashes.prompt(session, "first"))
            late = crashes.prompt("sound", session, age_s=0.1)
            crashes.evidence.record_crash(endpoint, [late], crashes.now + 0.5)
        self.assertEqual([("a", ("first",))], crashes.patterns)

    def test_a_loss_of_power_is_one_fault(self):
        """Guards against barring what runs everywhere when power fails."""
        crashes = Crashes()
        for _ in range(6):
            crashes.crash(
                *(crashes.prompt("new", "s") for _ in range(5)),
                after_s=0.02,
            )
        self.assertEqual([], crashes.patterns)

    def test_prompts_that_follow_a_crash_at_once_are_evidence(self):
        crashes = Crashes()
        for session in "stu":
            crashes.crash(
                crashes.prompt(session, "dead", age_s=0.05), after_s=0.1
            )
        self.assertEqual([("a", ("dead",))], crashes.patterns)

    def test_one_request_that_comes_again_is_left_to_its_digest(self):
        crashes = Crashes()
        for _ in range(4):
            crashes.crash(crashes.prompt("s", "t", digest="same"))
        self.assertEqual([], crashes.patterns)

    def test_crashes_that_are_far_apart_are_no_evidence(self):
        crashes = Crashes()
        for session in "stuvw":
            crashes.crash(crashes.prompt(session, "rare"), after_s=400)
        self.assertEqual([], crashes.patterns)

    def test_a_finding_all_parts_answered_by_answers_of_the_same_build(self):
        crashes = Crashes()
        for _ in range(3):
            crashes.crash(crashes.prompt("s", "sound"))
        finding = crashes.evidence.findings(crashes.now)[0]
        crashes.answered("s")
        crashes.answered("sound", build="v0/1")
        self.assertFalse(crashes.evidence.all_parts_answered(finding))
        crashes.answered("sound")
        self.assertTrue(crashes.evidence.all_parts_answered(finding))
