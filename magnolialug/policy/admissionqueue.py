"""Admission queue of the prompts that wait for one engine's memory."""

import itertools
from collections.abc import Callable, Hashable

import msgspec

from magnolialug.policy.admissionlead import (
    NO_LEAD,
    AdmissionLead,
    Claimant,
    QueueStandings,
)
from magnolialug.policy.admissionorder import (
    GrantRate,
    WaitingPrompt,
    admission_order,
    cannot_meet_deadline,
)
from magnolialug.policy.sizeclass import SizeClass, SizeClasses
from magnolialug.policy.waitledger import FlowId, WaitLedger, WaitReport

__all__ = ["QueuedPrompt", "AdmissionQueue"]

# Bounds of Retry-After. Responses that occupy an engine's memory now are
# finished within seconds.
_RETRY_AFTER_BOUNDS_S = (0.5, 3.0)
# A prompt whose place is not renewed for this long is dropped. This is several
# times the clients' renewal interval, so that a few lost datagrams do not drop
# a waiting prompt.
_RENEWAL_TIMEOUT_S = 0.8
# Leads are kept for this long, because places are renewed far more often than
# standings change.
_LEADS_INTERVAL_S = 0.02


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
      claimant: whose it is, None if that is not told.
      joined_at: when it was added.
      too_late: whether it was last found to miss its deadline.
      lead: its lead when the queue was last ordered.
    """

    ticket: Hashable
    waiting: WaitingPrompt
    tokens: int
    unread: int
    ahead_s: float
    lists: int
    first: bool
    renewed_at: float
    claimant: Claimant | None = None
    joined_at: float = 0.0
    too_late: bool = False
    lead: AdmissionLead = NO_LEAD


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
        self._size_classes = SizeClasses()
        self._waits = WaitLedger()
        self._leads_at = float("-inf")

    def __len__(self) -> int:
        return len(self._rows)

    def tickets(self) -> list[Hashable]:
        """Returns the tickets in the queue."""
        return list(self._rows)

    def put(self, row: QueuedPrompt) -> None:
        """Adds a prompt, or renews the place of one that is in the queue."""
        before = self._rows.get(row.ticket)
        number = before.waiting.number if before else next(self._numbers)
        if before is None:
            row.joined_at = row.renewed_at
            self._size_classes.record(row.tokens)
        else:
            row.joined_at = before.joined_at
            row.too_late, row.lead = before.too_late, before.lead
        if before is None or before.claimant != row.claimant:
            # Its first judgement has to count its lead.
            self._leads_at = float("-inf")
        row.waiting = msgspec.structs.replace(row.waiting, number=number)
        self._rows[row.ticket] = row

    def drop(self, ticket: Hashable) -> None:
        """Removes a prompt."""
        row = self._rows.pop(ticket, None)
        if row is not None:
            self._record_wait(row, row.renewed_at)

    def clear(self) -> list[Hashable]:
        """Removes all prompts; returns their tickets."""
        tickets = self.tickets()
        self._rows.clear()
        return tickets

    def drop_expired(self, now: float) -> None:
        """Drops prompts whose places were not renewed in time."""
        for row in list(self._rows.values()):
            if now - row.renewed_at > _RENEWAL_TIMEOUT_S:
                self.drop(row.ticket)

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
                row.too_late = refused
                return self._bounded_retry_after_s(per_s) if refused else None
            if not refused:
                ahead += 1 / row.lists
        return None

    def take_next(
        self,
        now: float,
        fits: Callable[[QueuedPrompt], bool],
        is_held_back: Callable[[QueuedPrompt], bool] = lambda row: False,
    ) -> QueuedPrompt | None:
        """Removes and returns the next prompt that fits, None if there is none.

        No prompt overtakes one that has `first` set and does not fit.

        Args:
          is_held_back: whether a prompt waits for something other than room;
            others may overtake it meanwhile.
        """
        for row in self._ordered(now):
            if is_held_back(row):
                continue
            if fits(row):
                self._rate.record_grant(now)
                del self._rows[row.ticket]
                # It may have been found too late before.
                row.too_late = False
                self._record_wait(row, now)
                return row
            if row.first:
                return None
        return None

    def lead(self, ticket: Hashable) -> AdmissionLead:
        """Returns a waiting prompt's lead when the queue was last ordered."""
        row = self._rows.get(ticket)
        return NO_LEAD if row is None else row.lead

    def _ordered(self, now: float) -> list[QueuedPrompt]:
        rows = {row.waiting.number: row for row in self._rows.values()}
        waiting = [row.waiting for row in rows.values()]
        self._update_leads(now)
        leads_s = {number: row.lead.lead_s for number, row in rows.items()}
        ordered = admission_order(waiting, now, leads_s)
        return [rows[place.number] for place in ordered]

    def _update_leads(self, now: float) -> None:
        if now - self._leads_at < _LEADS_INTERVAL_S:
            return
        self._leads_at = now
        rows = [row for row in self._rows.values() if row.claimant is not None]
        if not rows:
            return
        sizes = [self._waits.standing(_flow(one), now) for one in SizeClass]
        standings = QueueStandings([row.claimant for row in rows], sizes)
        for row in rows:
            size = _flow(self._size_classes.of(row.tokens))
            is_late = row.waiting.is_late(now)
            row.lead = standings.lead(row.claimant, size, is_late)

    def _record_wait(self, row: QueuedPrompt, ended_at: float) -> None:
        """Counts a wait that has ended by the size of its prompt.

        One without an admission counts until its deadline: a size that is
        refused early would appear not to wait.
        """
        until = row.waiting.ends_at if row.too_late else ended_at
        waited_ms = round(max(0.0, until - row.joined_at) * 1000)
        size = _flow(self._size_classes.of(row.tokens))
        self._waits.record(WaitReport(size, 1, waited_ms), ended_at)

    def _bounded_retry_after_s(self, per_s: float) -> float:
        waiting = sum(1 / row.lists for row in self._rows.values())
        least_s, most_s = _RETRY_AFTER_BOUNDS_S
        return min(most_s, max(least_s, waiting / per_s))


def _flow(size: SizeClass) -> FlowId:
    return FlowId(size.value)
