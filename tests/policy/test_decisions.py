"""Table-driven tests of small policy functions."""

from random import Random

from testtools import TestCase

from magnolialug.policy.admission import Admission, Limit
from magnolialug.policy.blocks import block_chain, chain_seed, prompt_root
from magnolialug.policy.cacheestimates import (
    CacheEstimates,
    EngineCacheEstimate,
)
from magnolialug.policy.eviction import ReturnIntervals
from magnolialug.policy.linkestimator import LinkEstimator
from magnolialug.policy.membership import Members, MemberState
from magnolialug.policy.retry import Backoff, Budget, Ending, may_retry
from magnolialug.policy.ring import Ring
from magnolialug.policy.storedblock import Tier
from magnolialug.result import Code

NOT_RUN, LOST = Ending.NOT_RUN, Ending.LOST
NAMES = [f"e{n}" for n in range(9)]


class RetryTest(TestCase):
    """When a request may be tried again."""

    def test_which_endings_may_be_retried(self):
        cases = (
            # ending, idempotent, wait left, started, code
            (NOT_RUN, False, 1.0, False, None),
            (NOT_RUN, True, 1.0, False, None),
            (NOT_RUN, True, 0.0, False, Code.WAIT_EXCEEDED),
            (NOT_RUN, True, 0.0, True, None),
            (LOST, True, 1.0, False, None),
            (LOST, False, 1.0, False, Code.OUTCOME_UNKNOWN),
            (Ending.FAILED, False, 1.0, True, Code.OUTCOME_UNKNOWN),
        )
        for ending, idempotent, left, started, code in cases:
            failure = may_retry(ending, idempotent, left, started, Budget())
            self.assertEqual(code, failure.code if failure else None)

    def test_budget_limits_a_retry_storm(self):
        """Guards against retries that multiply the load in an outage.

        All attempts fail for a while, and each request retries independently.
        The budget allows retries for a fifth of the first attempts.
        """
        budget = Budget()
        allowed = 0
        for _ in range(1000):
            budget.deposit("a")
            allowed += sum(budget.withdraw("a") for _ in range(3))
        self.assertLessEqual(allowed, 10 + 200)

    def test_backoff_grows_with_jitter_up_to_its_limit(self):
        backoff, random = Backoff(), Random(1)
        pauses = [backoff.next(random) for _ in range(12)]
        self.assertLess(pauses[0], 0.051)
        self.assertTrue(all(1.0 <= pause <= 2.0 for pause in pauses[6:]))


class AdmissionTest(TestCase):
    """The rate and concurrency limits of a team."""

    def test_rate_is_shared_over_live_entries(self):
        for entries, expected in ((1, 20), (2, 10), (4, 5)):
            admission = Admission()
            admission.entries = entries
            limit = Limit(10.0, 1000)
            passed = [admission.admit("a", limit, 0.0) for _ in range(50)]
            self.assertEqual(expected, passed.count(None))
            self.assertEqual(Code.RATE_LIMITED, passed[-1].code)
            self.assertGreater(passed[-1].retry_after_s, 0)

    def test_concurrency_limit_per_team(self):
        admission = Admission()
        limit = Limit(1000.0, 2)
        codes = [admission.admit("a", limit, 0.0) for _ in range(3)]
        self.assertEqual(Code.TOO_MANY_CONCURRENT, codes[2].code)
        admission.release("a")
        self.assertIsNone(admission.admit("a", limit, 0.0))
        self.assertIsNone(admission.admit("b", limit, 0.0))


class MembershipTest(TestCase):
    """Which endpoints are eligible."""

    def test_connections_override_the_list_and_ejection_is_capped(self):
        members = Members()
        members.listed(NAMES)
        for name in NAMES:
            members.up(name, 0.0)
        members.leaving("e0")
        members.down("e1")
        self.assertEqual(set(NAMES[2:]), members.eligible(NAMES))
        for name in NAMES[2:6]:
            members.down(name)
        self.assertEqual(set(NAMES[1:]), members.eligible(NAMES))
        members.up("e1", 5.0)
        self.assertIs(MemberState.UP, members.state("e1"))
        starts = [members.slow_start("e1", at) for at in (5.0, 10.0, 15.0)]
        self.assertEqual([0.1, 0.5, 1.0], starts)

    def test_ring_moves_only_the_prompts_of_the_member_that_left(self):
        whole, less = Ring(NAMES), Ring(NAMES[1:])
        for number in range(300):
            before = whole.candidates(str(number), 3)
            after = less.candidates(str(number), 3)
            kept = [name for name in before if name != "e0"]
            self.assertEqual(kept, after[: len(kept)])


class CacheTest(TestCase):
    """Block ids, cache estimates, return intervals, link rates."""

    def test_block_chains_and_roots_are_distinct_per_team_and_weights(self):
        prompt = "x" * 3000
        seeds = [
            chain_seed(team, model, weights)
            for team, model, weights in (
                ("a", "m", "v1"),
                ("b", "m", "v1"),
                ("a", "m", "v2"),
                ("am", "", "v1"),
            )
        ]
        ids = [block for seed in seeds for block in block_chain(seed, prompt)]
        self.assertEqual(8, len(set(ids)))
        longer = block_chain(seeds[0], prompt + "y" * 2000)
        self.assertEqual(ids[:2], longer[:2])
        self.assertNotEqual(prompt_root("a", "p"), prompt_root("b", "p"))
        self.assertEqual(
            prompt_root("a", "p", "key"), prompt_root("a", "q", "key")
        )

    def test_estimates_expire_by_volume_and_by_epoch(self):
        cache_estimates = CacheEstimates(10)
        cache_estimates.record_engine(
            "r", "e", EngineCacheEstimate(600, 1000, 1)
        )
        cases = (
            # filled since, epoch, estimated
            (1000, 1, 600),
            (1400, 1, 600),
            (1401, 1, 0),
            (1000, 2, 0),
        )
        for filled, epoch, tokens in cases:
            got = cache_estimates.engine_tokens("r", "e", filled, epoch, 1000)
            self.assertEqual(tokens, got)

    def test_a_prompt_due_to_return_has_a_higher_chance_than_a_new_one(self):
        gaps = ReturnIntervals()
        gaps.record_visit(["k"], None)
        for _ in range(50):
            gaps.record_visit(["k"], 1000.0)
        horizon = gaps.horizon_s("k")
        self.assertTrue(200 < horizon < 300, horizon)
        fresh, due, gone = (
            gaps.chance(["k"], idle, horizon) for idle in (0, 900, 5000)
        )
        self.assertGreater(due, 0.9)
        self.assertLess(fresh, 0.1)
        self.assertLess(gone, due / 2)

    def test_the_wait_decreases_and_a_slow_link_is_remembered(self):
        links = LinkEstimator({Tier.DISK: 1e9})
        links.observe(Tier.DISK, 10**9, 9.0, 0.0)
        expected = [
            links.expected_read_s(Tier.DISK, 10**9, at) for at in (0, 4, 20)
        ]
        self.assertEqual([9.0, 5.0, 1.0], expected)
        for at in range(4):
            links.observe(Tier.DISK, 10**9, 8.0, 30.0 + at)
        self.assertEqual(8.0, links.expected_read_s(Tier.DISK, 10**9, 60.0))
        self.assertEqual(1.0, links.expected_read_s(Tier.DISK, 10**9, 300.0))
