"""Load reports on slow links.

The pattern is that of the grown deployments: 21 to 26 entries, some on links
of 5 Mbit/s, ten requests a second each, whose placement, first event and end
are three changes a request.
"""

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.entry.loadshare import LoadShare
from magnolialug.ids import EndpointId
from magnolialug.policy.prompt import Part
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import EngineShare, Placement

ENGINES = 10
REPORT_BYTES = 500
LINK_BYTES_PER_S = 5e6 / 8


class Talk:
    """Counts what is told to a number of others."""

    open = True

    def __init__(self, others):
        self.others = others
        self.told = []
        self.bytes = 0

    def takes(self, form, take):
        """Has nothing to hand over."""

    def tell(self, message):
        """Counts a message."""
        self.told.append(message)
        self.bytes += REPORT_BYTES * self.others
        return REPORT_BYTES * self.others


class Directory:
    """Ten engines with some work each."""

    rollout: Rollout | None = None
    rollout_at = float("-inf")

    def own_load(self):
        """Returns the work at each engine."""
        return tuple(
            EngineShare(EndpointId(f"i-{n}"), (0, 3000), 12000, 1)
            for n in range(ENGINES)
        )


class LoadShareTest(TestCase):
    """One entry that tells others of its work for ten seconds."""

    def told(self, others, changes_per_s=30):
        """Returns what was told."""
        clock = Clock()
        talk = Talk(others)
        share = LoadShare(Directory(), talk, clock, "me")
        for number in range(10 * changes_per_s):
            placement = Placement(
                EndpointId("i-1"), "s", (Part(f"p{number}", 9000),)
            )
            share.placed(placement)
            clock.pump([0.005] * round(200 / changes_per_s))
        return talk

    def test_reports_leave_a_slow_link_to_the_requests(self):
        """Entries on slow links tell 25 others of every change at once.

        Symptom: requests reach their engine 0.8 s after their caller has
        left. Sequence: each of 26 entries sends 25 datagrams 20 ms after
        each change; links of 5 Mbit/s are full; a request and the word that
        its caller has left stand in the same queue. Cause: what is told grew
        with the square of the fleet.
        """
        talk = self.told(others=25)
        self.assertLess(talk.bytes / 10, 0.12 * LINK_BYTES_PER_S)
        self.assertGreater(len(talk.told), 40)

    def test_few_entries_are_told_of_each_change_at_once(self):
        talk = self.told(others=3)
        self.assertGreater(len(talk.told), 290)

    def test_nothing_placed_is_left_out(self):
        talk = self.told(others=25)
        told = sum(len(report.placements) for report in talk.told)
        self.assertGreater(told, 290)
