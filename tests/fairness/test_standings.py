"""Waits are exchanged between entries while prompts wait.

Load pattern: engines are full, and prompts of some teams wait at any entry, in
the queues of any owner; entries die and datagrams are lost meanwhile.
"""

import itertools
from random import Random

import msgspec
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.fairness.standings import WaitStandings, prompt_flows
from magnolialug.ids import EndpointId
from magnolialug.owners.admissionclient import AdmissionRequest
from magnolialug.owners.messages import (
    AdmissionReply,
    AdmissionState,
    Enqueue,
    LoadQuery,
    LoadReply,
)
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.policy.admissionlead import (
    Claimant,
    LeadReason,
    bounded_claimant,
)
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.policy.waitledger import FlowStanding, WaitReport
from tests.owners.fleet import MEMORY, Fleet

LARGE = prompt_flows("large", "d1", "r1")
SMALL = prompt_flows("small", "d2", "r2")


class ExchangeTest(TestCase):
    """Prompts of two teams wait for one engine, each at an entry of its own."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(Clock(), 6, 1)
        owner = self.fleet.owner("i-0")
        self.busy, *self.others = [
            entry for entry in self.fleet.entries.values() if entry is not owner
        ]
        self.results = []
        self.leads = {}
        self.busy.start_request("i-0", unread=0, held=MEMORY)
        self.fleet.pass_time(0.05)

    def enqueue_prompt(self, name, flows, entry, ends_s=9.0):
        """Adds a prompt to the queue; its name goes to `results` in the end."""
        now = self.fleet.clock.seconds()
        waiting = WaitingPrompt(0, 1, now + 8.0, now + ends_s)
        result = entry.owners.admission_client.enqueue(
            waiting,
            [AdmissionRequest(EndpointId("i-0"), 12_000, 12_000)],
            0.5,
            flows=flows,
            on_lead=lambda lead: self.leads.update({name: lead}),
        )
        result.addCallback(lambda found: self.results.append((name, found)))
        self.fleet.pass_time(0.01)

    def record(self, flows, waits, waited_s, tokens):
        """Reports waits of a team at some entry."""
        report = WaitReport(flows.team, waits, int(waited_s * 1000), tokens)
        self.others[0].owners.wait_standings.record(report)
        self.fleet.pass_time(0.01)

    def free_one(self):
        """Frees memory for one prompt, and returns the name of the admitted."""
        self.busy.end_requests("i-0")
        self.busy.start_request("i-0", unread=0, held=MEMORY - 15_000)
        self.fleet.pass_time(0.1)
        return self.results[0][0]

    def put_both(self):
        """Adds a prompt of the large team, then one of the small."""
        self.enqueue_prompt("large", LARGE, self.others[1])
        self.enqueue_prompt("small", SMALL, self.others[2])
        self.fleet.pass_time(0.3)

    def test_waits_at_one_entry_count_at_all(self):
        """Guards against a large team that is first at every other entry."""
        self.record(LARGE, 20, 4.0, 240_000)
        self.record(SMALL, 2, 1.0, 12_000)
        self.put_both()
        self.assertEqual(LeadReason.TEAM, self.leads["small"].reason)
        self.assertGreater(self.leads["small"].lead_s, 0.2)
        self.assertLess(self.leads["large"].lead_s, -0.2)
        self.assertEqual("small", self.free_one())

    def test_without_waits_the_order_is_by_due_time(self):
        self.put_both()
        self.assertEqual("large", self.free_one())

    def test_an_ended_wait_is_reported(self):
        self.put_both()
        self.free_one()
        self.fleet.pass_time(0.5)
        standings = self.others[3].owners.wait_standings
        standings.query(LARGE)
        self.fleet.pass_time(0.1)
        team = standings.claimant(LARGE).team
        self.assertGreater(team.waits, 0.9)
        self.assertEqual(12_000, round(team.tokens, -3))

    def test_a_refused_request_is_known_at_any_entry(self):
        """Guards against callers that start again at the end elsewhere."""
        self.enqueue_prompt("first", SMALL, self.others[1], ends_s=0.4)
        self.fleet.pass_time(1.0)
        self.assertEqual("first", self.results[0][0])
        self.enqueue_prompt("again", SMALL, self.others[2])
        self.fleet.pass_time(0.1)
        claimant = self.others[2].owners.wait_standings.claimant(SMALL)
        self.assertGreater(claimant.lost_ms, 1_000)

    def flows_kept_by(self, entry):
        """Returns the flows of a team whose keeper is an entry."""
        ring = self.busy.owners.ring
        for number in itertools.count():
            flows = prompt_flows(f"team{number}", f"d{number}", f"r{number}")
            if ring.transient_candidates(flows.team)[0] == entry.address:
                break
        return flows

    def test_a_dead_keeper_costs_only_the_lead(self):
        """The keeper of a team dies while its prompt waits.

        Guards against prompts that wait for a keeper's reply, and against teams
        without a keeper until its lease expires. The next one starts empty.
        """
        keeper, asking = self.others[3], self.others[1]
        flows = self.flows_kept_by(keeper)
        self.record(flows, 20, 4.0, 240_000)
        self.enqueue_prompt("orphan", flows, asking)
        keeper.alive = False
        self.fleet.pass_time(0.6)
        self.enqueue_prompt("second", SMALL, self.others[2])
        self.assertEqual("orphan", self.free_one())
        self.assertEqual(("orphan", "i-0"), self.results[0])
        self.fleet.pass_time(0.6)
        asking.owners.wait_standings.query(flows)
        self.fleet.pass_time(0.6)
        asking.owners.wait_standings.query(flows)
        self.fleet.pass_time(0.1)
        team = asking.owners.wait_standings.claimant(flows).team
        self.assertEqual(FlowStanding(flows.team, tokens=0), team)

    def test_nobody_is_lost_with_the_owner_of_a_queue(self):
        """The owner dies while two prompts wait, and another takes over."""
        self.record(LARGE, 20, 4.0, 240_000)
        self.record(SMALL, 2, 1.0, 12_000)
        self.put_both()
        self.fleet.owner("i-0").alive = False
        self.fleet.pass_time(0.8)
        self.assertEqual([None] * 2, [found for _, found in self.results])
        self.results.clear()
        self.put_both()
        self.free_one()
        self.fleet.pass_time(0.3)
        self.assertEqual(
            [("large", "i-0"), ("small", "i-0")], sorted(self.results)
        )

    def test_lost_datagrams_delay_nobody(self):
        random = Random(3)
        self.fleet.is_lost = lambda sender, to: random.random() < 0.5
        self.record(LARGE, 20, 4.0, 240_000)
        self.put_both()
        self.fleet.is_lost = lambda sender, to: False
        self.free_one()
        self.fleet.pass_time(0.3)
        self.assertEqual(["i-0"] * 2, [found for _, found in self.results])

    def test_a_malformed_claimant_costs_others_no_lead(self):
        """Guards against one entry that spoils the comparison at an owner."""
        nan = float("nan")
        team = FlowStanding("malformed", 5.0, nan, nan)
        sender = self.others[3].owners.wait_standings
        sender.claimant = lambda flows: Claimant(team, team)
        self.record(LARGE, 20, 4.0, 240_000)
        self.record(SMALL, 2, 1.0, 12_000)
        other = prompt_flows("malformed", "d3", "r3")
        self.enqueue_prompt("malformed", other, self.others[3])
        self.put_both()
        self.assertEqual(LeadReason.TEAM, self.leads["small"].reason)
        self.assertGreater(self.leads["small"].lead_s, 0.2)

    def test_a_false_report_of_huge_waits_moves_a_lead_within_its_bounds(self):
        self.record(SMALL, 10**6, 10**6, 0)
        self.put_both()
        self.assertLessEqual(self.leads["small"].lead_s, 1.0)
        self.assertGreaterEqual(self.leads["large"].lead_s, -0.5)


class KeeperTest(TestCase):
    """What an entry sends to keepers, and when."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.sent = []

    def standings_among(self, count):
        """Returns the standings of one entry of several."""
        ring = OwnerRing(("10.0.0.0", 7000), self.clock.seconds)
        ring.entries(
            {(f"10.0.{n // 250}.{n % 250}", 7000): 1.0 for n in range(count)}
        )
        self.ring = ring
        return WaitStandings(
            ring,
            lambda waits, keeper: self.sent.append((waits, keeper)),
            self.clock.seconds,
        )

    def pass_time(self, standings, seconds):
        """Advances the clock, with ticks."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            standings.tick(self.clock.seconds())

    def test_reports_of_a_busy_flow_are_added_up(self):
        """Guards against a team at all entries that floods its keeper.

        360 entries each have 20 waits of the team in a second.
        """
        standings = self.standings_among(360)
        for _ in range(40 * 20):
            standings.record(WaitReport(LARGE.team, 1, 500, 1_000))
            self.pass_time(standings, 0.05)
        bytes_per_s = 360 * sum(self.size(waits) for waits, _ in self.sent) / 40
        self.assertLess(bytes_per_s, 4_000)
        reported = [report.waits for waits, _ in self.sent for report in waits]
        self.assertGreater(sum(reported), 300)

    def size(self, waits):
        """Returns the bytes of an exchange with its reply."""
        standings = tuple(
            FlowStanding(report.flow, 99.99, 1_234, 1_234_567)
            for report in waits
        )
        messages = (
            LoadQuery("", 0, (), waits=waits),
            LoadReply(0, (), standings=standings),
        )
        return sum(len(msgspec.msgpack.encode(row)) for row in messages)

    def test_exchanges_of_many_teams_are_spread_over_the_entries(self):
        """25,000 teams at 360 entries, with a wait in a second at each."""
        standings = self.standings_among(360)
        random = Random(5)
        for number in range(60):
            team = f"t{random.randrange(25_000)}"
            flows = prompt_flows(team, f"d{number}", f"r{number}")
            standings.query(flows)
            self.pass_time(standings, 0.5)
            for flow in flows.ids:
                standings.record(WaitReport(flow, 1, 500, 12_000))
            self.pass_time(standings, 0.5)
        bytes_per_s = sum(self.size(waits) for waits, _ in self.sent) / 60
        self.assertLess(2 * bytes_per_s, 4_000)

    def test_a_keeper_without_a_reply_is_replaced(self):
        standings = self.standings_among(6)
        standings.query(SMALL)
        first = {keeper for _, keeper in self.sent}
        self.pass_time(standings, 0.6)
        for keeper in first:
            self.assertFalse(self.ring.is_responsive(keeper))
        self.sent.clear()
        standings.query(SMALL)
        self.assertTrue(self.sent)
        self.assertEqual(set(), first & {keeper for _, keeper in self.sent})

    def test_a_keeper_that_has_left_the_ring_is_not_unresponsive(self):
        """Guards against entries that left and are probed without end."""
        standings = self.standings_among(6)
        standings.query(SMALL)
        left = self.sent[0][1]
        stay = {entry: 1.0 for entry in self.ring.others if entry != left}
        self.ring.entries(stay)
        for _, keeper in self.sent:
            if keeper != left:
                standings.on_reply((), keeper)
        self.pass_time(standings, 0.6)
        self.assertEqual(1.0, self.ring.responsive_share)
        self.pass_time(standings, 0.6)
        self.assertEqual([], self.ring.due_probes())

    def test_a_reply_without_standings_shows_that_a_keeper_lives(self):
        """Guards against keepers of an older release taken for dead."""
        standings = self.standings_among(6)
        standings.query(SMALL)
        for _, keeper in self.sent:
            standings.on_reply((), keeper)
        self.pass_time(standings, 0.6)
        self.assertEqual(1.0, self.ring.responsive_share)

    def test_an_added_up_report_keeps_the_mean_at_a_keeper(self):
        """Guards against a busy team that appears to wait 7 s for 2 s."""
        standings = self.standings_among(6)
        report = WaitReport(LARGE.team, 360, 360 * 2_000, 360 * 900)
        (found,) = standings.answer([report])
        self.assertEqual(2_000, found.mean_ms)

    def test_malformed_standings_are_bounded(self):
        """Guards against numbers that make each use of a standing fail."""
        for number in (float("nan"), float("inf"), float("-inf"), 1e308):
            for values in (
                (number, 500, 1_000),
                (2.0, number, 1_000),
                (2.0, 500, number),
                (number, number, number),
            ):
                standings = self.standings_among(6)
                for flow in SMALL.ids:
                    standings.query(SMALL)
                    keeper = self.ring.transient_candidates(flow)[0]
                    standings.on_reply([FlowStanding(flow, *values)], keeper)
                self.assert_bounded(standings.claimant(SMALL))
                team = FlowStanding(SMALL.team, *values)
                self.assert_bounded(bounded_claimant(Claimant(team, team)))

    def assert_bounded(self, claimant):
        """Asserts that all numbers of a claimant are usable."""
        for row in (claimant.team, claimant.dossier):
            self.assertTrue(0 <= row.waits <= 1_000_000)
            self.assertTrue(0 <= row.mean_ms <= 15_000)
            self.assertTrue(0 <= (row.tokens or 0) < 10**13)
        self.assertTrue(0 <= claimant.lost_ms < 10**11)

    def test_only_a_keeper_of_a_flow_tells_its_standing(self):
        standings = self.standings_among(6)
        standings.query(SMALL)
        keepers = self.ring.transient_candidates(SMALL.team)
        told = [FlowStanding(SMALL.team, 5.0, 900, 7)]
        for entry in set(self.ring.others) - set(keepers):
            self.assertEqual(set(), standings.on_reply(told, entry))
        self.assertEqual(0.0, standings.claimant(SMALL).team.waits)
        for keeper in keepers:
            self.assertEqual({SMALL.team}, standings.on_reply(told, keeper))
        self.assertEqual(5.0, standings.claimant(SMALL).team.waits)

    def test_the_number_of_flows_is_bounded(self):
        standings = self.standings_among(6)
        for number in range(5_000):
            standings.record(WaitReport(f"f{number}", 1, 500))
        self.assertLessEqual(len(standings._exchanges), 4_000)


class OldEnqueue(msgspec.Struct, frozen=True, array_like=True, tag="wait"):
    """Enqueue as in the release before."""

    entry: str
    number: int
    endpoint: str
    priority: int
    tokens: int
    unread: int
    target_ms: int
    ends_ms: int
    ahead_ms: int
    queue_count: int
    is_first_choice: bool


class OldAdmissionReply(
    msgspec.Struct, frozen=True, array_like=True, tag="turn"
):
    """AdmissionReply as in the release before."""

    number: int
    endpoint: str
    state: AdmissionState
    after_ms: int = 0


class TwoReleasesTest(TestCase):
    """Entries of two releases understand each other during an upgrade."""

    def passed(self, message, decoded_as):
        """Returns a message as another release decodes it."""
        data = msgspec.msgpack.encode(message)
        return msgspec.msgpack.decode(data, type=decoded_as)

    def test_enqueue(self):
        fields = ("e", 1, "i-0", 1, 9, 9, 500, 900, 100, 4, True)
        claimant = Claimant(FlowStanding(SMALL.team, 1.5, 900, 12_000))
        new = Enqueue(*fields, claimant)
        self.assertEqual(OldEnqueue(*fields), self.passed(new, OldEnqueue))
        old = OldEnqueue(*fields)
        self.assertEqual(Enqueue(*fields), self.passed(old, Enqueue))
        self.assertEqual(new, self.passed(new, Enqueue))

    def test_admission_reply(self):
        fields = (1, "i-0", AdmissionState.QUEUED, 0)
        new = AdmissionReply(*fields, 250, LeadReason.TEAM)
        old = OldAdmissionReply(*fields)
        self.assertEqual(old, self.passed(new, OldAdmissionReply))
        self.assertEqual(
            AdmissionReply(*fields), self.passed(old, AdmissionReply)
        )

    def test_load_query_and_reply_without_waits(self):
        query = self.passed(["ask", "", 0, [], [], 0, 0, 0], LoadQuery)
        self.assertEqual((), query.waits)
        reply = self.passed(["told", 0, [], None, None, 0], LoadReply)
        self.assertEqual((), reply.standings)
