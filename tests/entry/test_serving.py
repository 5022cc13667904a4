"""How often one call is tried, whatever becomes of its attempts."""

from random import Random

from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.config.deployment import Kind
from magnolialug.entry.call import Call
from magnolialug.entry.progress import Ended
from magnolialug.entry.serving import Means, Serving
from magnolialug.policy.retry import Budget, Ending
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Executed, Failure, failed

KIND = Kind(60.0, idempotent=True, priority=1, default=True, max_tokens=8)


class Endpoints:
    """Endpoints that all end a call's attempts in the same way.

    Attributes:
      tried: how many were tried.
      words: how many events each adds before it ends.
    """

    def __init__(self, ending, words=0, most=40):
        self.tried = 0
        self._ending = ending
        self._words = words
        self._most = most

    async def attempt(self, progress):
        """Makes one attempt."""
        if self.tried == self._most:
            return failed(Code.NO_ENDPOINT)
        self.tried += 1
        progress.seq += self._words
        return Ended(self._ending, failed(Code.OUTCOME_UNKNOWN))

    async def unrun(self):
        """Has nothing to undo."""


class RunsTest(TestCase):
    """A call that no attempt brings further ends a few endpoints at most."""

    def serve(self, endpoints):
        """Serves a call that may go to any number of endpoints."""
        clock = Clock()
        means = Means(
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
        serving = Serving(means, call, endpoints, RequestLog("r"))
        ensureDeferred(serving.run()).addCallback(found.append)
        for _ in range(90):
            clock.advance(1.0)
        return found[0]

    def test_a_call_under_which_endpoints_end_is_not_sent_to_all(self):
        """A prompt ends each engine that runs it.

        Symptom: ten engines end within two seconds of one call. Sequence: a
        sidecar reports that the run failed; the entry sends the call to the
        next one. Cause: completions went on as long as wait and retry budget
        allowed, which for a busy service is many endpoints.
        """
        for ending in (Ending.LOST, Ending.FAILED):
            endpoints = Endpoints(ending)
            failure = self.serve(endpoints)
            self.assertIsInstance(failure, Failure)
            self.assertEqual(3, endpoints.tried, ending)
            self.assertEqual(Executed.UNKNOWN, failure.executed)

    def test_endpoints_that_refuse_do_not_count(self):
        for ending in (Ending.NOT_RUN, Ending.UNSENT):
            endpoints = Endpoints(ending, most=12)
            self.serve(endpoints)
            self.assertEqual(12, endpoints.tried, ending)

    def test_an_answer_that_comes_further_each_time_goes_on(self):
        endpoints = Endpoints(Ending.LOST, words=2, most=12)
        self.serve(endpoints)
        self.assertEqual(12, endpoints.tried)
