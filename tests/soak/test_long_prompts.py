"""What the soak takes for short prompts that long ones hold up."""

from collections import Counter
from random import Random

from testtools import TestCase

from magnolialug.soak.historychecker import Form, Sent
from magnolialug.soak.longprompts import (
    SHORT_TARGET_S,
    LongPrompts,
    compare_shares,
)

PER_SECOND = 10


def shares(late, count):
    """Returns prompts of which some are late, at any time."""
    prompts = [False] * late + [True] * (count - late)
    Random(1).shuffle(prompts)
    return by_second(prompts)


def by_second(prompts):
    """Returns prompts, in their order, each with its second."""
    return [(n // PER_SECOND, row) for n, row in enumerate(prompts)]


class CompareSharesTest(TestCase):
    """Prompts beside waves and without, and how many of them are late."""

    def test_a_difference_beyond_the_bound_and_chance_is_found(self):
        """Guards against short prompts that pay for long ones."""
        for late, count, without_late in ((30, 300, 0), (60, 600, 12)):
            beside, without = shares(late, count), shares(without_late, count)
            self.assertNotEqual("", compare_shares(beside, without))

    def test_what_chance_explains_is_none(self):
        for late, without_late in ((0, 0), (12, 0), (20, 10), (10, 20)):
            beside, without = shares(late, 300), shares(without_late, 300)
            self.assertEqual("", compare_shares(beside, without))

    def test_with_many_prompts_little_more_than_the_bound_is_found(self):
        without = shares(0, 20_000)
        self.assertEqual("", compare_shares(shares(390, 20_000), without))
        self.assertNotEqual("", compare_shares(shares(500, 20_000), without))

    def test_two_seconds_in_which_all_are_late_are_chance(self):
        """Guards against runs of late prompts that count as independent."""
        run = by_second([False] * 20 + [True] * 280)
        self.assertEqual("", compare_shares(run, shares(0, 300)))
        self.assertNotEqual("", compare_shares(shares(30, 300), shares(0, 300)))

    def test_seconds_in_which_all_are_late_are_found_if_they_are_many(self):
        """Guards against an error that hides what waves do."""
        prompts = ([False] * 20 + [True] * 40) * 5
        found = compare_shares(by_second(prompts), shares(0, 300))
        self.assertNotEqual("", found)

    def test_of_few_prompts_nothing_is_said(self):
        self.assertEqual("", compare_shares(shares(99, 99), shares(0, 300)))
        self.assertEqual("", compare_shares(shares(300, 300), shares(0, 99)))


class _Client:
    shares = None
    paused = False


class LongPromptsTest(TestCase):
    """Short prompts of which each tenth of a second brings one."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.calm = True
        self.timers = []
        self.broken = []
        self.rows = []
        self.late = False
        self.client = _Client()
        self.waves = LongPrompts(
            [self.client],
            lambda: self.now,
            lambda seconds, *call: self.timers.append(
                (self.now + seconds, call)
            ),
            lambda: self.calm,
            lambda promise, detail: self.broken.append(promise),
        )

    def play(self, seconds, form=Form.DRAFT):
        """Lets time pass; each prompt is late while `late` is set."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            due = [row for row in self.timers if row[0] <= self.now]
            self.timers = [row for row in self.timers if row not in due]
            for _, (call, *args) in due:
                call(*args)
            self.waves.look()
            row = Sent("r", form, "POST", "/", b"", "t", "m", self.now, 6.0)
            took_s = SHORT_TARGET_S * (2.0 if self.late else 0.5)
            row.first_event_at = self.now + took_s
            self.rows.append(row)

    def check(self):
        """Returns the promises that are broken, and how many prompts count."""
        outcomes = Counter()
        self.waves.check(self.rows, outcomes)
        return self.broken, outcomes

    def wave(self, late):
        """Plays a wave of 20 s beside prompts that may be late."""
        self.waves.begin(20.0)
        self.late = late
        self.play(20.0)
        self.late = False

    def test_callers_send_while_a_wave_lasts(self):
        self.assertTrue(self.client.paused)
        self.waves.begin(2.0)
        self.assertFalse(self.client.paused)
        self.play(2.1)
        self.assertTrue(self.client.paused)
        self.assertEqual({Form.LONG: 1}, self.client.shares)

    def test_waves_keep_a_distance(self):
        """Guards against waves that leave no time to compare with."""
        self.waves.begin(2.0)
        self.play(2.1)
        self.waves.begin(2.0)
        self.assertTrue(self.client.paused)
        self.play(3.0)
        self.waves.begin(2.0)
        self.assertFalse(self.client.paused)

    def test_late_prompts_in_a_wave_are_found(self):
        self.play(20.0)
        self.wave(late=True)
        broken, outcomes = self.check()
        self.assertEqual(["SHORT"], broken)
        self.assertGreater(outcomes["short beside long, late"], 150)

    def test_prompts_that_are_late_at_any_time_are_not_the_wave_s(self):
        self.late = True
        self.play(20.0)
        self.wave(late=True)
        self.assertEqual([], self.check()[0])

    def test_what_comes_just_before_or_after_a_wave_counts_for_neither(self):
        self.play(10.0)
        self.wave(late=False)
        self.play(10.0)
        outcomes = self.check()[1]
        self.assertLess(outcomes["short beside long"], 200)
        self.assertLess(outcomes["short without long"], 190)

    def test_times_with_faults_do_not_count(self):
        """Guards against a fault of another kind that a wave is blamed for."""
        self.play(20.0)
        self.calm = False
        self.wave(late=True)
        broken, outcomes = self.check()
        self.assertEqual(([], 0), (broken, outcomes["short beside long"]))

    def test_a_machine_that_stands_still_does_not_count(self):
        self.play(5.0)
        self.now += 2.0
        row = Sent("r", Form.DRAFT, "POST", "/", b"", "t", "m", 6.0, 6.0)
        self.rows.append(row)
        self.play(5.0)
        self.assertEqual(0, self.check()[1]["short without long, late"])

    def test_other_requests_do_not_count(self):
        self.play(5.0, Form.READ)
        self.play(5.0, Form.LONG)
        self.assertEqual(0, self.check()[1]["short without long"])

    def test_callers_that_leave_early_do_not_count_but_others_do(self):
        """Guards against prompts that hang until their callers leave."""
        self.play(5.0)
        for row, waited_s in zip(self.rows, (0.1, 6.0), strict=False):
            row.first_event_at = None
            row.left_at = row.at + waited_s
        self.assertEqual(1, self.check()[1]["short without long, late"])
