"""Holds long prompts back while no engine has memory for them."""

import itertools
from collections.abc import Callable, Iterable

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.policy.turns import (
    TurnRate,
    Waiting,
    in_turn,
    in_vain,
    patience_s,
)
from magnolialug.result import Code, Failure, failed

__all__ = ["WaitingRoom"]

# Room is looked for this often. Load reports of other entries come every 20
# ms; a look costs some 50 us for each prompt that is tried.
_LOOK_S = 0.02
# Prompts that take less of an engine's memory never wait for it.
_LARGE_SHARE = 0.04
# Expected from a prompt's turn to its first event while engines are busy.
_FIRST_EVENT_S = 0.35
# A prompt that has not had its turn this long before its caller leaves is
# refused, so that the caller can come back: on a busy engine its first event
# takes that long. Half of it lost 30 callers on a day of overload after their
# prompts had been read.
_MARGIN_S = 1.0
# When a refused caller may come back: when those who wait have had their turns,
# and within these bounds. What holds an engine's memory now is written in two
# to four seconds.
_RETRY_AFTER_S = 1.0
_RETRY_AFTER_BOUNDS_S = (0.5, 3.0)


class _Row(msgspec.Struct):
    waiting: Waiting
    call: ForwardCall
    turn: Deferred


class WaitingRoom:
    """Lets prompts go on, in turn, when an engine has room.

    An engine that admits more prompts than its memory holds pushes the newest
    out again in the middle of its answer and reads it anew. That takes the
    time in which others would have been written, so all stay longer, and the
    memory stays full: one would notice engines that are congested long after
    the load that caused it has gone.

    Args:
      clock: for time and timers.
      size: returns the share of an engine's memory that a call takes.
      fits: tells whether an engine has room for a large call now.
    """

    def __init__(
        self,
        clock: IReactorTime,
        size: Callable[[ForwardCall], float],
        fits: Callable[[ForwardCall], bool],
    ):
        self._clock = clock
        self._size = size
        self._fits = fits
        self._rows: dict[int, _Row] = {}
        self._numbers = itertools.count()
        self._timer = None
        self._rate = TurnRate()

    @property
    def waiting(self) -> int:
        """How many prompts wait."""
        return len(self._rows)

    def enter(self, call: ForwardCall) -> Deferred[Failure | None] | None:
        """Returns None if a call may go on at once, or what to wait for.

        The deferred brings None when it is the call's turn, or a failure if
        no room was found while its caller still waited.
        """
        if self._size(call) < _LARGE_SHARE:
            return None
        if not self._rows and self._fits(call):
            return None
        number = next(self._numbers)
        turn: Deferred[Failure | None] = Deferred(
            lambda _: self._rows.pop(number, None)
        )
        self._rows[number] = _Row(self._waiting(number, call), call, turn)
        self._look_later()
        return turn

    def _waiting(self, number: int, call: ForwardCall) -> Waiting:
        route = call.route
        patience = patience_s(route.target_s, route.gap_s)
        ends_at = min(call.deadline, call.arrived + patience)
        return Waiting(
            number=number,
            priority=call.priority,
            target_at=call.arrived + route.target_s,
            ends_at=ends_at - _MARGIN_S,
            size=self._size(call),
        )

    def _look_later(self) -> None:
        if self._timer is None and self._rows:
            self._timer = self._clock.callLater(_LOOK_S, self._look)

    def _look(self) -> None:
        self._timer = None
        now = self._clock.seconds()
        waiting = [row.waiting for row in self._rows.values()]
        ordered = in_turn(waiting, now, _FIRST_EVENT_S)
        left = self._refuse(ordered, now)
        self._let_go(left, now)
        self._look_later()

    def _refuse(self, ordered: list[Waiting], now: float) -> list[Waiting]:
        """Refuses those who wait in vain; returns the others."""
        per_s = self._rate.per_s(now)
        vain = [place for place in ordered if now >= place.ends_at]
        if per_s is not None:
            vain = in_vain(ordered, now, _FIRST_EVENT_S, per_s)
        for place in vain:
            self._end(place, self._no_room(per_s))
        return [place for place in ordered if place.number in self._rows]

    def _no_room(self, per_s: float | None) -> Failure:
        after_s = _RETRY_AFTER_S
        if per_s is not None:
            least_s, most_s = _RETRY_AFTER_BOUNDS_S
            after_s = min(most_s, max(least_s, len(self._rows) / per_s))
        reason = "no engine has memory for it in time"
        return failed(Code.NO_ROOM, reason, retry_after_s=after_s)

    def _let_go(self, ordered: Iterable[Waiting], now: float) -> None:
        """Lets prompts go until one does not fit; nobody overtakes it."""
        for place in ordered:
            row = self._rows.get(place.number)
            if row is None:
                # Its caller left when an earlier one was let go.
                continue
            if not self._fits(row.call):
                return
            self._rate.went(now)
            self._end(place, None)

    def _end(self, place: Waiting, result: Failure | None) -> None:
        self._rows.pop(place.number).turn.callback(result)
