"""Engines that a soak makes slower, for good or in spells.

The load: a third of the engines slower by 1.3, and spells of 2.5 in 0.6 s.
"""

from itertools import groupby
from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.soak.restarts import choose_slots, restart_thrice
from magnolialug.soak.slot import Slot
from magnolialug.soak.slowengines import slow_for_good, slow_in_spells
from magnolialug.standin.modelserver import ModelServerStandin


class SlowEnginesTest(TestCase):
    """Six engines."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.engines = [
            ModelServerStandin(self.clock, f"i-{n}") for n in range(6)
        ]

    def test_a_third_becomes_slower_for_good(self):
        """Guards against a fleet that is slow as a whole, and equal again."""
        for _ in range(10):
            slow_for_good(Random(1), self.engines)
        paces = sorted(engine.pace for engine in self.engines)
        self.assertEqual([1.0] * 4 + [1.3] * 2, paces)

    def test_spells_last_and_end(self):
        slow_in_spells(Random(1), self.engines[:1], self.clock.callLater)
        (engine, *_) = self.engines
        seen = []
        for _ in range(1200):
            self.clock.advance(0.01)
            seen.append(engine.spell)
        spells = [
            len(list(rows)) for pace, rows in groupby(seen) if pace == 2.5
        ]
        self.assertEqual(1.0, engine.spell)
        self.assertGreaterEqual(len(spells), 2)
        for spell in spells:
            self.assertAlmostEqual(60, spell, delta=1)

    def test_nobody_is_slowed_twice_at_once(self):
        slow_in_spells(Random(1), self.engines[:1], self.clock.callLater)
        self.clock.advance(0.01)
        before = len(self.clock.getDelayedCalls())
        slow_in_spells(Random(2), self.engines[:1], self.clock.callLater)
        self.assertEqual(before, len(self.clock.getDelayedCalls()))

    def test_nobody_is_slowed_again_between_two_spells(self):
        """Guards against series that overlap and cut each other short."""
        slow_in_spells(Random(1), self.engines[:1], self.clock.callLater)
        (engine, *_) = self.engines
        self.clock.advance(0.01)
        self.clock.advance(0.65)
        self.assertEqual(1.0, engine.spell)
        before = len(self.clock.getDelayedCalls())
        self.assertGreater(before, 0)
        slow_in_spells(Random(2), self.engines[:1], self.clock.callLater)
        self.assertEqual(before, len(self.clock.getDelayedCalls()))
        self.clock.advance(12)
        slow_in_spells(Random(2), self.engines[:1], self.clock.callLater)
        self.assertNotEqual([], self.clock.getDelayedCalls())


class RestartsTest(TestCase):
    """Three plain endpoints and three engines."""

    def setUp(self):
        super().setUp()
        services = ["desk"] * 3 + ["llm"] * 3
        self.slots = [Slot(n, None, s, "a") for n, s in enumerate(services)]

    def test_a_third_is_chosen_and_never_all_of_a_service(self):
        """Guards against restarts that leave nobody to serve."""
        for seed in range(50):
            self.assertEqual(2, len(choose_slots(Random(seed), self.slots)))
            few = choose_slots(Random(seed), self.slots[2:4])
            self.assertEqual([], few)

    def test_all_start_again_at_once_three_times(self):
        clock = Clock()
        restarts = []
        chosen = self.slots[:2]
        restart_thrice(
            chosen,
            lambda slot: restarts.append((clock.seconds(), slot.address)),
            clock.callLater,
        )
        clock.pump([0.5] * 20)
        times = sorted({at for at, _ in restarts})
        self.assertEqual([0.5, 1.5, 3.0], times)
        self.assertEqual(6, len(restarts))
