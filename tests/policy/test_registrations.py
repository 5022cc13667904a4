"""Expired registrations, and the shares that entries take meanwhile.

Fault pattern: the key-value service is unavailable, or refuses some entries,
for longer than a lease. Each entry divides a limit by the entries it counts.
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
REREGISTRATION_S = 2.0
SHARE_GRACE_S = 30.0


class Fleet:
    """Live entries, their leases at the service, and whom each counts."""

    def __init__(self, entries):
        self.now = 0.0
        self.registrations = {
            f"vm-{n}": Registrations() for n in range(entries)
        }
        self.cut_since = {}
        self._renewed = dict.fromkeys(self.registrations, 0.0)
        self.step()

    def cut(self, name):
        """Cuts an entry off from the service."""
        self.cut_since.setdefault(name, self.now)

    def heal(self, name):
        """Lets an entry reach the service again."""
        self.cut_since.pop(name, None)

    def step(self):
        """Advances the time by 0.1 s.

        Entries that reach the service renew their leases and read which others
        are registered.
        """
        self.now += 0.1
        reaching = set(self.registrations) - set(self.cut_since)
        for name in reaching:
            if self.now >= self._renewed[name] + RENEWAL_S:
                self._renewed[name] = self.now
        rows = {
            name: name
            for name, at in self._renewed.items()
            if self.now < at + LEASE_S
        }
        for name in reaching:
            self.registrations[name].replace(rows, self.now)

    def shares(self):
        """Returns the sum of the shares of all entries."""
        return sum(
            1 / len({name, *registry_view.sharing(self.now)})
            for name, registry_view in self.registrations.items()
        )


class FleetMachine(RuleBasedStateMachine):
    """Cuts of some or all entries, within lease and grace period."""

    @initialize(entries=st.sampled_from((2, 3, 4, 26)))
    def start(self, entries):
        self.fleet = Fleet(entries)

    @rule(numbers=st.sets(st.integers(0, 25)))
    def cut(self, numbers):
        for number in numbers:
            if f"vm-{number}" in self.fleet.registrations:
                self.fleet.cut(f"vm-{number}")

    @rule()
    def cut_all(self):
        for name in self.fleet.registrations:
            self.fleet.cut(name)

    @rule(seconds=st.integers(1, 15))
    def wait(self, seconds):
        for _ in range(seconds * 10):
            self.fleet.step()
            self.heal_in_time()
            assert self.fleet.shares() < 1.001

    def heal_in_time(self):
        """Heals cuts that would outlast the lease and the grace period."""
        longest_s = LEASE_S + SHARE_GRACE_S - RENEWAL_S - 1
        for name, since in list(self.fleet.cut_since.items()):
            if self.fleet.now > since + longest_s:
                self.fleet.heal(name)

    @rule(number=st.integers(0, 25))
    def heal(self, number):
        self.fleet.heal(f"vm-{number}")

    @invariant()
    def shares_add_up_to_at_most_one(self):
        if hasattr(self, "fleet"):
            assert self.fleet.shares() < 1.001


FleetMachineTest = FleetMachine.TestCase
FleetMachineTest.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)


class RegistrationsTest(TestCase):
    """One entry's view of the other entries."""

    def setUp(self):
        super().setUp()
        self.registrations = Registrations()
        self.registrations.replace({"vm-1": "one", "vm-2": "two"}, 0.0)

    def test_an_entry_that_is_gone_is_not_counted_after_the_grace_period(self):
        """Guards against shares that shrink with every replaced machine."""
        self.registrations.remove("vm-2", 10.0)
        for after_s, expected in ((SHARE_GRACE_S - 0.1, 2), (SHARE_GRACE_S, 1)):
            now = 10.0 + after_s
            self.assertEqual(expected, len(self.registrations.sharing(now)))
        self.registrations.expire(10.0 + SHARE_GRACE_S)
        self.assertEqual([], self.registrations.missing)

    def test_an_entry_that_is_gone_soon_stops_being_an_owner(self):
        """Guards against owners that are long dead."""
        self.registrations.remove("vm-2", 10.0)
        self.assertIn("vm-2", self.registrations.members(11.9))
        self.assertNotIn(
            "vm-2", self.registrations.members(10.0 + REREGISTRATION_S)
        )

    def test_an_entry_that_returns_at_a_new_address_is_counted_once(self):
        """Guards against a machine that is counted at its old address too."""
        self.registrations.remove("vm-2", 10.0)
        self.registrations.put("vm-2", "two again")
        rows = {"vm-1": "one", "vm-2": "two again"}
        self.assertEqual(rows, self.registrations.sharing(11.0))
        self.assertEqual(rows, self.registrations.members(11.0))

    def test_next_change_is_the_end_of_each_grace_period(self):
        self.assertEqual(float("inf"), self.registrations.next_change_at(10.0))
        self.registrations.remove("vm-2", 10.0)
        first = self.registrations.next_change_at(10.0)
        self.assertEqual(10.0 + REREGISTRATION_S, first)
        last = self.registrations.next_change_at(first)
        self.assertEqual(10.0 + SHARE_GRACE_S, last)
