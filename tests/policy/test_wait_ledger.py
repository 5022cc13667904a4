"""Waits by flow, and what is usual among sizes.

Load pattern: too little room for some seconds, with waits of many teams and
dossiers, and reports that may be false.
"""

from testtools import TestCase

from magnolialug.policy.sizeclass import SizeClass, SizeClasses
from magnolialug.policy.waitledger import (
    FlowStanding,
    WaitLedger,
    WaitReport,
    flow_id,
)


class WaitLedgerTest(TestCase):
    """What a keeper knows of a flow."""

    def test_waits_add_up_and_fade(self):
        ledger = WaitLedger()
        ledger.record(WaitReport("a", 1, 1_000, 500), 0.0)
        ledger.record(WaitReport("a", 3, 600, 0), 0.0)
        found = ledger.standing("a", 0.0)
        self.assertEqual(FlowStanding("a", 4.0, 400, 500), found)
        later = ledger.standing("a", 15.0)
        self.assertAlmostEqual(1.47, later.waits)
        self.assertEqual((400, 184), (later.mean_ms, later.tokens))

    def test_a_flow_is_forgotten_when_its_waits_have_faded(self):
        ledger = WaitLedger()
        ledger.record(WaitReport("a", 1, 1_000), 0.0)
        found = ledger.standing("a", 60.0)
        self.assertEqual(FlowStanding("a", tokens=0), found)
        self.assertEqual(0, len(ledger))

    def test_a_report_of_an_earlier_moment_does_not_grow_the_sums(self):
        """Guards against waits that count more since they ended before."""
        ledger = WaitLedger()
        ledger.record(WaitReport("a", 1, 1_000), 20.0)
        ledger.record(WaitReport("a", 1, 1_000), 10.0)
        self.assertEqual(2.0, ledger.standing("a", 20.0).waits)

    def test_a_false_report_is_capped(self):
        """Guards against one report that outweighs all others for minutes."""
        ledger = WaitLedger()
        ledger.record(WaitReport("a", 10**9, 10**15, 10**15), 0.0)
        ledger.record(WaitReport("b", -5, -5, -5), 0.0)
        found = ledger.standing("a", 0.0)
        self.assertEqual((100.0, 15_000), (found.waits, found.mean_ms))
        self.assertEqual(100_000_000, found.tokens)
        self.assertEqual(1, len(ledger))
        ledger.record(WaitReport("c", 10**9, 10**15, 10**16), 0.0)
        found = ledger.standing("c", 0.0)
        self.assertEqual((100.0, 15_000), (found.waits, found.mean_ms))
        self.assertEqual(200_000_000, found.tokens)

    def test_a_clipped_report_keeps_its_means(self):
        """Guards against waits that look longer in an added-up report."""
        ledger = WaitLedger()
        ledger.record(WaitReport("a", 360, 360 * 2_000, 360 * 900), 0.0)
        found = ledger.standing("a", 0.0)
        self.assertEqual(FlowStanding("a", 100.0, 2_000, 90_000), found)

    def test_the_number_of_flows_is_bounded(self):
        """Guards against memory that grows with the names of dossiers."""
        ledger = WaitLedger()
        for number in range(25_000):
            ledger.record(WaitReport(flow_id("dossier", str(number)), 1), 0.0)
        self.assertEqual(4_000, len(ledger))

    def test_kinds_of_flows_do_not_collide(self):
        self.assertNotEqual(flow_id("team", "a"), flow_id("dossier", "a"))


class SizeClassesTest(TestCase):
    """The largest tenth and the next fifth of the recent prompts."""

    def test_shares_of_the_classes(self):
        classes = SizeClasses()
        for size in range(1, 101):
            classes.record(size)
        found = [classes.of(size) for size in range(1, 101)]
        self.assertEqual(10, found.count(SizeClass.LARGEST))
        self.assertEqual(20, found.count(SizeClass.LARGE))

    def test_equal_sizes_are_in_one_class(self):
        classes = SizeClasses()
        for _ in range(50):
            classes.record(9_000)
        self.assertEqual(SizeClass.REST, classes.of(9_000))

    def test_older_prompts_are_forgotten(self):
        classes = SizeClasses()
        for size in (*[50] * 200, *range(200)):
            classes.record(size)
        self.assertEqual(SizeClass.REST, classes.of(50))
        self.assertEqual(SizeClass.LARGEST, classes.of(199))
