"""Starts a second attempt of a call beside one that is overdue."""

from collections.abc import Callable, Coroutine

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.entry.attemptrace import AttemptRace
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.placer import Placed
from magnolialug.events import Event, emit

__all__ = ["Hedging"]

# An overdue attempt and the one that may take its place.
_MAX_RUNNING = 2
# Shortest and longest pause before another endpoint is looked for again, if
# there was none.
_LOOK_AGAIN_S = (0.25, 1.0)
# For how long two engines work on a stream that has begun. An engine that has
# not refused it for so long will most likely go on with it.
_MAX_OVERLAP_S = 0.35


class Hedging:
    """Adds attempts to a race while its running one is overdue.

    The overdue attempt goes on: its endpoint may only have paused, and no other
    endpoint is certain to answer. If its stream has begun, it is ended once a
    sound endpoint has had the request for a while.

    Args:
      place: returns where a further attempt is made, None if nowhere for now.
      send: makes an attempt there.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        race: AttemptRace,
        place: Callable[[HttpAttempt], Coroutine[None, None, Placed | None]],
        send: Callable[[Placed], None],
        clock: Callable[[], float],
    ):
        self._race = race
        self._place = place
        self._send = send
        self._clock = clock
        self._look_s = _LOOK_AGAIN_S[0]
        self._look_at = float("-inf")
        self._placing: Deferred | None = None

    def on_overdue(self, attempt: HttpAttempt) -> None:
        """Looks for another endpoint, unless that is under way or done."""
        now = self._clock()
        if self._race.running_count >= _MAX_RUNNING:
            self._end_overlap(attempt, now)
            return
        if self._placing is not None or now < self._look_at:
            return
        self._look_at = now + self._look_s
        self._look_s = min(2 * self._look_s, _LOOK_AGAIN_S[1])
        self._placing = ensureDeferred(self._hedge(attempt))
        self._placing.addErrback(self._on_error)
        self._placing.addBoth(self._on_placed)

    def stop(self) -> None:
        """Looks for no further endpoint."""
        self._look_at = float("inf")
        if self._placing is not None:
            self._placing.cancel()

    def _end_overlap(self, attempt: HttpAttempt, now: float) -> None:
        """Ends a stream that has begun where another engine has it."""
        hedge = self._race.newest
        if attempt is hedge or not attempt.has_begun_stream:
            return
        if now - hedge.sent_at >= _MAX_OVERLAP_S and hedge.peer.sound(now):
            attempt.supersede()

    async def _hedge(self, attempt: HttpAttempt) -> None:
        placed = await self._place(attempt)
        if placed is not None and not self._race.done.called:
            self._send(placed)

    def _on_error(self, reason: TwistedFailure) -> None:
        if not reason.check(CancelledError):
            emit(Event.TASK_FAILED, traceback=reason.getTraceback())

    def _on_placed(self, _: None) -> None:
        self._placing = None
