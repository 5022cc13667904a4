"""Registrations that lapse, and the shares that entries take meanwhile.

The pattern: the key-value service is away, or turns some entries away, for
longer than a lease; each entry divides a bound by those that it counts.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from testtools import TestCase

from magnolialug.policy.registrations import Registrations

LEASE_S = 15.0
RENEWAL_S = 3.0
RETURN_S = 2.0
COUNTED_S = 30.0


class Fleet:
    """Living entries, their leases at the service, and what each counts."""

    def __init__(self, entries):
        self.now = 0.0
        self.books = {f"vm-{n}": Registrations() for n in range(entries)}
        self.cut_since = {}
        self._renewed = dict.fromkeys(self.books, 0.0)
        self.step()

    def cut(self, name):
        """Keeps an entry from the service."""
        self.cut_since.setdefault(name, self.now)

    def heal(self, name):
        """Lets an entry reach the service again."""
        self.cut_since.pop(name, None)

    def step(self):
        """Lets a tenth of a second pass.

        Entries that reach the service renew their leases and see which others
        are registered.
        """
        self.now += 0.1
        reaching = set(self.books) - set(self.cut_since)
        for name in reaching:
            if self.now >= self._renewed[name] + RENEWAL_S:
                self._renewed[name] = self.now
        rows = {
            name: name
            for name, at in self._renewed.items()
            if self.now < at + LEASE_S
        }
        for name in reaching:
            self.books[name].replace(rows, self.now)

    def shares(self):
        """Returns the sum of the shares that all entries take."""
        return sum(
            1 / len({name, *book.sharing(self.now)})
            for name, book in self.books.items()
        )


class FleetMachine(RuleBasedStateMachine):
    """Cuts of some or all entries, none longer than lease and doubt."""

    @initialize(entries=st.sampled_from((2, 3, 4, 26)))
    def start(self, entries):
        self.fleet = Fleet(entries)

    @rule(numbers=st.sets(st.integers(0, 25)))
    def cut(self, numbers):
        for number in numbers:
            if f"vm-{number}" in self.fleet.books:
                self.fleet.cut(f"vm-{number}")

    @rule()
    def cut_all(self):
        for name in self.fleet.books:
            self.fleet.cut(name)

    @rule(seconds=st.integers(1, 15))
    def wait(self, seconds):
        for _ in range(seconds * 10):
            self.fleet.step()
            self.heal_in_time()
            assert self.fleet.shares() < 1.001

    def heal_in_time(self):
        """Heals cuts that would outlast lease and doubt."""
        longest_s = LEASE_S + COUNTED_S - RENEWAL_S - 1
        for name, since in list(self.fleet.cut_since.items()):
            if self.fleet.now > since + longest_s:
                self.fleet.heal(name)

    @rule(number=st.integers(0, 25))
    def heal(self, number):
        self.fleet.heal(f"vm-{number}")

    @invariant()
    def shares_make_no_more_than_a_whole(self):
        if hasattr(self, "fleet"):
            assert self.fleet.shares() < 1.001


FleetMachineTest = FleetMachine.TestCase
FleetMachineTest.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)


class RegistrationsTest(TestCase):
    """One entry's view of the others."""

    def setUp(self):
        super().setUp()
        self.registrations = Registrations()
        self.registrations.replace({"vm-1": "one", "vm-2": "two"}, 0.0)

    def test_one_that_is_gone_for_good_is_not_counted_for_ever(self):
        """Guards against shares that shrink with every machine replaced."""
        self.registrations.remove("vm-2", 10.0)
        for after_s, expected in ((COUNTED_S - 0.1, 2), (COUNTED_S, 1)):
            now = 10.0 + after_s
            self.assertEqual(expected, len(self.registrations.sharing(now)))
        self.registrations.expire(10.0 + COUNTED_S)
        self.assertEqual([], self.registrations.missing)

    def test_one_that_is_gone_loses_its_tasks_soon(self):
        """Guards against owners that have long been dead."""
        self.registrations.remove("vm-2", 10.0)
        self.assertIn("vm-2", self.registrations.members(11.9))
        self.assertNotIn("vm-2", self.registrations.members(10.0 + RETURN_S))

    def test_one_that_returns_elsewhere_is_counted_once(self):
        """Guards against a machine counted at its old address as well."""
        self.registrations.remove("vm-2", 10.0)
        self.registrations.put("vm-2", "two again")
        rows = {"vm-1": "one", "vm-2": "two again"}
        self.assertEqual(rows, self.registrations.sharing(11.0))
        self.assertEqual(rows, self.registrations.members(11.0))

    def test_it_tells_when_there_is_less_to_count(self):
        self.assertEqual(float("inf"), self.registrations.next_change_at(10.0))
        self.registrations.remove("vm-2", 10.0)
        first = self.registrations.next_change_at(10.0)
        self.assertEqual(10.0 + RETURN_S, first)
        last = self.registrations.next_change_at(first)
        self.assertEqual(10.0 + COUNTED_S, last)
