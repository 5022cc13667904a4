"""One call from its first attempt to its last word."""

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

__all__ = ["Carrier", "Means", "Serving"]

# Runs of one call that bring its answer no further. A call that ends whatever
# runs it would otherwise take down an endpoint with each try, ten of a busy
# service; one that meets three bad endpoints by chance is rare.
_VAIN_RUNS = 3


class Carrier(Protocol):
    """Takes one call's attempts to endpoints, one after another."""

    async def attempt(self, progress: Progress) -> Served | Ended | Failure:
        """Places and makes one attempt.

        Returns:
          a whole answer; or how the attempt ended; or a failure if there is
          no endpoint to try, which ends the call.
        """

    async def unrun(self) -> None:
        """Learns that no attempt ran and none will."""


class Means(msgspec.Struct, frozen=True):
    """What an entry serves its calls with.

    Attributes:
      retried: is told the service of each retry.
      new_hex: makes the unguessable part of request ids.
      backoff: the pauses between attempts.
    """

    budget: Budget
    retried: Callable[[str], None]
    clock: IReactorTime
    random: Random
    new_hex: Callable[[], str]
    backoff: Callable[[], Backoff] = Backoff


class Serving:
    """Tries a call again as long as that is allowed."""

    def __init__(
        self, means: Means, call: Call, carrier: Carrier, log: RequestLog
    ):
        self._means = means
        self._log = log
        self._call = call
        self._carrier = carrier
        self._progress = Progress()
        self._sent = 0
        self._vain_runs = 0
        self._seq = 0
        self._may_have_run = False
        self._last: Failure | None = None

    async def run(self) -> Served | Failure:
        """Returns a whole answer, or a failure that speaks of all attempts."""
        backoff = self._means.backoff()
        while True:
            end = await self._carrier.attempt(self._progress)
            if isinstance(end, Served):
                return end
            if isinstance(end, Failure):
                return await self._refused(self._cause(end))
            self._last = end.failure
            refusal = self._why_no_retry(end)
            if refusal:
                self._log.emit(Event.NOT_RETRIED, **explain(refusal))
                return await self._refused(end.failure)
            self._log_retry(end)
            await sleep(self._means.clock, backoff.next(self._means.random))

    def _cause(self, failure: Failure) -> Failure:
        """Returns why there is no endpoint left, if one has refused before.

        That nobody else can take a request tells its caller less than why
        the last one who could has not.
        """
        if failure.code is Code.NO_ENDPOINT and self._last:
            return self._last
        return failure

    def _why_no_retry(self, end: Ended) -> Failure | None:
        if end.ending not in (Ending.NOT_RUN, Ending.UNSENT):
            self._may_have_run = True
            self._count_run()
        if end.ending is not Ending.UNSENT:
            self._sent += 1
        return may_retry(
            end.ending,
            self._call.kind.idempotent,
            self._call.deadline - self._means.clock.seconds(),
            self._progress.first_at is not None,
            self._means.budget,
            self._call.service,
            min(self._call.attempts - self._sent, _VAIN_RUNS - self._vain_runs),
        )

    def _count_run(self) -> None:
        """Counts runs since the answer last came further."""
        further = self._progress.seq > self._seq
        self._seq = self._progress.seq
        self._vain_runs = 0 if further else self._vain_runs + 1

    def _log_retry(self, end: Ended) -> None:
        self._means.retried(self._call.service)
        self._log.emit(
            Event.RETRIED,
            team=self._call.team,
            kind=self._call.kind_name,
            ending=end.ending.value,
            **explain(end.failure),
        )

    async def _refused(self, failure: Failure) -> Failure:
        """Returns a failure that speaks of all attempts, not of the last.

        An idempotent request whose first attempt was lost and whose second
        was refused would otherwise be reported as not run.
        """
        if failure.executed is not Executed.NO:
            return failure
        if self._may_have_run:
            return msgspec.structs.replace(failure, executed=Executed.UNKNOWN)
        await self._carrier.unrun()
        return failure
