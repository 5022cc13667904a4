"""Admission to an engine that is slower than its owner's own requests tell.

Load pattern: long prompts wait for room at engines of which a third is 1.3
times slower, and each 2.5 times slower for moments.
"""

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.events import Event
from magnolialug.ids import EndpointId
from magnolialug.owners.admissionqueues import AdmissionQueues
from magnolialug.owners.ledgers import EndpointFacts, Ledgers
from magnolialug.owners.messages import AdmissionState, Enqueue
from magnolialug.policy.enginepace import EnginePace
from magnolialug.policy.sharedload import WorkShare
from tests.loglines import collect_lines

ENGINE = EndpointId("i-1")
MEMORY = 140_000
RATE = 75_000.0
CLIENT = ("10.0.0.1", 7000)
# Prefill that is pending when the prompt is queued, and the longest wait for it
# that the prompt allows.
PENDING, AHEAD_MS = 12_000, 250


class PacedAdmissionTest(TestCase):
    """Guards against prompts that are admitted at a pace that isn't there."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(1.0)
        self.replies = []
        facts = EndpointFacts(MEMORY, RATE, open=True, sound=True, born_ms=1)
        self.ledgers = Ledgers(lambda _: facts)
        self.queues = AdmissionQueues(self.ledgers, self.receive, self.clock)
        self.addCleanup(self.queues.stop)

    def receive(self, reply, client):
        """Collects what the owner replies."""
        self.replies.append(reply)

    def report(self, rate, entries=3, pending=PENDING):
        """Lets entries report work at the engine and its pace."""
        for number in range(entries):
            pace = EnginePace(round(rate), 40, 2, 0) if rate else None
            reading = (0, pending) if not number else ()
            share = WorkShare(ENGINE, reading, 12_000, 1, born_ms=1, pace=pace)
            self.ledgers.of(ENGINE, 1).record_share(
                f"front-{number}", share, self.clock.seconds()
            )

    def is_granted(self):
        """Queues a prompt; returns whether it is admitted at once."""
        message = Enqueue(
            "front-9",
            1,
            ENGINE,
            tokens=12_000,
            unread=12_000,
            ahead_ms=AHEAD_MS,
            priority=1,
            target_ms=800,
            ends_ms=8_000,
            queue_count=1,
            is_first_choice=True,
        )
        self.queues.enqueue(message, CLIENT)
        self.clock.advance(0.05)
        return self.replies[-1].state is AdmissionState.GRANTED

    def test_the_owners_own_rate_holds_without_a_pace(self):
        self.report(None)
        self.assertTrue(self.is_granted())

    def test_a_measured_pace_takes_the_place_of_the_owners_rate(self):
        self.report(RATE / 2)
        self.assertFalse(self.is_granted())

    def test_an_engine_that_is_slow_is_logged_once(self):
        """Guards against a slow engine that no operator can see."""
        lines = collect_lines(self)
        self.report(RATE)
        for rate in (RATE / 2.5, RATE / 2.5, RATE, RATE):
            self.clock.advance(1.0)
            self.report(rate)
            self.ledgers.drop_expired(self.clock.seconds())
        text = "".join(map(str, lines))
        self.assertEqual(1, text.count(Event.ENGINE_SLOW.name))
        self.assertEqual(1, text.count(Event.ENGINE_PACE_BACK.name))
