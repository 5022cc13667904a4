"""Memory that late prompts leave free for prompts that can be in time.

Load pattern: engines fail, prompts wait until they can only be late, and the
engines return. If late prompts take all memory that becomes free, new prompts
have to wait for memory too, and become late as well.
"""

from testtools import TestCase

from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.policy.admissionqueue import QueuedPrompt
from magnolialug.policy.endpointledger import EndpointLedger
from magnolialug.policy.sharedload import WorkShare

MEMORY = 100_000
RATE = 100_000.0


def ledger_with(held):
    """Returns an engine's ledger with `held` tokens of memory in use."""
    ledger = EndpointLedger("i-1", MEMORY, 0)
    share = WorkShare("i-1", (), held, 8, last_contact_ms=0, oldest_ms=0)
    ledger.record_share("front-1", share, 10.0)
    return ledger


def put(ledger, name, target_at):
    """Adds a prompt of 10,000 tokens to the queue."""
    waiting = WaitingPrompt(0, 1, target_at, 14.0, 0.1)
    row = QueuedPrompt(name, waiting, 10_000, 1_000, 0.5, 1, True, 10.0)
    ledger.queue.put(row)


class LateHeadroomTest(TestCase):
    """An engine with room for one more prompt."""

    def test_a_late_prompt_does_not_take_the_last_free_memory(self):
        ledger = ledger_with(held=83_000)
        put(ledger, "late", target_at=9.0)
        self.assertIsNone(ledger.grant_next(10.0, RATE))

    def test_a_prompt_that_can_be_in_time_takes_the_last_free_memory(self):
        ledger = ledger_with(held=83_000)
        put(ledger, "late", target_at=9.0)
        put(ledger, "fresh", target_at=10.8)
        self.assertEqual("fresh", ledger.grant_next(10.0, RATE).ticket)

    def test_a_late_prompt_is_admitted_with_more_free_memory(self):
        ledger = ledger_with(held=75_000)
        put(ledger, "late", target_at=9.0)
        self.assertEqual("late", ledger.grant_next(10.0, RATE).ticket)
