"""One list of waiting prompts for each engine."""

from testtools import TestCase

from magnolialug.policy.admissionorder import Waiting
from magnolialug.policy.admissionqueue import AdmissionQueue, Queued


def row(name, target_at, ends_at, tokens=12_000, first=True, lists=1):
    """Returns a prompt that was heard of at time 10."""
    waiting = Waiting(0, 1, target_at, ends_at, tokens / 100_000)
    return Queued(name, waiting, tokens, tokens, 0.15, lists, first, 10.0)


def queue_of(*rows, turns=0):
    """Returns a list after some turns at time 9.9."""
    queue = AdmissionQueue()
    for number in range(turns):
        queue.put(row(f"gone{number}", 9.0, 20.0))
        queue.take_next(9.9, lambda _: True)
    for one in rows:
        queue.put(one)
    return queue


class AdmissionQueueTest(TestCase):
    """Who goes, who is overtaken, who waits in hopeless."""

    def test_who_waits_in_vain_is_told_so_at_once(self):
        """Two turns a second, and five who will be late."""
        rows = [row(n, 9.0, 11.0 + n / 10) for n in range(5)]
        queue = queue_of(*rows, turns=4)
        hopeless = [
            n for n in range(5) if queue.hopeless_after_s(n, 10.0) is not None
        ]
        self.assertEqual([2, 3, 4], hopeless)

    def test_who_is_on_several_lists_counts_on_each_for_a_part(self):
        """Prompts wait on four lists, and are refused as if on one.

        Symptom: callers are sent away while engines let others go. Cause:
        everybody ahead was taken to have its turn here, though three in four
        have it elsewhere.
        """
        rows = [row(n, 9.0, 11.0 + n / 10, lists=4) for n in range(5)]
        queue = queue_of(*rows, turns=4)
        hopeless = [
            n for n in range(5) if queue.hopeless_after_s(n, 10.0) is not None
        ]
        self.assertEqual([], hopeless)

    def test_nothing_is_in_vain_before_turns_have_been_seen(self):
        queue = queue_of(row("a", 9.0, 10.1), turns=2)
        self.assertIsNone(queue.hopeless_after_s("a", 10.0))

    def test_small_ones_overtake_only_on_its_other_lists(self):
        """A large prompt waits for four engines, and all of them wait for it.

        Symptom: a tenth of all memory stands empty while prompts wait.
        Sequence: a prompt of 60,000 tokens waits on four lists, nobody may
        overtake it on any. Cause: it can go to one engine only.
        """

        def small(one):
            return one.tokens < 50_000

        for first, expected in ((True, None), (False, "small")):
            large = row("large", 10.5, 14.0, 60_000, first)
            queue = queue_of(large, row("small", 11.4, 14.0))
            went = queue.take_next(10.0, small)
            self.assertEqual(expected, went and went.ticket, first)

    def test_one_that_says_again_that_it_waits_keeps_its_place(self):
        queue = queue_of(row("a", 9.0, 14.0), row("b", 9.0, 14.0))
        queue.put(row("a", 9.0, 14.0))
        self.assertEqual("a", queue.take_next(10.0, lambda _: True).ticket)
        self.assertEqual(["b"], queue.tickets())

    def test_one_that_is_not_heard_of_is_dropped(self):
        queue = queue_of(row("a", 9.0, 14.0))
        queue.forget_silent(10.7)
        self.assertEqual(1, len(queue))
        queue.forget_silent(10.9)
        self.assertEqual(0, len(queue))
