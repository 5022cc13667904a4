"""Who is admitted first while there is too little room, by past waits.

Load pattern: for 40 s, callers send half as many long prompts again as engines
have room for, and return after refusals. One team sends four fifths of them,
beside eight teams with a few each; or a tenth is larger than the others; or one
dossier has four tenths of the traffic. Prompts wait in the queues of six
engines, none of which sees all of them.
"""

import functools
from collections import defaultdict
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from magnolialug.policy.admissionlead import (
    Claimant,
    LeadReason,
    QueueStandings,
)
from magnolialug.policy.admissionorder import WaitingPrompt, admission_order
from magnolialug.policy.admissionqueue import AdmissionQueue, QueuedPrompt
from magnolialug.policy.waitledger import FlowStanding
from tests.policy.queuesimulation import Simulation, shares

SEEDS = (1, 2, 3)
SIZES = (4_000, 8_000, 12_000, 24_000)
LARGEST = 32_000
REST = "rest"


def draw_teams(random):
    """Returns a prompt of a large team, or of one of eight small ones."""
    small = f"small{random.randrange(8)}"
    team = "large" if random.random() < 0.8 else small
    return team, f"d{random.randrange(200)}", random.choice(SIZES)


def draw_sizes(random):
    """Returns a prompt of one of three teams, a tenth of them the largest."""
    size = random.choice(SIZES) if random.random() < 0.9 else LARGEST
    return f"t{random.randrange(3)}", f"d{random.randrange(200)}", size


def draw_dossiers(random):
    """Returns a prompt, four tenths of them about one dossier."""
    other = f"d{random.randrange(60)}"
    dossier = "hot" if random.random() < 0.4 else other
    return f"t{random.randrange(3)}", dossier, random.choice(SIZES)


@functools.cache
def simulated(draw, is_fair):
    """Returns the requests of some simulations."""
    return [
        request
        for seed in SEEDS
        for request in Simulation(draw, is_fair, seed).run()
    ]


def shares_by(draw, key):
    """Returns the shares without and with standings, by a key."""
    return [shares(simulated(draw, is_fair), key) for is_fair in (False, True)]


def in_time(draw):
    """Returns the shares in time of all prompts, without and with standings."""
    before, after = shares_by(draw, lambda request: "all")
    return before["all"]["in time"], after["all"]["in time"]


class OverloadTest(TestCase):
    """Shares of prompts that are in time or refused, with and without leads."""

    def test_a_large_team_does_not_crowd_out_small_ones(self):
        """Guards against small teams that suffer from a large one's load."""
        before, after = shares_by(
            draw_teams, lambda request: request.team == "large"
        )
        gained = after[False]["in time"] - before[False]["in time"]
        self.assertGreater(gained, 0.1)
        self.assertLess(after[False]["refused"], before[False]["refused"] / 2)
        lost = before[True]["in time"] - after[True]["in time"]
        self.assertLess(lost, 0.1)

    def test_leads_cost_few_prompts_their_time(self):
        """Guards against an order that is fair, and late for all."""
        for draw in (draw_teams, draw_sizes, draw_dossiers):
            before, after = in_time(draw)
            self.assertGreater(after, before - 0.03, draw.__name__)

    def test_the_largest_prompts_are_not_starved(self):
        """Guards against the largest tenth served half as often as all."""
        _, after = shares_by(draw_sizes, lambda request: request.tokens)
        largest = 1 - after[LARGEST]["refused"]
        for size in SIZES:
            self.assertGreater(largest, 0.7 * (1 - after[size]["refused"]))

    def test_every_dossier_beside_a_hot_one_is_served(self):
        """Guards against dossiers that are asked for and never served."""
        results = defaultdict(list)
        for number, request in enumerate(simulated(draw_dossiers, True)):
            results[request.dossier].append((number, request.result))
        for dossier, rows in results.items():
            served = [row for row in rows if row[1] != "refused"]
            self.assertTrue(served or len(rows) < 4, dossier)
        before, after = shares_by(
            draw_dossiers, lambda request: request.dossier == "hot"
        )
        self.assertGreater(
            before[False]["refused"] + 0.02, after[False]["refused"]
        )


def standing(name, waits=0.0, mean_ms=0, tokens=0):
    """Returns the standing of a flow."""
    return FlowStanding(name, waits, mean_ms, tokens)


def lead(one, *others, is_late=False, sizes=(), size=REST):
    """Returns the lead of a claimant beside others."""
    standings = QueueStandings([one, *others], sizes)
    return standings.lead(one, size, is_late)


class LeadTest(TestCase):
    """The lead of one prompt, by the standings of its flows."""

    def test_a_team_with_less_room_goes_ahead_of_one_with_more(self):
        small = Claimant(standing("a", 2, 900, 10_000))
        large = Claimant(standing("b", 60, 1_200, 600_000))
        ahead, behind = lead(small, large), lead(large, small)
        self.assertEqual(LeadReason.TEAM, ahead.reason)
        self.assertGreater(ahead.lead_s, 0.4)
        self.assertLess(behind.lead_s, -0.4)

    def test_a_team_that_waits_by_its_own_load_gets_no_lead_for_it(self):
        """Guards against floods that pay: many prompts also wait long."""
        large = Claimant(standing("a", 60, 9_000, 600_000))
        small = Claimant(standing("b", 2, 100, 10_000))
        self.assertLess(lead(large, small).lead_s, 0.0)

    def test_a_dossier_that_is_always_refused_goes_ahead(self):
        team = standing("t")
        refused = Claimant(team, standing("d", 4, 4_000))
        others = [Claimant(team, standing(n, 4, 400)) for n in ("e", "f")]
        found = lead(refused, *others)
        self.assertEqual(LeadReason.DOSSIER, found.reason)
        self.assertGreater(found.lead_s, 0.3)

    def test_a_difference_by_chance_moves_nothing(self):
        team = standing("t")
        one = Claimant(team, standing("d", 2, 900))
        other = Claimant(team, standing("e", 2, 300))
        self.assertEqual(0.0, lead(one, other).lead_s)

    def test_the_size_that_has_waited_longer_goes_ahead(self):
        sizes = (standing("largest", 20, 2_600), standing(REST, 90, 900))
        one = Claimant(standing("t"))
        found = lead(one, sizes=sizes, size="largest")
        self.assertEqual(LeadReason.SIZE, found.reason)
        self.assertGreater(found.lead_s, 0.2)
        self.assertEqual(0.0, lead(one, sizes=sizes).lead_s)

    def test_a_caller_that_returns_goes_ahead_of_late_prompts(self):
        returned = Claimant(standing("t"), lost_ms=2_000)
        self.assertEqual(1.0, lead(returned, is_late=True).lead_s)
        self.assertEqual(0.0, lead(returned).lead_s)

    def test_a_caller_refused_again_goes_ahead_of_all_in_the_end(self):
        leads_s = [
            lead(Claimant(standing("t"), lost_ms=lost_ms)).lead_s
            for lost_ms in (8_000, 10_000, 12_000, 14_000)
        ]
        self.assertEqual([0.0, 0.2, 0.4, 0.5], [round(x, 3) for x in leads_s])

    def test_a_flow_without_a_standing_counts_as_the_mean(self):
        """Guards against lost datagrams that look like a need for room."""
        unknown = Claimant(FlowStanding("a"), FlowStanding("x"))
        known = Claimant(standing("b", 9, 900, 90_000))
        self.assertEqual(0.0, lead(unknown, known).lead_s)


class FirstJudgementTest(TestCase):
    """A prompt with a lead arrives behind two that will be late."""

    def setUp(self):
        super().setUp()
        self.queue = AdmissionQueue()
        for number in range(4):
            self.put(f"gone{number}", 20.0, 9.9)
            self.queue.take_next(9.9, lambda _: True)
        self.put("first", 11.1, 9.99)
        self.put("second", 11.2, 9.99)
        self.queue.take_next(9.995, lambda _: False)

    def put(self, name, ends_at, at, lost_ms=0):
        """Adds or renews a prompt that will be late."""
        waiting = WaitingPrompt(0, 1, 9.0, ends_at)
        claimant = Claimant(standing(name), None, lost_ms)
        self.queue.put(
            QueuedPrompt(name, waiting, 1, 1, 0, 1, True, at, claimant)
        )

    def test_the_first_judgement_of_a_prompt_counts_its_lead(self):
        """Guards against a refusal before the lead is computed."""
        self.put("returned", 11.3, 10.0, lost_ms=3_000)
        self.assertIsNone(self.queue.retry_after_s("returned", 10.0))
        self.assertEqual(1.0, self.queue.lead("returned").lead_s)

    def test_the_first_judgement_after_news_of_a_claimant_counts_them(self):
        """Guards against a refusal by the lead of an earlier claimant."""
        self.put("returned", 11.3, 10.0)
        self.assertIsNotNone(self.queue.retry_after_s("returned", 10.0))
        self.put("returned", 11.3, 10.005, lost_ms=3_000)
        self.assertIsNone(self.queue.retry_after_s("returned", 10.005))

    def test_a_prompt_without_a_lead_is_refused_there(self):
        self.put("other", 11.3, 10.0)
        self.assertIsNotNone(self.queue.retry_after_s("other", 10.0))


class SizeWaitsTest(TestCase):
    """A queue counts the waits of its prompts by their size."""

    def test_a_wait_that_ends_in_an_admission_counts_until_then(self):
        """Guards against admitted prompts that count as refused."""
        queue = AdmissionQueue()
        for number in range(4):
            waiting = WaitingPrompt(0, 1, 9.0, 20.0)
            queue.put(QueuedPrompt(number, waiting, 1, 1, 0, 1, True, 9.9))
            queue.take_next(9.9, lambda _: True)
        waiting = WaitingPrompt(0, 1, 9.0, 10.4)
        queue.put(QueuedPrompt("late", waiting, 1, 1, 0, 1, True, 10.0))
        self.assertIsNotNone(queue.retry_after_s("late", 10.0))
        with mock.patch.object(queue._waits, "record") as record:
            queue.take_next(10.1, lambda _: True)
        ((report, _),) = [call.args for call in record.call_args_list]
        self.assertEqual(100, report.waited_ms)

    def test_a_size_that_is_refused_early_counts_as_waiting(self):
        """Guards against refusals that make a size appear not to wait."""
        queue = AdmissionQueue()
        claimant = Claimant(standing("t"))

        def put(name, tokens, at, target_at, ends_at):
            waiting = WaitingPrompt(0, 1, target_at, ends_at, 0.1)
            row = (name, waiting, tokens, tokens, 0.5, 1, True, at, claimant)
            queue.put(QueuedPrompt(*row))

        for number in range(40):
            put(f"small{number}", 4_000, 10.0, 11.0, 14.0)
            queue.take_next(10.0, lambda _: True)
        for number in range(4):
            put(f"large{number}", 32_000, 7.0, 8.0, 10.1)
            self.assertIsNotNone(queue.retry_after_s(f"large{number}", 10.1))
            queue.drop(f"large{number}")
        put("next", 32_000, 10.2, 11.2, 14.2)
        granted = queue.take_next(10.2, lambda _: True)
        self.assertEqual(LeadReason.SIZE, granted.lead.reason)
        self.assertGreater(granted.lead.lead_s, 0.2)


numbers = st.integers(-(10**12), 10**12)
flows = st.builds(
    FlowStanding,
    st.sampled_from("abc"),
    st.floats(allow_nan=False, allow_infinity=False),
    numbers,
    st.none() | numbers,
)
claimants = st.builds(Claimant, flows, st.none() | flows, numbers)
times = st.floats(9.0, 14.0)
sizes_in_memory = st.floats(0.01, 0.5)
prompts = st.lists(
    st.tuples(st.integers(0, 2), times, times, sizes_in_memory, claimants),
    min_size=1,
    max_size=8,
)


def queue_of(rows, with_claimants=True, grants=0):
    """Returns a queue with a prompt for each row, its index as the ticket.

    Args:
      grants: prompts that were admitted just before.
    """
    queue = AdmissionQueue()
    for number in range(grants):
        waiting = WaitingPrompt(0, 1, 9.0, 20.0)
        queue.put(QueuedPrompt(f"gone{number}", waiting, 1, 1, 0, 1, True, 9.9))
        queue.take_next(9.9, lambda _: True)
    for ticket, (priority, target_at, ends_at, size, one) in enumerate(rows):
        waiting = WaitingPrompt(0, priority, target_at, ends_at, size)
        claimant = one if with_claimants else None
        queue.put(
            QueuedPrompt(
                ticket, waiting, 9_000, 9_000, 0.5, 1, True, 10.0, claimant
            )
        )
    return queue


def granted(queue):
    """Returns the prompts of a queue as they are admitted at time 10."""
    return [queue.take_next(10.0, lambda _: True) for _ in range(len(queue))]


class BoundsTest(TestCase):
    """What no report can change, true or false."""

    @given(claimants, st.lists(claimants, max_size=5), st.booleans())
    def test_a_false_report_moves_a_lead_within_its_bounds(
        self, one, others, is_late
    ):
        found = lead(one, *others, is_late=is_late)
        self.assertTrue(-0.5 <= found.lead_s <= 1.0, found)

    @given(prompts)
    def test_priority_and_lateness_come_first(self, rows):
        """Guards against late prompts that make others late as well."""
        ranks = [
            (row.waiting.priority, row.waiting.is_late(10.0))
            for row in granted(queue_of(rows))
        ]
        self.assertEqual(sorted(ranks), ranks)

    @given(prompts, st.floats(0, 100), st.integers(0, 9_000), numbers)
    def test_without_differences_the_order_is_by_due_time(
        self, rows, waits, mean_ms, tokens
    ):
        """One team, one size and fresh dossiers: nobody goes ahead."""
        team = FlowStanding("t", waits, mean_ms, tokens)
        same = [
            (*row, Claimant(team, standing(f"d{number}")))
            for number, (*row, _) in enumerate(rows)
        ]
        plain = granted(queue_of(same, with_claimants=False))
        led = granted(queue_of(same))
        self.assertEqual(
            [row.ticket for row in plain], [row.ticket for row in led]
        )
        self.assertEqual({0.0}, {row.lead.lead_s for row in led})

    def test_a_returning_caller_does_not_start_at_the_end(self):
        """Three prompts will be late; the caller of the last has returned."""
        team = standing("t")
        rows = [(1, 9.0, 12.0 + n / 10, 0.1, Claimant(team)) for n in range(3)]
        rows[2] = (1, 9.0, 12.2, 0.1, Claimant(team, lost_ms=2_500))
        tickets = [row.ticket for row in granted(queue_of(rows))]
        self.assertEqual([2, 0, 1], tickets)

    def test_what_is_ahead_by_a_lead_counts_for_a_refusal(self):
        """Guards against prompts that wait for a turn that cannot come."""
        team = standing("t")
        rows = [(1, 9.0, 11.0 + n / 10, 0.1, Claimant(team)) for n in range(5)]
        rows[4] = (1, 9.0, 11.4, 0.1, Claimant(team, lost_ms=2_500))
        for with_claimants, refused in ((False, [2, 3, 4]), (True, [1, 2, 3])):
            queue = queue_of(rows, with_claimants, grants=4)
            found = [n for n in range(5) if queue.retry_after_s(n, 10.0)]
            self.assertEqual(refused, found)

    def test_a_lead_orders_within_priority_and_lateness(self):
        first = WaitingPrompt(1, 1, target_at=11.0, ends_at=14.0)
        ahead = WaitingPrompt(2, 1, target_at=11.4, ends_at=14.4)
        late = WaitingPrompt(3, 1, target_at=9.0, ends_at=12.0)
        ordered = admission_order([first, late, ahead], 10.0, {2: 0.5, 3: 1.0})
        self.assertEqual([ahead, first, late], ordered)
