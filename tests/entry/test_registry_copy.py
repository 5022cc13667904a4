"""Tests of reads that confirm the copy of the registry."""

from testtools import TestCase
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from magnolialug.entry.registrycopy import RegistryCopy
from magnolialug.result import Code, failed


class RegistryCopyTest(TestCase):
    """Callers that must not miss an endpoint wait for a read."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(100)
        self.reads = []
        self.counted = []
        self.entries = 1
        self.copy = RegistryCopy(
            self.begin_read,
            lambda: 7,
            lambda: False,
            1000.0,
            lambda: self.entries,
            self.clock,
            self.counted.append,
        )

    def begin_read(self):
        """Begins a read, which the test ends."""
        self.reads.append(Deferred())
        return self.reads[-1]

    def ask(self):
        """Returns the answers of one caller."""
        answers = []
        ensureDeferred(self.copy.confirm()).addCallback(answers.append)
        return answers

    def test_read_that_began_before_the_question_confirms_nothing(self):
        """Guards against changes that came between a read and its answer."""
        first = self.ask()
        second = self.ask()
        self.reads[0].callback(None)
        self.assertEqual(([True], []), (first, second))
        self.clock.advance(0.1)
        self.reads[1].callback(None)
        self.assertEqual([True], second)

    def test_all_who_wait_share_a_read(self):
        """Guards against a call to the service for each return."""
        first = self.ask()
        rest = [self.ask() for _ in range(20)]
        self.reads[0].callback(None)
        self.clock.advance(0.1)
        self.reads[1].callback(None)
        self.assertEqual([[True]] * 21, [first, *rest])
        self.assertEqual(2, len(self.reads))

    def test_failed_read_answers_all_who_wait(self):
        """Guards against callers who wait for one failure after another."""
        callers = [self.ask(), self.ask()]
        self.reads[0].callback(failed(Code.KV_TIMEOUT))
        self.assertEqual([[False], [False]], callers)
        self.assertEqual(1, len(self.reads))
        self.assertEqual([False], self.counted)

    def test_read_without_an_answer_ends_after_its_bound(self):
        """Guards against callers who wait for a service that is silent."""
        caller = self.ask()
        self.clock.advance(0.51)
        self.assertEqual([False], caller)

    def test_read_that_raises_answers_all_who_wait(self):
        """Guards against callers who wait for ever after an exception."""
        caller = self.ask()
        self.reads[0].errback(ValueError("odd"))
        self.assertEqual([False], caller)
        again = self.ask()
        self.clock.advance(0.1)
        self.reads[1].callback(None)
        self.assertEqual([True], again)

    def test_caller_who_leaves_does_not_end_the_wait_of_others(self):
        """Guards against an answer to one caller that ends the read."""
        first = ensureDeferred(self.copy.confirm())
        second = self.ask()
        first.addErrback(lambda _: None)
        first.cancel()
        self.reads[0].callback(None)
        self.clock.advance(0.1)
        self.reads[1].callback(None)
        self.assertEqual([True], second)

    def test_reads_of_all_entries_stay_within_a_share_of_the_quota(self):
        """Guards against returns that use up the service's calls."""
        self.entries = 10
        answers = []
        for _ in range(200):
            answers += [self.ask() for _ in range(3)]
            for read in self.reads:
                if not read.called:
                    read.callback(None)
            self.clock.advance(0.01)
        self.assertLessEqual(len(self.reads), 21)
        self.assertIn([True], answers)

    def test_caller_who_would_wait_long_for_a_read_is_answered_at_once(self):
        """Guards against a wait for calls that others have used up."""
        self.entries = 100
        self.ask()
        self.reads[0].callback(None)
        self.assertEqual([False], self.ask())
