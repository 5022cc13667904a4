"""What an owner replies about endpoints that limit their requests."""

from testtools import TestCase

from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.ledgers import EndpointFacts, Ledgers
from magnolialug.owners.ledgerservice import LedgerService
from magnolialug.owners.messages import (
    LoadQuery,
    LoadReport,
    QueriedEndpoint,
)
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.limitnotice import ReportedNotice
from magnolialug.policy.sharedload import WorkShare


def facts(leaving, born_ms=0):
    """Returns what an entry knows of an endpoint."""
    return EndpointFacts(
        0, 0.0, open=not leaving, sound=True, born_ms=born_ms, leaving=leaving
    )


class NoAnnouncements:
    """An entry that has received no announcements."""

    rollout = None
    rollout_received_at = changed_at = float("-inf")
    current = EvacuatedZones()


class OwnerCase(TestCase):
    """An owner that has just started."""

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.facts = None
        self.service = self.started()

    def started(self):
        """Returns an owner that knows nothing yet."""
        nothing = NoAnnouncements()
        return LedgerService(
            Ledgers(lambda endpoint: self.facts),
            Dissemination(nothing, nothing, nothing, lambda: self.now),
            lambda: 1.0,
            lambda: self.now,
        )

    def ask(self, notice=None):
        """Returns the state of an endpoint that is queried."""
        rows = (QueriedEndpoint("i-1", "", notice),)
        return self.service.answer(LoadQuery("e", 1, rows)).states[0]


class SendLimitTest(OwnerCase):
    """It knows of no limit."""

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


class LeavingTest(OwnerCase):
    """It knows of an endpoint that leaves."""

    def test_a_reply_says_that_an_endpoint_leaves(self):
        """Guards against entries that only the announcement could tell."""
        for leaving in (False, True):
            self.facts = facts(leaving)
            self.assertIs(leaving, self.ask().leaving)

    def test_a_reply_about_a_newer_start_does_not(self):
        """Guards against a notice that bars the endpoint's next start."""
        self.facts = facts(True, 4000)
        self.assertIs(True, self.ask().leaving)
        newer = WorkShare("i-1", (), 0, 1, born_ms=9000)
        self.service.record(LoadReport("e", 1, (newer,)))
        self.assertIs(False, self.ask().leaving)
