"""The pace of engines that are unequally fast, and slow for moments.

Load pattern: a third of the engines is 1.3 times slower than the others for
good, and each is 2.5 times slower for moments of 0.6 s. Many entries send
prompts of 12,000 tokens, each a few a second to all engines together.
"""

from random import Random

from testtools import TestCase

from magnolialug.policy.enginepace import (
    DEFAULT_EVENT_S,
    EnginePace,
    expected_pause_s,
    merge_paces,
    weighted_median,
)
from magnolialug.policy.paceestimator import PaceEstimator
from magnolialug.policy.paceledger import PaceLedger

RATE = 57_000
SLOWER, MOMENT, MOMENT_S = 1.3, 2.5, 0.6
PROMPT = 12_000
# Tokens that fit between two events, and the time of an event by itself.
FIT, EVENT_S = 14_000, 0.03
# Latency targets are met with a wait that is wrong by a sixth.
NEAR = 1.17


class Fleet:
    """Entries that measure one engine in turn, and its owner."""

    def __init__(self, entries=20, per_s=10, jitter=0.1):
        self.ledger = PaceLedger()
        self.now = 0.0
        self.entries = [PaceEstimator() for _ in range(entries)]
        self._random = Random(7)
        self._interval_s = 1 / per_s
        self._jitter = jitter
        self._turn = 0

    def run(self, seconds, rate):
        """Measures an engine of a rate; returns the merged rates meanwhile."""
        until = self.now + seconds
        rates = []
        while self.now < until - 1e-9:
            self.now += self._interval_s
            self.measure(rate * self._random.uniform(0.9, 1.1))
            pace = self.ledger.pace(self.now)
            rates.append(pace.tokens_per_s if pace else 0)
        return rates

    def measure(self, rate):
        """Lets the next entry read one prompt and report it."""
        self._turn += 1
        number = self._turn % len(self.entries)
        estimator = self.entries[number]
        estimator.record_read(PROMPT, PROMPT / rate, self.now)
        self.ledger.record(str(number), estimator.pace(self.now), self.now)


class PaceCase(TestCase):
    """Compares rates."""

    def assert_near(self, expected, rate, factor=NEAR):
        """Checks that a rate is within a factor of the expected one."""
        self.assertTrue(
            expected / factor <= rate <= expected * factor, (expected, rate)
        )


class SlowEngineTest(PaceCase):
    """Guards against entries that take all engines for equally fast."""

    def test_a_lasting_change_is_known_within_a_second(self):
        fleet = Fleet()
        fleet.run(5, RATE)
        fleet.run(1, RATE / SLOWER)
        self.assert_near(RATE / SLOWER, fleet.run(0.1, RATE / SLOWER)[-1], 1.1)

    def test_a_lasting_change_outlasts_a_time_without_work(self):
        """Guards against a slow engine that looks fast once it is idle."""
        fleet = Fleet()
        fleet.run(5, RATE)
        fleet.run(5, RATE / SLOWER)
        rate = fleet.ledger.pace(fleet.now + 30).tokens_per_s
        self.assert_near(RATE / SLOWER, rate, 1.1)

    def test_the_slower_third_is_told_from_the_others(self):
        fast, slow = Fleet(), Fleet()
        for _ in range(10):
            for fleet, rate in ((fast, RATE), (slow, RATE / SLOWER)):
                fleet.run(3.4, rate)
                fleet.run(MOMENT_S, rate / MOMENT)
        for now in (fast.now + 3, fast.now + 30):
            ratio = (
                fast.ledger.pace(now).tokens_per_s
                / slow.ledger.pace(now).tokens_per_s
            )
            self.assert_near(SLOWER, ratio, 1.1)


class SlowMomentTest(PaceCase):
    """Guards against work for an engine that is slow at the moment."""

    def test_a_moment_shows_while_it_lasts(self):
        fleet = Fleet()
        fleet.run(5, RATE)
        rates = fleet.run(MOMENT_S, RATE / MOMENT)
        for rate in rates[-2:]:
            self.assert_near(RATE / MOMENT, rate)

    def test_the_engine_is_as_fast_as_before_after_it(self):
        fleet = Fleet()
        fleet.run(5, RATE)
        fleet.run(MOMENT_S, RATE / MOMENT)
        rates = fleet.run(1, RATE)
        for rate in rates[len(rates) // 2 :]:
            self.assert_near(RATE, rate)

    def test_the_engine_is_as_fast_as_before_without_work(self):
        """Guards against an engine that nobody tries again after a moment."""
        fleet = Fleet()
        fleet.run(5, RATE)
        fleet.run(MOMENT_S, RATE / MOMENT)
        rate = fleet.ledger.pace(fleet.now + 2).tokens_per_s
        self.assert_near(RATE, rate)

    def test_one_outlier_changes_little(self):
        """Guards against prompts that were cached, or preempted."""
        for factor in (0.1, 2):
            fleet = Fleet(per_s=2)
            fleet.run(10, RATE)
            fleet.now += 0.1
            fleet.measure(RATE * factor)
            rate = fleet.ledger.pace(fleet.now).tokens_per_s
            self.assert_near(RATE, rate)

    def test_a_slow_engine_is_reported_once_and_so_is_its_return(self):
        """Guards against a line for each sample near the limit."""
        ledger = PaceLedger()
        for now, (factor, change) in enumerate(
            (
                *[(1, None)] * 10,
                (SLOWER, None),
                (MOMENT, True),
                (1.5, None),
                (MOMENT, None),
                (1, False),
                (1.5, None),
            )
        ):
            for entry in "abc":
                pace = EnginePace(round(RATE / factor), 40, 2, 0)
                ledger.record(entry, pace, now)
            self.assertIs(change, ledger.take_change(now), factor)


class ReportTest(PaceCase):
    """Guards against reports that are false, late, lost or repeated."""

    def test_a_false_report_is_outweighed_by_one_fresh_sample(self):
        for false in (1, 10**9):
            fleet = Fleet(per_s=4)
            fleet.run(10, RATE)
            for _ in range(40):
                fleet.run(0.25, RATE)
                lie = EnginePace(false, false, 10**9, 0, false)
                fleet.ledger.record("false", lie, fleet.now)
                pace = fleet.ledger.pace(fleet.now)
                self.assert_near(RATE, pace.tokens_per_s, 1.3)

    def test_values_of_a_lone_false_report_are_bounded(self):
        """Guards against waits of no time, or of minutes."""
        for false in (-5, 1, 10**12):
            pace = merge_paces([EnginePace(false, false, 9, -7, false)])
            self.assertTrue(0 <= pace.tokens_per_s <= 120_000, pace)
            self.assertTrue(0 <= pace.event_ms <= 1_000, pace)
            self.assertTrue(expected_pause_s(50_000, pace) <= 11)

    def test_a_repeated_report_is_one_sample(self):
        """Guards against an outlier that counts with each repeated share."""
        ledger = PaceLedger()
        for number in range(3):
            ledger.record(str(number), EnginePace(RATE, 0, 1, 0), 0.0)
        for now_ms in range(0, 2000, 500):
            late = EnginePace(RATE // 3, 0, 1, now_ms)
            ledger.record("late", late, now_ms / 1000)
        rate = ledger.pace(2.0).tokens_per_s
        self.assert_near(RATE, rate)
        self.assert_near(RATE, ledger.usual.tokens_per_s)

    def test_a_late_report_weighs_less(self):
        reports = [EnginePace(RATE // 3, 0, 2, 1_500)] * 3
        reports.append(EnginePace(RATE, 0, 1, 0))
        self.assertEqual(RATE, merge_paces(reports).tokens_per_s)

    def test_a_new_owner_learns_from_repeated_shares(self):
        """Guards against an owner's death that leaves nobody with a pace."""
        fleet = Fleet()
        fleet.run(5, RATE / SLOWER)
        ledger = PaceLedger()
        self.assertIs(None, ledger.pace(fleet.now))
        now = fleet.now + 0.5
        for number, estimator in enumerate(fleet.entries):
            pace = estimator.pace(now)
            if pace is not None:
                ledger.record(str(number), pace, now)
        self.assert_near(RATE / SLOWER, ledger.pace(now).tokens_per_s)

    def test_an_entry_without_recent_samples_reports_nothing(self):
        estimator = PaceEstimator()
        self.assertIs(None, estimator.pace(0.0))
        self.assertTrue(estimator.record_read(PROMPT, PROMPT / RATE, 0.0))
        self.assertEqual(1, estimator.pace(1.0).samples)
        self.assertIs(None, estimator.pace(3.0))

    def test_a_cached_prompt_measures_nothing(self):
        """Guards against an engine that looks fast by what it had cached."""
        estimator = PaceEstimator()
        self.assertFalse(estimator.record_read(PROMPT, 0.01, 0.0))
        self.assertFalse(estimator.record_read(PROMPT, -0.01, 0.0))
        self.assertFalse(estimator.record_read(500, 0.01, 0.0))


class PauseTest(PaceCase):
    """Guards against pauses of streams that nobody expected."""

    KNOWN = EnginePace(RATE, 30, 9, 0)

    def estimator(self, pauses=20, factor=1.0):
        """Returns one that saw streams of an engine, and the time."""
        estimator = PaceEstimator()
        now = 0.0
        for _ in range(pauses):
            self.measure(estimator, 0, now, factor)
            now += 0.1
            self.measure(estimator, 40_000, now, factor)
            now += 0.3
        return estimator, now

    def measure(self, estimator, pending, now, factor=1.0):
        """Records a pause of an engine with prompt tokens to read."""
        pause_s = factor * (EVENT_S + min(pending, FIT) / RATE)
        return estimator.record_pause(pause_s, pending, self.KNOWN, now)

    def test_pauses_tell_what_an_engine_reads_between_two_events(self):
        estimator, now = self.estimator()
        pace = estimator.pace(now)
        self.assertEqual(30, pace.event_ms)
        self.assert_near(FIT, pace.event_tokens, 1.05)
        for pending in (0, 6_000, 40_000):
            pause_s = EVENT_S + min(pending, FIT) / RATE
            self.assert_near(pause_s, expected_pause_s(pending, pace), 1.05)

    def test_pauses_tell_the_rate(self):
        """Guards against a slow moment that shows with the next prompt only."""
        estimator, now = self.estimator()
        self.assert_near(RATE, estimator.pace(now).tokens_per_s, 1.05)
        for _ in range(3):
            now += MOMENT * EVENT_S
            self.measure(estimator, 0, now, MOMENT)
            now += MOMENT * FIT / RATE
            self.measure(estimator, 40_000, now, MOMENT)
        rate = estimator.pace(now).tokens_per_s
        self.assert_near(RATE / MOMENT, rate)

    def test_a_slow_moment_does_not_change_what_fits(self):
        estimator, now = self.estimator()
        for _ in range(4):
            now += 0.2
            self.measure(estimator, 90_000, now, MOMENT)
        self.assert_near(FIT, estimator.pace(now).event_tokens, 1.05)

    def test_little_to_read_measures_nothing(self):
        """Guards against jitter of the network that is taken for a pace."""
        estimator, now = self.estimator()
        self.assertFalse(self.measure(estimator, 300, now))
        self.assertFalse(estimator.record_pause(0.0, 0, None, now))

    def test_without_a_known_rate_only_idle_pauses_count(self):
        estimator = PaceEstimator()
        self.assertFalse(estimator.record_pause(0.3, 40_000, None, 0.0))
        self.assertTrue(estimator.record_pause(0.03, 0, None, 0.0))
        self.assertEqual(0, estimator.pace(0.0).tokens_per_s)

    def test_what_is_not_known_delays_no_stream(self):
        nothing = EnginePace(0, 0, 0, 0)
        self.assertEqual(DEFAULT_EVENT_S, expected_pause_s(9_000, nothing))

    def test_all_pending_tokens_may_come_between_two_events(self):
        """Guards against a short pause that is promised without knowledge."""
        pace = EnginePace(50_000, 40, 3, 0)
        self.assertAlmostEqual(1.04, expected_pause_s(50_000, pace))


class WeightedMedianTest(TestCase):
    """Guards against a median that one side's weight pulls over."""

    def test_half_of_the_weight_is_on_each_side(self):
        for rows, expected in (
            ([(3, 1)], 3),
            ([(1, 1), (9, 1)], 5),
            ([(9, 1), (1, 1.5)], 1),
            ([(9, 2), (8, 2), (1, 3)], 8),
            ([(5, 0.0)], 5),
        ):
            self.assertEqual(expected, weighted_median(rows), rows)
