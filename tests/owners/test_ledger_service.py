"""What an owner replies about endpoints that limit their requests."""

from testtools import TestCase

from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.ledgers import Ledgers
from magnolialug.owners.ledgerservice import LedgerService
from magnolialug.owners.messages import LoadQuery, QueriedEndpoint
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.limitnotice import ReportedNotice


class NoAnnouncements:
    """An entry that has received no announcements."""

    rollout = None
    rollout_received_at = changed_at = float("-inf")
    current = EvacuatedZones()


class SendLimitTest(TestCase):
    """An owner that has just started, and knows of no limit."""

    def setUp(self):
        super().setUp()
        nothing = NoAnnouncements()
        self.now = 10.0
        self.service = LedgerService(
            Ledgers(lambda endpoint: None),
            Dissemination(nothing, nothing, lambda: self.now),
            lambda: 1.0,
            lambda: self.now,
        )

    def ask(self, notice=None):
        """Returns the state of an endpoint that is queried."""
        rows = (QueriedEndpoint("i-1", "", notice),)
        return self.service.answer(LoadQuery("e", 1, rows)).states[0]

    def test_an_owner_learns_a_limit_from_the_query_itself(self):
        """Guards against an owner that permits what it has not heard of."""
        state = self.ask(ReportedNotice("a", 2.0, 20, 10))
        self.assertEqual(2.0, state.notice.rate)
        self.assertGreater(state.send_wait_ms, 0)

    def test_a_permit_comes_at_the_rate_of_the_limit(self):
        self.ask(ReportedNotice("a", 2.0, 20, 10))
        self.now += 0.51
        self.assertEqual(0, self.ask().send_wait_ms)

    def test_endpoints_without_a_limit_need_no_permit(self):
        state = self.ask()
        self.assertIsNone(state.notice)
        self.assertEqual(0, state.send_wait_ms)
