"""Long prompts that arrive in waves beside streams and short prompts.

Load pattern: long prompts of 9,000 to 12,000 unread tokens come three at a time
to engines that write a few streams each, whose events may be 0.5 s apart, and
answer short prompts with a target of 0.5 s. An engine reads 50,000 tokens a
second, or 20,000 in a moment in which everything takes longer.
"""

from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.policy.admissionqueue import QueuedPrompt
from magnolialug.policy.endpointledger import EndpointLedger
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.prefilladmission import WrittenStreams, admits_prefill
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.sharedload import WorkShare

ENGINE = EndpointId("i-1")
MEMORY = 84_000
RATE = 50_000.0
SLOW_RATE = 20_000.0
LONG = 12_000
STREAMS = WrittenStreams(3, 0.5)
NOW = 10.0


class AdmitsPrefillTest(TestCase):
    """One more long prompt at an engine."""

    def test_a_second_long_prompt_waits_until_the_first_is_nearly_read(self):
        """Guards against a wave that is read at once, for half a second."""
        admitted = [
            pending
            for pending in range(0, LONG + 1, 1_000)
            if admits_prefill(STREAMS, pending, LONG, RATE)
        ]
        self.assertEqual([0, 1_000, 2_000, 3_000, 4_000, 5_000], admitted)

    def test_prompts_that_together_make_a_short_pause_go_together(self):
        """Guards against engines that wait for nothing."""
        self.assertTrue(admits_prefill(STREAMS, 9_000, 5_000, RATE))

    def test_a_slow_engine_reads_less_beside_its_streams(self):
        self.assertFalse(admits_prefill(STREAMS, 5_000, 5_000, SLOW_RATE))

    def test_an_engine_that_writes_nothing_takes_the_whole_wave(self):
        idle = WrittenStreams(0, 0.5)
        self.assertTrue(admits_prefill(idle, 5 * LONG, LONG, SLOW_RATE))

    def test_routes_that_name_no_pause_are_served_as_before(self):
        unbound = WrittenStreams(3, 0.0)
        self.assertTrue(admits_prefill(unbound, 5 * LONG, LONG, SLOW_RATE))


class LedgerTest(TestCase):
    """The queue of one engine that writes three streams."""

    def ledger(self, pending):
        """Returns the ledger of an engine that has so much to read."""
        ledger = EndpointLedger(ENGINE, MEMORY, 0)
        share = WorkShare(
            ENGINE, (0, pending), 30_000, 4, writing=3, gap_ms=500
        )
        ledger.record_share("front-1", share, NOW)
        return ledger

    def put(self, ledger, name, target_at):
        """Adds a long prompt with 0.4 s from admission to first event."""
        waiting = WaitingPrompt(0, 1, target_at, NOW + 4, 0.1, 0.4)
        row = QueuedPrompt(name, waiting, LONG, LONG, 0.5, 1, True, NOW)
        ledger.queue.put(row)

    def test_a_wave_is_admitted_one_at_a_time(self):
        """Guards against short prompts that meet a wave of long ones.

        Each admitted prompt is reserved and counts as pending at once.
        """
        ledger = self.ledger(pending=0)
        for name in "abc":
            self.put(ledger, name, NOW + 1)
        self.assertIsNotNone(ledger.grant_next(NOW, RATE))
        self.assertIsNone(ledger.grant_next(NOW, RATE))

    def test_a_prompt_is_admitted_while_it_can_be_in_time(self):
        """Guards against a wait that makes a prompt late.

        Once admitted, it is read behind 0.24 s of others, and its own first
        event takes 0.4 s.
        """
        ledger = self.ledger(pending=LONG)
        self.put(ledger, "a", NOW + 1.0)
        granted_at = NOW
        while ledger.grant_next(granted_at, RATE) is None:
            granted_at += 0.02
        self.assertTrue(NOW + 0.2 < granted_at < NOW + 1.0 - 0.64)

    def test_one_that_waits_for_the_streams_holds_up_no_other(self):
        """Guards against late prompts behind one that has time to spare.

        Memory is free, and the one in front is first in this queue.
        """
        ledger = self.ledger(pending=LONG)
        self.put(ledger, "has time", NOW + 2)
        self.put(ledger, "late", NOW - 1)
        self.assertEqual("late", ledger.grant_next(NOW, RATE).ticket)

    def test_no_prompt_waits_for_its_target_to_pass(self):
        ledger = self.ledger(pending=LONG)
        self.put(ledger, "late", NOW - 1)
        self.assertIsNotNone(ledger.grant_next(NOW, RATE))


class EngineLoadTest(TestCase):
    """What an entry decides by itself, before it asks for admission."""

    def test_own_and_other_entries_streams_and_prompts_count(self):
        load = EngineLoad(MEMORY, 64)
        self.assertTrue(load.admits_prefill(LONG))
        prompt = Prompt("m", (Part("a", 900),), LONG, 8)
        load.sent("1", "s", prompt, LONG, 1, NOW, 0.5)
        load.first_event("1", NOW + 0.3)
        self.assertTrue(load.admits_prefill(LONG))
        load.sent("2", "s", prompt, LONG, 1, NOW, 0.5)
        self.assertTrue(load.admits_prefill(5_000))
        load.sent("3", "s", prompt, LONG, 1, NOW, 0.5)
        self.assertFalse(load.admits_prefill(5_000))
