"""Prompts that wait for memory, and who goes first.

The pattern: a third of the engines is lost for some seconds while callers send
what all of them could just have served. The engines' memory is full, prompts
wait, and each that is let in takes a place for some seconds. Figures: four
engines hold eight prompts of 12,000 tokens each (107,000 tokens of memory);
one is read and written in 3.2 s; callers send 11.5 a second, want the first
event within a second and leave after four. These are the sizes of the busiest
day measured, where four of six engines were left.
"""

from testtools import TestCase

from magnolialug.policy.admissionorder import (
    GrantRate,
    Waiting,
    admission_order,
    is_hopeless,
    patience_s,
)

PLACES = 32
HELD_S = 3.2
PER_S = 11.5
TARGET_S = 1.0
PATIENCE_S = 4.0
LOST_S = 14.0
FIRST_S = 0.35
STEP_S = 0.02


def by_arrival(waiting, now):
    """Orders prompts as they came."""
    return sorted(waiting, key=lambda row: row.number)


def in_time(order):
    """Returns the shares of prompts that were in time, and that were late."""
    waiting, ends, arrived, counts = [], [], {}, {"in time": 0, "late": 0}
    number, now = 0, 0.0
    while now < LOST_S:
        while number < now * PER_S:
            waiting.append(Waiting(number, 0, now + TARGET_S, now + PATIENCE_S))
            arrived[number] = now
            number += 1
        ends = [end for end in ends if end > now]
        waiting = [row for row in waiting if row.ends_at > now]
        for row in order(waiting, now):
            if len(ends) >= PLACES:
                break
            waiting.remove(row)
            ends.append(now + HELD_S)
            soon = now + FIRST_S <= row.target_at
            counts["in time" if soon else "late"] += 1
        now += STEP_S
    return {name: count / number for name, count in counts.items()}


class AdmissionOrderTest(TestCase):
    """Who can still be in time goes before who cannot."""

    def test_most_are_in_time_where_in_order_of_arrival_few_are(self):
        ordered = in_time(admission_order)
        queued = in_time(by_arrival)
        self.assertGreater(ordered["in time"], 0.75)
        self.assertLess(queued["in time"], 0.65)
        served = ordered["in time"] + ordered["late"]
        self.assertGreater(served, queued["in time"] + queued["late"] - 0.03)

    def test_order(self):
        fresh = Waiting(5, 1, target_at=11.0, ends_at=14.0)
        fresher = Waiting(6, 1, target_at=11.5, ends_at=14.5)
        late = Waiting(2, 1, target_at=9.0, ends_at=12.0)
        later = Waiting(1, 1, target_at=8.0, ends_at=13.0)
        urgent = Waiting(9, 0, target_at=8.0, ends_at=14.0)
        rows = [later, fresher, late, urgent, fresh]
        ordered = admission_order(rows, 10.0)
        self.assertEqual([urgent, fresh, fresher, late, later], ordered)

    def test_one_that_takes_long_to_read_is_late_sooner(self):
        """Half a second before its target, reading it takes longer."""
        quick = Waiting(1, 1, 10.6, 14.0, first_event_s=0.3)
        slow = Waiting(2, 1, 10.5, 13.0, first_event_s=0.6)
        self.assertFalse(quick.is_late(10.0))
        self.assertTrue(slow.is_late(10.0))
        self.assertEqual([quick, slow], admission_order([slow, quick], 10.0))

    def test_a_large_one_goes_ahead_of_its_time(self):
        small = Waiting(1, 1, target_at=11.0, ends_at=14.0, size=0.05)
        large = Waiting(2, 1, target_at=11.4, ends_at=14.4, size=0.25)
        later = Waiting(3, 1, target_at=12.5, ends_at=15.5, size=0.25)
        ordered = admission_order([small, later, large], 10.0)
        self.assertEqual([large, small, later], ordered)

    def test_who_can_be_in_time_waits_on(self):
        fresh = Waiting(1, 1, target_at=10.9, ends_at=12.0)
        self.assertFalse(is_hopeless(fresh, 10.0, 9.0, per_s=2.0))

    def test_one_whose_time_is_over_waits_in_vain(self):
        over = Waiting(1, 1, target_at=9.0, ends_at=9.9)
        self.assertTrue(is_hopeless(over, 10.0, 0.0, per_s=50.0))

    def test_the_rate_of_turns(self):
        rate = GrantRate()
        self.assertIsNone(rate.per_s(0.0))
        for at in (1.0, 1.2, 1.4, 2.0):
            rate.record_grant(at)
        self.assertEqual(2.0, rate.per_s(2.1))
        self.assertEqual(1.5, rate.per_s(3.1))
        self.assertIsNone(rate.per_s(3.3))

    def test_patience(self):
        for target_s, gap_s, expected_s in (
            (1.0, 0.5, 4.0),
            (0.8, 0.25, 3.2),
            (0.4, 0.25, 2.0),
            (0.1, 0.6, 4.8),
        ):
            self.assertAlmostEqual(expected_s, patience_s(target_s, gap_s))
