"""Prompts that wait in the queues of several engines."""

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.owners.admissionclient import AdmissionRequest
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.result import Code, Failure, failed
from tests.loglines import collect_lines
from tests.owners.fleet import MEMORY, Fleet


class AdmissionClientTest(TestCase):
    """A prompt is admitted by the first engine with free memory."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(Clock(), 6, 4)
        self.entries = list(self.fleet.entries.values())
        self.results = []

    def fill(self, *engines):
        """Fills engines with another entry's work."""
        for engine in engines:
            self.entries[0].start_request(engine, unread=0, held=MEMORY)
        self.fleet.pass_time(0.02)

    def enqueue_prompt(
        self,
        entry=None,
        engines=("i-0", "i-1"),
        tokens=12_000,
        refusal=lambda: None,
        **times,
    ):
        """Adds a prompt to some queues; its result goes to `results`."""
        now = self.fleet.clock.seconds()
        waiting = WaitingPrompt(
            number=0,
            priority=1,
            target_at=now + times.get("target_s", 0.6),
            ends_at=now + times.get("ends_s", 1.4),
        )
        requests = [
            AdmissionRequest(engine, tokens, tokens) for engine in engines
        ]
        entry = entry or self.entries[1]
        result = entry.owners.admission_client.enqueue(
            waiting, requests, 0.5, refusal
        )
        result.addCallback(self.results.append)
        result.addErrback(lambda reason: None)
        self.fleet.pass_time(0.01)
        return result

    def place_count(self):
        """Returns the number of places taken in all queues."""
        return sum(
            entry.owners.admission_queues.waiting for entry in self.entries
        )

    def test_a_prompt_is_admitted_by_the_first_engine_with_memory(self):
        self.fill("i-0", "i-1")
        self.enqueue_prompt()
        self.fleet.pass_time(0.3)
        self.assertEqual(([], 2), (self.results, self.place_count()))
        self.entries[0].end_requests("i-1")
        self.fleet.pass_time(0.06)
        self.assertEqual((["i-1"], 0), (self.results, self.place_count()))

    def test_a_prompt_that_may_not_be_sent_any_more_is_refused(self):
        """Guards against poison prompts that wait until their deadline."""
        refusals = [None]
        self.fill("i-0", "i-1")
        self.enqueue_prompt(refusal=lambda: refusals[0])
        self.fleet.pass_time(0.3)
        self.assertEqual([], self.results)
        refusals[0] = failed(Code.QUARANTINED)
        self.fleet.pass_time(0.25)
        self.assertEqual(refusals, self.results)
        self.assertEqual(0, self.place_count())

    def test_a_failed_renewal_does_not_end_the_others(self):
        """Guards against deadlines that pass unseen after one exception."""
        self.fill("i-0", "i-1")
        fails = [True]

        def refusal():
            if fails.pop():
                raise ValueError("renewal failed")

        self.enqueue_prompt(refusal=lambda: refusal() if fails else None)
        lines = collect_lines(self)
        self.fleet.pass_time(0.3)
        (line,) = [row for row in lines if "TASK_FAILED" in row]
        self.assertIn("renewal failed", line)
        self.fleet.pass_time(2.0)
        self.assertEqual(Code.NO_ROOM, self.results[0].code)

    def test_memory_for_one_prompt_admits_one_prompt(self):
        """Several entries have prompts for the same free memory.

        Guards against engines that get several times as many prompts as their
        memory holds. With 68 entries that each admitted prompts by their own
        estimate, all saw the same free memory at the same time.
        """
        self.fill("i-0")
        for entry in self.entries[1:]:
            self.enqueue_prompt(entry, engines=("i-0",), tokens=100_000)
        self.entries[0].end_requests("i-0")
        self.fleet.pass_time(0.05)
        self.assertEqual(["i-0"], self.results)

    def test_an_unused_reservation_expires(self):
        self.fill("i-0")
        first, second = self.entries[1:3]
        self.enqueue_prompt(first, engines=("i-0",), tokens=100_000)
        first.alive = False
        self.enqueue_prompt(second, engines=("i-0",), tokens=100_000)
        self.entries[0].end_requests("i-0")
        self.fleet.pass_time(0.2)
        self.assertEqual(["i-0"], self.results)

    def test_a_cancelled_prompt_leaves_all_queues(self):
        self.fill("i-0", "i-1")
        result = self.enqueue_prompt()
        result.cancel()
        self.fleet.pass_time(0.01)
        self.assertEqual(0, self.place_count())
        self.assertEqual(0, self.entries[1].owners.admission_client.waiting)

    def test_a_prompt_not_admitted_in_time_is_refused(self):
        self.fill("i-0", "i-1")
        self.enqueue_prompt(ends_s=0.5)
        self.fleet.pass_time(0.8)
        (refused,) = self.results
        self.assertIsInstance(refused, Failure)
        self.assertEqual(Code.NO_ROOM, refused.code)
        self.assertEqual(0, self.place_count())

    def test_a_prompt_is_placed_again_when_the_owner_dies(self):
        """The owner of an engine dies while prompts wait in its queue.

        Guards against prompts refused after a second although other engines
        have free memory. The fault was that only a reply of the owner ended the
        wait.
        """
        self.fill("i-0")
        owner = self.fleet.owner("i-0")
        entry = next(e for e in self.entries[1:] if e is not owner)
        self.enqueue_prompt(entry, engines=("i-0",))
        owner.alive = False
        self.fleet.pass_time(0.8)
        self.assertEqual([None], self.results)

    def test_the_queue_of_a_removed_engine_is_left(self):
        self.fill("i-0", "i-1")
        self.enqueue_prompt()
        self.fleet.engines.remove("i-0")
        self.fleet.pass_time(0.3)
        self.assertEqual(([], 1), (self.results, self.place_count()))
        self.fleet.engines.remove("i-1")
        self.fleet.pass_time(0.3)
        self.assertEqual([None], self.results)

    def test_lost_messages_are_repeated(self):
        self.fill("i-0")
        self.fleet.is_lost = lambda sender, to: True
        self.enqueue_prompt(engines=("i-0",))
        self.fleet.is_lost = lambda sender, to: False
        self.entries[0].end_requests("i-0")
        self.fleet.pass_time(0.5)
        self.assertEqual(["i-0"], self.results)
