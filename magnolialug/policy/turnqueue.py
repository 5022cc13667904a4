"""The prompts that wait for the memory of one engine."""

import itertools
from collections.abc import Callable, Hashable

import msgspec

from magnolialug.policy.turns import TurnRate, Waiting, in_turn, in_vain

__all__ = ["Queued", "TurnQueue"]

# When a refused caller may come back: when those who wait have had their
# turns, and within these bounds. What holds an engine's memory now is written
# in two to four seconds.
_RETRY_AFTER_BOUNDS_S = (0.5, 3.0)
# Who waits says so four times a second; three lost in a row mean that its
# entry is gone.
_TRUST_S = 0.8


class Queued(msgspec.Struct):
    """A prompt on the list.

    Attributes:
      ticket: names it over all entries.
      tokens: of memory that it will take.
      unread: tokens that the engine will have to read.
      ahead_s: it goes only when less than this is to be read first.
      lists: on how many lists it is.
      first: whether nobody overtakes it here. That is so on one of its lists:
        large prompts that held up four engines each left a tenth of all
        memory unused while others waited for it.
      heard_at: when it was last said that it waits.
    """

    ticket: Hashable
    waiting: Waiting
    tokens: int
    unread: int
    ahead_s: float
    lists: int
    first: bool
    heard_at: float


class TurnQueue:
    """One list for all entries.

    An engine that admits more prompts than its memory holds pushes the newest
    out again in the middle of its answer and reads it anew. That takes the
    time in which others would have been written, so all stay longer, and the
    memory stays full: one would notice engines that are congested long after
    the load that caused it has gone. Entries that each held a list of their
    own all saw the same room at the same moment.
    """

    def __init__(self) -> None:
        self._rows: dict[Hashable, Queued] = {}
        self._numbers = itertools.count()
        self._rate = TurnRate()

    def __len__(self) -> int:
        return len(self._rows)

    def tickets(self) -> list[Hashable]:
        """Returns who is on the list."""
        return list(self._rows)

    def put(self, row: Queued) -> None:
        """Takes a prompt, or one that is on the list once more."""
        before = self._rows.get(row.ticket)
        number = before.waiting.number if before else next(self._numbers)
        row.waiting = msgspec.structs.replace(row.waiting, number=number)
        self._rows[row.ticket] = row

    def drop(self, ticket: Hashable) -> None:
        """Takes a prompt from the list."""
        self._rows.pop(ticket, None)

    def clear(self) -> list[Hashable]:
        """Takes all prompts from the list; returns their tickets."""
        tickets = self.tickets()
        self._rows.clear()
        return tickets

    def forget_silent(self, now: float) -> None:
        """Drops prompts whose entries have not been heard for long."""
        for row in list(self._rows.values()):
            if now - row.heard_at > _TRUST_S:
                del self._rows[row.ticket]

    def vain_s(self, ticket: Hashable, now: float) -> float | None:
        """Returns when a prompt may come back if it waits in vain.

        None if its turn can still come in time.
        """
        per_s = self._rate.per_s(now)
        if per_s is None:
            return None
        ahead = 0.0
        for row in self._ordered(now):
            vain = in_vain(row.waiting, now, ahead, per_s)
            if row.ticket == ticket:
                return self._after_s(per_s) if vain else None
            if not vain:
                ahead += 1 / row.lists
        return None

    def go(self, now: float, fits: Callable[[Queued], bool]) -> Queued | None:
        """Takes the next prompt that fits from the list; None if there is none.

        Nobody overtakes the first one that is to go here and does not fit.
        """
        for row in self._ordered(now):
            if fits(row):
                self._rate.went(now)
                self.drop(row.ticket)
                return row
            if row.first:
                return None
        return None

    def _ordered(self, now: float) -> list[Queued]:
        rows = {row.waiting.number: row for row in self._rows.values()}
        waiting = [row.waiting for row in rows.values()]
        ordered = in_turn(waiting, now)
        return [rows[place.number] for place in ordered]

    def _after_s(self, per_s: float) -> float:
        waiting = sum(1 / row.lists for row in self._rows.values())
        least_s, most_s = _RETRY_AFTER_BOUNDS_S
        return min(most_s, max(least_s, waiting / per_s))
