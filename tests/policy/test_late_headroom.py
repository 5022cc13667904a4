"""Room that prompts which will be late leave to those that can be in time.

The pattern: engines are lost, prompts wait until they can only be late, and the
engines return. As long as late ones take all the room that comes, whoever
arrives has to wait for it too, and is late in turn.
"""

from testtools import TestCase

from magnolialug.policy.admissionorder import Waiting
from magnolialug.policy.admissionqueue import Queued
from magnolialug.policy.endpointledger import EndpointLedger
from magnolialug.policy.sharedload import WorkShare

MEMORY = 100_000
RATE = 100_000.0


def ledger(held):
    """Returns an engine's ledger with some of its memory taken."""
    made = EndpointLedger("i-1", MEMORY, 0)
    share = WorkShare("i-1", (), held, 8, heard_ms=0, oldest_ms=0)
    made.told("front-1", share, 10.0)
    return made


def put(made, name, target_at):
    """Puts a prompt of 10,000 tokens on the list."""
    waiting = Waiting(0, 1, target_at, 14.0, 0.1)
    row = Queued(name, waiting, 10_000, 1_000, 0.5, 1, True, 10.0)
    made.queue.put(row)


class LateHeadroomTest(TestCase):
    """An engine with room for one more prompt."""

    def test_a_late_one_does_not_take_the_last_room(self):
        made = ledger(held=83_000)
        put(made, "late", target_at=9.0)
        self.assertIsNone(made.grant_next(10.0, RATE))

    def test_one_that_can_be_in_time_takes_it(self):
        made = ledger(held=83_000)
        put(made, "late", target_at=9.0)
        put(made, "fresh", target_at=10.8)
        self.assertEqual("fresh", made.grant_next(10.0, RATE).ticket)

    def test_a_late_one_goes_where_more_is_free(self):
        made = ledger(held=75_000)
        put(made, "late", target_at=9.0)
        self.assertEqual("late", made.grant_next(10.0, RATE).ticket)
