"""News of the key-value service on the messages between entries."""

from testtools import TestCase

from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.messages import Known, News
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.rollout import Rollout
from tests.owners.test_owners import fleet_of

ZONES = EvacuatedZones(("a",), 20)
ROLLOUT = Rollout("m", 2, number=7)
RECENT_S = 6.0


class DisseminationTest(TestCase):
    """Guards against an entry that is cut off and hears nothing from others."""

    def setUp(self):
        super().setUp()
        self.fleet = fleet_of()
        self.knowing, self.cut_off = list(self.fleet.entries.values())[:2]
        self.knowing.hear(ZONES)
        self.knowing.update_rollout(ROLLOUT)
        self.news = self.of(self.knowing)

    def of(self, entry):
        """Returns what an entry adds to its messages."""
        return Dissemination(entry, entry, self.fleet.clock.seconds)

    def test_a_query_that_knows_less_is_told(self):
        known = Known(rollout=6, evacuated=19)
        self.assertEqual(News(ROLLOUT, ZONES), self.news.newer_than(known))

    def test_a_query_that_knows_as_much_is_told_nothing(self):
        known = self.news.known()
        self.assertEqual(Known(7, 20), known)
        self.assertEqual(News(), self.news.newer_than(known))

    def test_reports_carry_what_was_learned_lately(self):
        self.assertEqual(News(ROLLOUT, ZONES), self.news.recent())
        self.fleet.clock.advance(RECENT_S)
        self.assertEqual(News(), self.news.recent())

    def test_an_entry_hears_it_with_the_reply_to_its_next_query(self):
        engine = next(
            f"i-{number}"
            for number in range(100)
            if self.fleet.owner(f"i-{number}") is self.knowing
        )
        self.fleet.ask(self.cut_off, [engine])
        self.assertEqual(ZONES, self.cut_off.known)
        self.assertEqual(ROLLOUT, self.cut_off.rollout)

    def test_an_owner_hears_it_with_the_next_report(self):
        engine = next(
            f"i-{number}"
            for number in range(100)
            if self.fleet.owner(f"i-{number}") is self.cut_off
        )
        self.knowing.sends(engine)
        self.fleet.pass_time(0.1)
        self.assertEqual(ZONES, self.cut_off.known)
        self.assertEqual(ROLLOUT, self.cut_off.rollout)
