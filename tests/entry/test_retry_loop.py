"""Tests of the number of attempts per call."""

from random import Random

from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.config.deployment import Kind
from magnolialug.entry.call import Call
from magnolialug.entry.progress import Ended
from magnolialug.entry.retryloop import RetryLoop, ServingContext
from magnolialug.policy.retry import Budget, Ending
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Executed, Failure, failed

KIND = Kind(60.0, idempotent=True, priority=1, default=True, max_tokens=8)


class FailingRunner:
    """An attempt runner whose attempts all end in the same way.

    Attributes:
      attempts: the number of attempts made.
    """

    def __init__(self, ending, events=0, max_attempts=40):
        self.attempts = 0
        self._ending = ending
        self._events = events
        self._max_attempts = max_attempts

    async def attempt(self, progress):
        """Makes one attempt."""
        if self.attempts == self._max_attempts:
            return failed(Code.NO_ENDPOINT)
        self.attempts += 1
        progress.seq += self._events
        return Ended(self._ending, failed(Code.OUTCOME_UNKNOWN))

    async def mark_not_run(self):
        """Does nothing."""


class RunsTest(TestCase):
    """The number of runs of a call that makes no progress is bounded."""

    def serve(self, runner):
        """Serves a call with unlimited attempts; returns its result."""
        clock = Clock()
        context = ServingContext(
            Budget(limit=30.0),
            lambda service: None,
            clock,
            Random(1),
            lambda: "00",
        )
        call = Call(
            team="t",
            service="s",
            kind_name="k",
            kind=KIND,
            root="",
            deadline=100.0,
            arrived=0.0,
        )
        found = []
        serving = RetryLoop(context, call, runner, RequestLog("r"))
        ensureDeferred(serving.run()).addCallback(found.append)
        for _ in range(90):
            clock.advance(1.0)
        return found[0]

    def test_call_that_crashes_endpoints_stops_after_three_runs(self):
        """Guards against one prompt crashing many engines.

        Completions were retried as long as the deadline and the retry budget
        allowed. A prompt that crashed each engine that ran it took down ten
        within two seconds.
        """
        for ending in (Ending.LOST, Ending.FAILED):
            runner = FailingRunner(ending)
            failure = self.serve(runner)
            self.assertIsInstance(failure, Failure)
            self.assertEqual(3, runner.attempts, ending)
            self.assertEqual(Executed.UNKNOWN, failure.executed)

    def test_refused_attempts_do_not_count_as_runs(self):
        for ending in (Ending.NOT_RUN, Ending.UNSENT):
            runner = FailingRunner(ending, max_attempts=12)
            self.serve(runner)
            self.assertEqual(12, runner.attempts, ending)

    def test_call_that_progresses_with_each_run_is_retried(self):
        runner = FailingRunner(Ending.LOST, events=2, max_attempts=12)
        self.serve(runner)
        self.assertEqual(12, runner.attempts)
