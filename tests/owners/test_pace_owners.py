"""What remains of a measured pace when owners die and datagrams are lost.

Load pattern: all entries have work at engines that are slower than others, and
ask their owners before each prompt.
"""

from random import Random

import msgspec
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.policy.enginepace import EnginePace
from tests.owners import fleet as fleets

RATE = 45_000
ENGINE = "i-0"


class PacedEntry(fleets.Entry):
    """An entry that has measured each engine once, at the beginning."""

    def share(self, endpoint):
        """Returns this entry's work and pace at an engine."""
        age_ms = round(self.fleet.clock.seconds() * 1000)
        pace = EnginePace(RATE, 40, 1, age_ms)
        return msgspec.structs.replace(super().share(endpoint), pace=pace)


class PaceOwnersTest(TestCase):
    """Guards against a pace that is lost with a process or a message."""

    def setUp(self):
        super().setUp()
        self.patch(fleets, "Entry", PacedEntry)
        self.fleet = fleets.Fleet(Clock(), entries=6, engines=1)
        for entry in self.fleet.entries.values():
            entry.start_request(ENGINE)

    def rate(self, entry):
        """Returns the pace that an entry is told."""
        state = self.fleet.ask(entry, [ENGINE])[ENGINE]
        return state.pace and state.pace.tokens_per_s

    def test_all_entries_are_told_the_pace(self):
        self.fleet.pass_time(0.1)
        for entry in self.fleet.entries.values():
            self.assertEqual(RATE, self.rate(entry))

    def test_the_next_owner_knows_the_pace_by_repeated_shares(self):
        owner = self.fleet.owner(ENGINE)
        others = [
            entry for entry in self.fleet.entries.values() if entry is not owner
        ]
        self.fleet.pass_time(0.1)
        owner.alive = False
        for entry in others:
            self.fleet.ask(entry, [ENGINE])
        self.fleet.pass_time(0.6)
        for entry in others:
            self.assertEqual(RATE, self.rate(entry))

    def test_lost_datagrams_are_made_up_for(self):
        random = Random(1)
        for entry in self.fleet.entries.values():
            entry.end_requests(ENGINE)
        self.fleet.is_lost = lambda sender, to: random.random() < 0.5
        for entry in self.fleet.entries.values():
            entry.start_request(ENGINE)
        self.fleet.pass_time(1.2)
        self.fleet.is_lost = lambda sender, to: False
        for entry in self.fleet.entries.values():
            self.assertEqual(RATE, self.rate(entry))
