"""Asks another endpoint whether a stream that ended by a close is whole."""

import enum
from collections.abc import Callable, Coroutine

from magnolialug.entry.placer import Placed
from magnolialug.entry.progress import Ended, Progress
from magnolialug.ids import EndpointId
from magnolialug.policy.retry import Ending
from magnolialug.result import Code, failed

__all__ = ["EndConfirmation", "EndProof"]


class EndProof(enum.Enum):
    """What is known of the end of a stream that ended by a close.

    CONFIRMED: another endpoint has nothing to add.
    FALSE: another endpoint has added events.
    UNANSWERED: another endpoint was asked, and has not answered.
    NOT_ASKED: there was nobody to ask.
    """

    CONFIRMED = "confirmed"
    FALSE = "false"
    UNANSWERED = "unanswered"
    NOT_ASKED = "not asked"


class EndConfirmation:
    """Confirms the ends of a call's stream until one is proved.

    A living endpoint can break a stream off between two events and close in
    order. Where the stream may be resumed, another endpoint tells: it goes on
    behind the last event, or ends at once.

    An end that nobody can be asked about is one, as HTTP/1.1 says, unless an
    end of the same stream has proved false.

    Args:
      unproven: returns the endpoint of an end that only a close has told, None
        if the end is proved or cannot be confirmed.
      place: returns where to ask, None if nowhere.
      run: makes that attempt; returns how it ended, None if as whole.
      record: receives the endpoint of each such end, its last event, and what
        is known of it.
    """

    def __init__(
        self,
        unproven: Callable[[Progress], EndpointId | None],
        place: Callable[
            [Progress, EndpointId], Coroutine[None, None, Placed | None]
        ],
        run: Callable[[Placed, Progress], Coroutine[None, None, Ended | None]],
        record: Callable[[EndpointId, int, EndProof], None],
    ):
        self._unproven = unproven
        self._place = place
        self._run = run
        self._record = record

    async def confirm(self, progress: Progress) -> Ended | None:
        """Returns how a stream was lost, None if it may count as whole."""
        false_end: Ended | None = None
        while (source := self._unproven(progress)) is not None:
            seq = progress.seq
            placed = await self._place(progress, source)
            if placed is None:
                self._record(source, seq, EndProof.NOT_ASKED)
                return false_end
            ended = await self._run(placed, progress)
            if progress.seq == seq:
                return self._unchanged(source, seq, ended, false_end)
            self._record(source, seq, EndProof.FALSE)
            if ended is not None:
                return ended
            failure = failed(Code.OUTCOME_UNKNOWN, "the answer ended early")
            false_end = Ended(Ending.LOST, failure)
        return None

    def _unchanged(
        self,
        source: EndpointId,
        seq: int,
        ended: Ended | None,
        false_end: Ended | None,
    ) -> Ended | None:
        if ended is None:
            self._record(source, seq, EndProof.CONFIRMED)
            return None
        self._record(source, seq, EndProof.UNANSWERED)
        return false_end
