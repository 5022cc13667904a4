"""The prompts that wait for the memory of one engine."""

import itertools
from collections.abc import Callable, Hashable

import msgspec

from magnolialug.policy.admissionorder import (
    GrantRate,
    Waiting,
    admission_order,
    is_hopeless,
)

__all__ = ["Queued", "AdmissionQueue"]

# Bounds of Retry-After. Answers that hold an engine's memory now are written
# within seconds.
_RETRY_AFTER_BOUNDS_S = (0.5, 3.0)
# Several times the renewal interval of the clients, so that lost datagrams do
# not drop a waiting prompt.
_TRUST_S = 0.8


class Queued(msgspec.Struct):
    """A prompt in the queue.

    Attributes:
      ticket: names it over all entries.
      tokens: of memory that it will take.
      unread: tokens that the engine will have to read.
      ahead_s: it is admitted only when less than this is to be read first.
      lists: in how many queues it is.
      first: whether no other overtakes it here. That holds in one of its
        queues only; otherwise it would leave memory of all the others unused.
      heard_at: when its place was last renewed.
    """

    ticket: Hashable
    waiting: Waiting
    tokens: int
    unread: int
    ahead_s: float
    lists: int
    first: bool
    heard_at: float


class AdmissionQueue:
    """One admission queue for all entries.

    An engine that takes more prompts than its memory holds preempts the newest
    in the middle of its answer and reads it again. That slows all others, so
    the memory stays full: engines stay congested long after the load that
    caused it. Queues in each entry would all see the same room at the same
    moment.
    """

    def __init__(self) -> None:
        self._rows: dict[Hashable, Queued] = {}
        self._numbers = itertools.count()
        self._rate = GrantRate()

    def __len__(self) -> int:
        return len(self._rows)

    def tickets(self) -> list[Hashable]:
        """Returns the tickets in the queue."""
        return list(self._rows)

    def put(self, row: Queued) -> None:
        """Adds a prompt, or renews its place."""
        before = self._rows.get(row.ticket)
        number = before.waiting.number if before else next(self._numbers)
        row.waiting = msgspec.structs.replace(row.waiting, number=number)
        self._rows[row.ticket] = row

    def drop(self, ticket: Hashable) -> None:
        """Removes a prompt."""
        self._rows.pop(ticket, None)

    def clear(self) -> list[Hashable]:
        """Removes all prompts; returns their tickets."""
        tickets = self.tickets()
        self._rows.clear()
        return tickets

    def forget_silent(self, now: float) -> None:
        """Drops prompts whose places have not been renewed."""
        for row in list(self._rows.values()):
            if now - row.heard_at > _TRUST_S:
                del self._rows[row.ticket]

    def hopeless_after_s(self, ticket: Hashable, now: float) -> float | None:
        """Returns when a hopeless prompt may come back.

        None for one that can still be granted in time.
        """
        per_s = self._rate.per_s(now)
        if per_s is None:
            return None
        ahead = 0.0
        for row in self._ordered(now):
            hopeless = is_hopeless(row.waiting, now, ahead, per_s)
            if row.ticket == ticket:
                return self._after_s(per_s) if hopeless else None
            if not hopeless:
                ahead += 1 / row.lists
        return None

    def take_next(
        self, now: float, fits: Callable[[Queued], bool]
    ) -> Queued | None:
        """Removes and returns the next prompt that fits, None if there is none.

        No prompt overtakes one that has its first place here and does not fit.
        """
        for row in self._ordered(now):
            if fits(row):
                self._rate.record_grant(now)
                self.drop(row.ticket)
                return row
            if row.first:
                return None
        return None

    def _ordered(self, now: float) -> list[Queued]:
        rows = {row.waiting.number: row for row in self._rows.values()}
        waiting = [row.waiting for row in rows.values()]
        ordered = admission_order(waiting, now)
        return [rows[place.number] for place in ordered]

    def _after_s(self, per_s: float) -> float:
        waiting = sum(1 / row.lists for row in self._rows.values())
        least_s, most_s = _RETRY_AFTER_BOUNDS_S
        return min(most_s, max(least_s, waiting / per_s))
