"""The admission queue of one engine."""

from testtools import TestCase

from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.policy.admissionqueue import AdmissionQueue, QueuedPrompt


def row(name, target_at, ends_at, tokens=12_000, first=True, lists=1):
    """Returns a queued prompt whose place was renewed at time 10."""
    waiting = WaitingPrompt(0, 1, target_at, ends_at, tokens / 100_000)
    return QueuedPrompt(name, waiting, tokens, tokens, 0.15, lists, first, 10.0)


def queue_of(*rows, grants=0):
    """Returns a queue after some grants at time 9.9."""
    queue = AdmissionQueue()
    for number in range(grants):
        queue.put(row(f"gone{number}", 9.0, 20.0))
        queue.take_next(9.9, lambda _: True)
    for one in rows:
        queue.put(one)
    return queue


class AdmissionQueueTest(TestCase):
    """Which prompt is admitted, overtaken, refused early or dropped."""

    def test_prompts_that_cannot_meet_their_deadline_are_refused_at_once(self):
        """Two grants per second, and five prompts that will be late."""
        rows = [row(n, 9.0, 11.0 + n / 10) for n in range(5)]
        queue = queue_of(*rows, grants=4)
        refused = [
            n for n in range(5) if queue.retry_after_s(n, 10.0) is not None
        ]
        self.assertEqual([2, 3, 4], refused)

    def test_a_prompt_in_several_queues_counts_in_each_for_a_share(self):
        """Guards against early refusals of prompts that wait in four queues.

        Symptom: callers are refused while engines admit other prompts. Cause:
        each prompt ahead was counted as admitted here, although three in four
        are admitted by another engine.
        """
        rows = [row(n, 9.0, 11.0 + n / 10, lists=4) for n in range(5)]
        queue = queue_of(*rows, grants=4)
        refused = [
            n for n in range(5) if queue.retry_after_s(n, 10.0) is not None
        ]
        self.assertEqual([], refused)

    def test_nothing_is_refused_early_while_the_grant_rate_is_unknown(self):
        queue = queue_of(row("a", 9.0, 10.1), grants=2)
        self.assertIsNone(queue.retry_after_s("a", 10.0))

    def test_small_prompts_overtake_a_large_one_except_in_one_queue(self):
        """Guards against four engines that keep memory free for one prompt.

        Symptom: a tenth of all memory stays unused while prompts wait.
        Sequence: a prompt of 60,000 tokens waits in four queues, and no other
        may overtake it in any of them. Cause: only one engine will run it.
        """

        def small(one):
            return one.tokens < 50_000

        for first, expected in ((True, None), (False, "small")):
            large = row("large", 10.5, 14.0, 60_000, first)
            queue = queue_of(large, row("small", 11.4, 14.0))
            granted = queue.take_next(10.0, small)
            self.assertEqual(expected, granted and granted.ticket, first)

    def test_a_renewed_prompt_keeps_its_place(self):
        queue = queue_of(row("a", 9.0, 14.0), row("b", 9.0, 14.0))
        queue.put(row("a", 9.0, 14.0))
        self.assertEqual("a", queue.take_next(10.0, lambda _: True).ticket)
        self.assertEqual(["b"], queue.tickets())

    def test_a_prompt_that_is_not_renewed_is_dropped(self):
        queue = queue_of(row("a", 9.0, 14.0))
        queue.drop_expired(10.7)
        self.assertEqual(1, len(queue))
        queue.drop_expired(10.9)
        self.assertEqual(0, len(queue))
