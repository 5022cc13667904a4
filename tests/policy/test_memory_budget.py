"""Tests of the budget of what is held for callers."""

from random import Random

from testtools import TestCase

from magnolialug.policy.memorybudget import (
    SMALL_BYTES,
    Charge,
    MemoryBudget,
    budget_bytes,
)

_MB = 1024 * 1024


class MemoryBudgetTest(TestCase):
    """Charges are counted once, and large ones leave room for small ones."""

    def test_charges_add_up_on_every_way_out(self):
        """Guards against a charge that is counted twice, or never let go."""
        for seed in range(30):
            random = Random(seed)
            budget = MemoryBudget(100 * _MB)
            charges = [Charge() for _ in range(10)]
            for _ in range(300):
                charge = random.choice(charges)
                if random.random() < 0.3:
                    budget.release(charge)
                else:
                    size = random.choice((0, 1, SMALL_BYTES, _MB))
                    budget.set(charge, size)
                sizes = [row.size for row in charges]
                self.assertEqual(sum(sizes), budget.held_bytes)
                large = [row.size for row in charges if row.large]
                self.assertEqual(sum(large), budget.large_bytes)
            for charge in charges:
                budget.release(charge)
                budget.release(charge)
            self.assertEqual(0, budget.held_bytes)
            self.assertEqual(0, budget.large_bytes)

    def test_large_charges_leave_room_for_small_ones(self):
        """Guards against large bodies that crowd ordinary requests out."""
        budget = MemoryBudget(10 * _MB)
        admitted = 0
        while not budget.excess(charge := Charge(), _MB):
            budget.set(charge, _MB)
            admitted += 1
        self.assertEqual(7, admitted)
        self.assertEqual(0, budget.excess(Charge(), SMALL_BYTES))

    def test_the_only_large_charge_has_room(self):
        """Guards against a process that can never serve the largest body."""
        budget = MemoryBudget(10 * _MB)
        charge = Charge()
        self.assertEqual(0, budget.excess(charge, 12 * _MB))
        budget.set(charge, 12 * _MB)
        self.assertLess(0, budget.excess(Charge(), _MB))

    def test_a_process_keeps_memory_for_itself(self):
        for memory_mb in (64, 100, 150, 232, 552):
            share = budget_bytes(memory_mb) / _MB
            self.assertLess(0, share)
            self.assertLessEqual(share, max(8, memory_mb * 0.5))
