"""Prompts of this entry that wait for their turn at the homes of engines."""

import itertools
from collections.abc import Callable, Iterable

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.homes.homebook import HomeBook
from magnolialug.homes.messages import Turn, TurnWord, Unwait, Wait
from magnolialug.ids import EndpointId
from magnolialug.policy.turns import Waiting
from magnolialug.result import Code, Failure, failed

__all__ = ["Bid", "Waits"]

# A prompt says this often that it waits; datagrams get lost, and a home that
# hears nothing for 0.8 s takes it from its list.
_REPEAT_S = 0.2
# A home that says nothing for this long is gone, or does not reach us.
_SILENT_S = 0.5
_RETRY_AFTER_S = 1.0


class Bid(msgspec.Struct, frozen=True):
    """What a prompt would take of one engine.

    Attributes:
      tokens: of its memory.
      unread: tokens that it would have to read.
    """

    endpoint: EndpointId
    tokens: int
    unread: int


class _Line(msgspec.Struct):
    """One engine's list, as the prompt knows it."""

    bid: Bid
    home: Address
    first: bool
    heard_at: float
    vain_s: float | None = None


class _Row(msgspec.Struct):
    waiting: Waiting
    ahead_s: float
    lines: dict[EndpointId, _Line]
    turn: Deferred


class Waits:
    """Puts a prompt on the lists of several engines; the first turn counts.

    A list of each entry's own sees neither the others' prompts nor, in time,
    what they send; the list of one engine moves on only when that engine has
    room. On a few lists at once, a prompt goes where room comes first.

    Args:
      entry: names this start of this process.
      send: sends a message to an entry.
    """

    def __init__(
        self,
        entry: str,
        book: HomeBook,
        send: Callable[[Wait | Unwait, Address], None],
        clock: IReactorTime,
    ):
        self._entry = entry
        self._book = book
        self._send = send
        self._clock = clock
        self._rows: dict[int, _Row] = {}
        self._numbers = itertools.count(1)
        self._timer = None

    @property
    def waiting(self) -> int:
        """How many prompts wait."""
        return len(self._rows)

    def enter(
        self, waiting: Waiting, bids: Iterable[Bid], ahead_s: float
    ) -> Deferred[EndpointId | Failure | None]:
        """Returns what brings the engine to go to.

        It brings a failure if no turn comes in time, and None if none of the
        homes answers or all engines are gone: then the prompt is to be placed
        anew.

        Args:
          waiting: the prompt; its times are on this process's clock.
          bids: the engines that it may go to, the best one first.
          ahead_s: it goes only where less than this is to be read first.
        """
        now = self._clock.seconds()
        number = next(self._numbers)
        lines = {
            bid.endpoint: _Line(
                bid, self._book.home(bid.endpoint), place == 0, now
            )
            for place, bid in enumerate(bids)
        }
        turn: Deferred[EndpointId | Failure | None] = Deferred(
            lambda _: self._end(number)
        )
        self._rows[number] = _Row(waiting, ahead_s, lines, turn)
        self._ask(number)
        if self._timer is None and number in self._rows:
            self._timer = self._clock.callLater(_REPEAT_S, self._again)
        return turn

    def told(self, turn: Turn, home: Address) -> None:
        """Takes a home's word."""
        self._book.heard(home)
        row = self._rows.get(turn.number)
        if row is None:
            self._leave(turn.number, home)
            return
        line = row.lines.get(turn.endpoint)
        if line is None:
            return
        line.heard_at = self._clock.seconds()
        if turn.word is TurnWord.GRANTED:
            self._finish(turn.number, turn.endpoint)
        elif turn.word is TurnWord.GONE:
            del row.lines[turn.endpoint]
            if not row.lines:
                self._finish(turn.number, None)
        else:
            vain = turn.word is TurnWord.VAIN
            line.vain_s = turn.after_ms / 1000 if vain else None
            self._give_up(turn.number, row)

    def stop(self) -> None:
        """Repeats nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _give_up(self, number: int, row: _Row) -> None:
        """Refuses a prompt that waits in vain on all of its lists."""
        vain = [line.vain_s for line in row.lines.values()]
        if None not in vain:
            self._finish(number, _no_room(min(vain)))

    def _again(self) -> None:
        self._timer = None
        now = self._clock.seconds()
        for number, row in list(self._rows.items()):
            if now >= row.waiting.ends_at:
                self._finish(number, _no_room(_RETRY_AFTER_S))
                continue
            self._drop_silent(number, row, now)
            if number in self._rows:
                self._ask(number)
        if self._rows:
            self._timer = self._clock.callLater(_REPEAT_S, self._again)

    def _drop_silent(self, number: int, row: _Row, now: float) -> None:
        for endpoint, line in list(row.lines.items()):
            if now - line.heard_at >= _SILENT_S:
                self._book.missed(line.home)
                del row.lines[endpoint]
        if not row.lines:
            self._finish(number, None)

    def _ask(self, number: int) -> None:
        """Says on all lists that a prompt waits."""
        row = self._rows[number]
        now = self._clock.seconds()
        for line in list(row.lines.values()):
            wait = Wait(
                entry=self._entry,
                number=number,
                endpoint=line.bid.endpoint,
                priority=row.waiting.priority,
                tokens=line.bid.tokens,
                unread=line.bid.unread,
                target_ms=int((row.waiting.target_at - now) * 1000),
                ends_ms=int((row.waiting.ends_at - now) * 1000),
                ahead_ms=int(row.ahead_s * 1000),
                lists=len(row.lines),
                first=line.first,
            )
            self._send(wait, line.home)

    def _end(self, number: int) -> None:
        """Takes a prompt from all lists."""
        row = self._rows.pop(number, None)
        if row is not None:
            self._leave_all(number, row)

    def _leave_all(self, number: int, row: _Row) -> None:
        for home in {line.home for line in row.lines.values()}:
            self._leave(number, home)

    def _leave(self, number: int, home: Address) -> None:
        self._send(Unwait(self._entry, number), home)

    def _finish(self, number: int, result: EndpointId | Failure | None) -> None:
        """Ends a wait; the lists are left after the request has been sent.

        In the other order the promised memory would be given to the next
        prompt before the home hears of the request.
        """
        row = self._rows.pop(number)
        row.turn.callback(result)
        self._leave_all(number, row)


def _no_room(after_s: float) -> Failure:
    reason = "no engine has memory for it in time"
    return failed(Code.NO_ROOM, reason, retry_after_s=after_s)
