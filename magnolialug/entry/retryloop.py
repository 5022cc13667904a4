"""Serves one call, retrying failed attempts."""

from collections.abc import Callable
from random import Random
from typing import Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.entry.call import Call
from magnolialug.entry.progress import Ended, Progress, Served
from magnolialug.events import Event, explain
from magnolialug.policy.retry import Backoff, Budget, Ending, may_retry
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Executed, Failure
from magnolialug.timing import sleep

__all__ = ["AttemptRunner", "ServingContext", "RetryLoop"]

# Bound of the consecutive runs of a call that add nothing to its answer. A call
# that crashes its endpoint would otherwise take down one endpoint with each
# retry, ten of a busy service. A call rarely meets three bad endpoints by
# chance.
_MAX_RUNS_WITHOUT_PROGRESS = 3
# Bound of the sends beyond a route's attempts, for endpoints at whose address
# another start has answered. A few starts unknown here are met by chance; more
# would let one request spend the retry budget of its whole service.
_MAX_MISDIRECTED = 3


class AttemptRunner(Protocol):
    """Makes the attempts of one call, one after another."""

    async def attempt(self, progress: Progress) -> Served | Ended | Failure:
        """Places and makes one attempt.

        Returns:
          a complete answer; or how the attempt ended; or a failure if there
          is no endpoint to try, which ends the call.
        """

    async def mark_not_run(self) -> None:
        """Records that no attempt ran and none will."""


class ServingContext(msgspec.Struct, frozen=True):
    """Shared dependencies for serving calls.

    Attributes:
      on_retry: receives the service of each retry.
      new_hex: returns the unguessable part of a request id.
      backoff: the pauses between attempts.
    """

    budget: Budget
    on_retry: Callable[[str], None]
    clock: IReactorTime
    random: Random
    new_hex: Callable[[], str]
    backoff: Callable[[], Backoff] = Backoff


class RetryLoop:
    """Retries the attempts of a call while deadline and limits allow."""

    def __init__(
        self,
        context: ServingContext,
        call: Call,
        runner: AttemptRunner,
        log: RequestLog,
    ):
        self._context = context
        self._log = log
        self._call = call
        self._runner = runner
        self._progress = Progress()
        self._sent = 0
        self._misdirected = 0
        self._runs_without_progress = 0
        self._seq = 0
        self._may_have_run = False
        self._last_failure: Failure | None = None

    async def run(self) -> Served | Failure:
        """Returns a complete answer, or a failure that covers all attempts."""
        backoff = self._context.backoff()
        while True:
            end = await self._runner.attempt(self._progress)
            if isinstance(end, Served):
                return end
            if isinstance(end, Failure):
                return await self._final_failure(self._root_cause(end))
            self._last_failure = end.failure
            refusal = self._retry_refusal(end)
            if refusal:
                self._log.emit(Event.NOT_RETRIED, **explain(refusal))
                return await self._final_failure(end.failure)
            self._log_retry(end)
            await sleep(self._context.clock, backoff.next(self._context.random))

    def _root_cause(self, failure: Failure) -> Failure:
        """Returns the last endpoint's failure in place of NO_ENDPOINT.

        Why the last endpoint failed tells the caller more than that no other
        endpoint can take the request.
        """
        if failure.code is Code.NO_ENDPOINT and self._last_failure:
            return self._last_failure
        return failure

    def _retry_refusal(self, end: Ended) -> Failure | None:
        if end.ending not in (Ending.NOT_RUN, Ending.UNSENT):
            self._may_have_run = True
            self._count_runs(end.sent)
        if end.ending is not Ending.UNSENT:
            self._sent += end.sent
        if end.ending is Ending.NOT_RUN and not end.sent:
            self._misdirected += 1
        return may_retry(
            end.ending,
            self._call.kind.idempotent,
            self._call.deadline - self._context.clock.seconds(),
            self._progress.first_at is not None,
            self._context.budget,
            self._call.service,
            min(
                self._call.attempts - self._sent,
                self._call.attempts
                + _MAX_MISDIRECTED
                - self._sent
                - self._misdirected,
                _MAX_RUNS_WITHOUT_PROGRESS - self._runs_without_progress,
            ),
        )

    def _count_runs(self, runs: int) -> None:
        """Counts the runs since the answer last progressed."""
        further = self._progress.seq > self._seq
        self._seq = self._progress.seq
        self._runs_without_progress = (
            0 if further else self._runs_without_progress + runs
        )

    def _log_retry(self, end: Ended) -> None:
        self._context.on_retry(self._call.service)
        self._log.emit(
            Event.RETRIED,
            team=self._call.team,
            kind=self._call.kind_name,
            ending=end.ending.value,
            **explain(end.failure),
        )

    async def _final_failure(self, failure: Failure) -> Failure:
        """Returns a failure that covers all attempts, not only the last.

        Otherwise an idempotent request whose first attempt was lost and whose
        second was refused would be reported as not run.
        """
        if failure.executed is not Executed.NO:
            return failure
        if self._may_have_run:
            return msgspec.structs.replace(failure, executed=Executed.UNKNOWN)
        await self._runner.mark_not_run()
        return failure
