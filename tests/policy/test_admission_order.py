"""Admission order of prompts that wait for engine memory.

Load pattern: a third of the engines fails for some seconds, while callers send
as much as all engines together could just serve. The memory of the others is
full, prompts wait, and each admitted prompt occupies memory for some seconds.
Figures: four engines hold eight prompts of 12,000 tokens each (107,000 tokens
of memory). A prompt takes 3.2 s from prefill to its last token. Callers send
11.5 prompts per second, want the first event within 1 s and disconnect after
4 s. The sizes are those of the busiest day measured, when four of six engines
were left.
"""

from testtools import TestCase

from magnolialug.policy.admissionorder import (
    GrantRate,
    WaitingPrompt,
    admission_order,
    caller_timeout_s,
    cannot_meet_deadline,
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
    """Orders prompts by arrival."""
    return sorted(waiting, key=lambda row: row.number)


def in_time(order):
    """Returns the shares of prompts whose first event is in time or late."""
    waiting, ends, arrived, counts = [], [], {}, {"in time": 0, "late": 0}
    number, now = 0, 0.0
    while now < LOST_S:
        while number < now * PER_S:
            waiting.append(
                WaitingPrompt(number, 0, now + TARGET_S, now + PATIENCE_S)
            )
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
    """Prompts that can still be in time go before those that cannot."""

    def test_more_are_in_time_than_in_order_of_arrival(self):
        ordered = in_time(admission_order)
        queued = in_time(by_arrival)
        self.assertGreater(ordered["in time"], 0.75)
        self.assertLess(queued["in time"], 0.65)
        served = ordered["in time"] + ordered["late"]
        self.assertGreater(served, queued["in time"] + queued["late"] - 0.03)

    def test_order_by_priority_lateness_and_due_time(self):
        fresh = WaitingPrompt(5, 1, target_at=11.0, ends_at=14.0)
        fresher = WaitingPrompt(6, 1, target_at=11.5, ends_at=14.5)
        late = WaitingPrompt(2, 1, target_at=9.0, ends_at=12.0)
        later = WaitingPrompt(1, 1, target_at=8.0, ends_at=13.0)
        urgent = WaitingPrompt(9, 0, target_at=8.0, ends_at=14.0)
        rows = [later, fresher, late, urgent, fresh]
        ordered = admission_order(rows, 10.0)
        self.assertEqual([urgent, fresh, fresher, late, later], ordered)

    def test_a_long_expected_first_event_makes_a_prompt_late_earlier(self):
        """Its first event would take longer than the 0.5 s to its target."""
        quick = WaitingPrompt(1, 1, 10.6, 14.0, first_event_s=0.3)
        slow = WaitingPrompt(2, 1, 10.5, 13.0, first_event_s=0.6)
        self.assertFalse(quick.is_late(10.0))
        self.assertTrue(slow.is_late(10.0))
        self.assertEqual([quick, slow], admission_order([slow, quick], 10.0))

    def test_a_large_prompt_goes_ahead_of_its_due_time(self):
        small = WaitingPrompt(1, 1, target_at=11.0, ends_at=14.0, size=0.05)
        large = WaitingPrompt(2, 1, target_at=11.4, ends_at=14.4, size=0.25)
        later = WaitingPrompt(3, 1, target_at=12.5, ends_at=15.5, size=0.25)
        ordered = admission_order([small, later, large], 10.0)
        self.assertEqual([large, small, later], ordered)

    def test_a_prompt_that_can_be_in_time_is_not_refused(self):
        fresh = WaitingPrompt(1, 1, target_at=10.9, ends_at=12.0)
        self.assertFalse(cannot_meet_deadline(fresh, 10.0, 9.0, per_s=2.0))

    def test_a_prompt_past_its_deadline_cannot_meet_it(self):
        expired = WaitingPrompt(1, 1, target_at=9.0, ends_at=9.9)
        self.assertTrue(cannot_meet_deadline(expired, 10.0, 0.0, per_s=50.0))

    def test_grant_rate_over_the_window(self):
        rate = GrantRate()
        self.assertIsNone(rate.per_s(0.0))
        for at in (1.0, 1.2, 1.4, 2.0):
            rate.record_grant(at)
        self.assertEqual(2.0, rate.per_s(2.1))
        self.assertEqual(1.5, rate.per_s(3.1))
        self.assertIsNone(rate.per_s(3.3))

    def test_caller_timeout(self):
        for target_s, gap_s, expected_s in (
            (1.0, 0.5, 4.0),
            (0.8, 0.25, 3.2),
            (0.4, 0.25, 2.0),
            (0.1, 0.6, 4.8),
        ):
            self.assertAlmostEqual(
                expected_s, caller_timeout_s(target_s, gap_s)
            )
