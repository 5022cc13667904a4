"""Attempts of one call that run at the same time."""

from collections.abc import Callable
from functools import partial

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.entry.httpattempt import HttpAttempt, Outcome
from magnolialug.entry.progress import Ended
from magnolialug.policy.retry import Ending

__all__ = ["AttemptRace"]

# What is told of several attempts that all failed: the ending that promises the
# least.
_SEVERITY = (
    Ending.UNSENT,
    Ending.NOT_RUN,
    Ending.LOST,
    Ending.FAILED,
    Ending.CUT,
)


class AttemptRace:
    """Runs attempts side by side until one has answered or all have failed.

    The first attempt with something to forward wins, and the others are ended
    before it is forwarded. So the caller never gets two answers, and an attempt
    is not given up before another one has taken its place.

    Attributes:
      done: fires with None if the caller received the whole answer, or else
        with how the attempts ended.

    Args:
      on_end: receives each attempt that ends, with its outcome, None if it was
        cancelled.
    """

    def __init__(self, on_end: Callable[[HttpAttempt, Outcome | None], None]):
        self.done: Deferred[Ended | None] = Deferred(self._cancelled)
        self._on_end = on_end
        self._running: list[HttpAttempt] = []
        self._sent = 0
        self._ended: Ended | None = None

    @property
    def running_count(self) -> int:
        """The number of attempts that have not ended."""
        return len(self._running)

    @property
    def newest(self) -> HttpAttempt:
        """The attempt that was added last, of those that have not ended."""
        return self._running[-1]

    def add(self, attempt: HttpAttempt) -> None:
        """Adds an attempt that is about to be sent."""
        self._running.append(attempt)
        for running in self._running:
            running.contested = len(self._running) > 1
        attempt.done.addCallbacks(
            partial(self._on_outcome, attempt),
            partial(self._on_cancelled, attempt),
        ).addErrback(self._fail)

    def win(self, winner: HttpAttempt) -> None:
        """Ends all attempts but the one whose answer is forwarded."""
        for attempt in list(self._running):
            if attempt is not winner:
                attempt.supersede()

    def _on_outcome(self, attempt: HttpAttempt, outcome: Outcome) -> None:
        self._running.remove(attempt)
        self._on_end(attempt, outcome)
        if outcome.ended is None:
            self._finish(None)
            self.win(attempt)
            return
        if outcome.ended.ending is not Ending.UNSENT:
            self._sent += outcome.ended.sent
        self._ended = _more_severe(self._ended, outcome.ended)
        if not self._running:
            ended = Ended(self._ended.ending, self._ended.failure, self._sent)
            self._finish(ended)

    def _on_cancelled(
        self, attempt: HttpAttempt, reason: TwistedFailure
    ) -> None:
        self._running.remove(attempt)
        self._on_end(attempt, None)
        reason.trap(CancelledError)

    def _finish(self, ended: Ended | None) -> None:
        if not self.done.called:
            self.done.callback(ended)

    def _fail(self, reason: TwistedFailure) -> None:
        if not self.done.called:
            self.done.errback(reason)
        self._cancelled(self.done)

    def _cancelled(self, _: Deferred) -> None:
        for attempt in list(self._running):
            attempt.cancel()


def _more_severe(one: Ended | None, other: Ended) -> Ended:
    if one is None:
        return other
    return max(one, other, key=lambda end: _SEVERITY.index(end.ending))
