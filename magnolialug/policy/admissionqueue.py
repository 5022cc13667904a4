"""Admission queue of the prompts that wait for one engine's memory."""

import itertools
from collections.abc import Callable, Hashable

import msgspec

from magnolialug.policy.admissionorder import (
    GrantRate,
    WaitingPrompt,
    admission_order,
    cannot_meet_deadline,
)

__all__ = ["QueuedPrompt", "AdmissionQueue"]

# Bounds of Retry-After. Responses that occupy an engine's memory now are
# finished within seconds.
_RETRY_AFTER_BOUNDS_S = (0.5, 3.0)
# A prompt whose place is not renewed for this long is dropped. This is several
# times the clients' renewal interval, so that a few lost datagrams do not drop
# a waiting prompt.
_RENEWAL_TIMEOUT_S = 0.8


class QueuedPrompt(msgspec.Struct):
    """A prompt in the queue.

    Attributes:
      ticket: identifies it among the prompts of all entries.
      tokens: tokens of memory that it will take.
      unread: tokens that the engine will have to prefill.
      ahead_s: it is admitted only if the prefill before it takes no longer.
      lists: how many engines' queues it waits in.
      first: whether no other prompt may overtake it in this queue. That holds
        in one of its queues only; otherwise it would keep memory of all the
        other engines unused.
      renewed_at: when its place was last renewed.
    """

    ticket: Hashable
    waiting: WaitingPrompt
    tokens: int
    unread: int
    ahead_s: float
    lists: int
    first: bool
    renewed_at: float


class AdmissionQueue:
    """One admission queue for all entries.

    An engine that takes more prompts than fit into its memory preempts the
    newest in the middle of its response and prefills it again. That slows all
    others, so the memory stays full and the engine stays congested long after
    the load that caused it. With one queue in each entry, all entries would use
    the same free memory at the same moment.
    """

    def __init__(self) -> None:
        self._rows: dict[Hashable, QueuedPrompt] = {}
        self._numbers = itertools.count()
        self._rate = GrantRate()

    def __len__(self) -> int:
        return len(self._rows)

    def tickets(self) -> list[Hashable]:
        """Returns the tickets in the queue."""
        return list(self._rows)

    def put(self, row: QueuedPrompt) -> None:
        """Adds a prompt, or renews the place of one that is in the queue."""
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

    def drop_expired(self, now: float) -> None:
        """Drops prompts whose places were not renewed in time."""
        for row in list(self._rows.values()):
            if now - row.renewed_at > _RENEWAL_TIMEOUT_S:
                del self._rows[row.ticket]

    def retry_after_s(self, ticket: Hashable, now: float) -> float | None:
        """Returns after how long a prompt's caller may retry.

        None if the prompt can still be admitted before its deadline, or while
        the grant rate is unknown.
        """
        per_s = self._rate.per_s(now)
        if per_s is None:
            return None
        ahead = 0.0
        for row in self._ordered(now):
            refused = cannot_meet_deadline(row.waiting, now, ahead, per_s)
            if row.ticket == ticket:
                return self._bounded_retry_after_s(per_s) if refused else None
            if not refused:
                ahead += 1 / row.lists
        return None

    def take_next(
        self, now: float, fits: Callable[[QueuedPrompt], bool]
    ) -> QueuedPrompt | None:
        """Removes and returns the next prompt that fits, None if there is none.

        No prompt overtakes one that has `first` set and does not fit.
        """
        for row in self._ordered(now):
            if fits(row):
                self._rate.record_grant(now)
                self.drop(row.ticket)
                return row
            if row.first:
                return None
        return None

    def _ordered(self, now: float) -> list[QueuedPrompt]:
        rows = {row.waiting.number: row for row in self._rows.values()}
        waiting = [row.waiting for row in rows.values()]
        ordered = admission_order(waiting, now)
        return [rows[place.number] for place in ordered]

    def _bounded_retry_after_s(self, per_s: float) -> float:
        waiting = sum(1 / row.lists for row in self._rows.values())
        least_s, most_s = _RETRY_AFTER_BOUNDS_S
        return min(most_s, max(least_s, waiting / per_s))
