"""Keeps the load ledgers of owned endpoints, and answers queries."""

from collections import OrderedDict
from collections.abc import Callable

from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.ledgers import Ledgers
from magnolialug.owners.messages import (
    Known,
    LoadQuery,
    LoadReply,
    LoadReport,
    News,
)
from magnolialug.policy.sharedload import Placement, WorkShare

__all__ = ["LedgerService"]

# Starts of entries whose newest message is remembered. Twice the entries of
# the largest fleet, all of which start again within a few seconds.
_MOST_ENTRIES = 2_000


class LedgerService:
    """Records load reports, and answers with the sum of all.

    Args:
      dissemination: takes the news of reports, and adds some to replies.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        ledgers: Ledgers,
        dissemination: Dissemination,
        clock: Callable[[], float],
    ):
        self._ledgers = ledgers
        self._dissemination = dissemination
        self._clock = clock
        self._numbers: OrderedDict[str, int] = OrderedDict()

    def record(self, report: LoadReport) -> None:
        """Records an entry's report."""
        if report.number <= self._numbers.get(report.entry, 0):
            return
        self._numbers[report.entry] = report.number
        self._numbers.move_to_end(report.entry)
        if len(self._numbers) > _MOST_ENTRIES:
            self._numbers.popitem(last=False)
        now = self._clock()
        for share in report.shares:
            if self._is_current(share):
                ledger = self._ledgers.of(share.endpoint, share.born_ms)
                ledger.record_share(report.entry, share, now)
        for placement in report.placements:
            if self._is_current(placement):
                ledger = self._ledgers.of(placement.endpoint, placement.born_ms)
                ledger.record_placement(placement)
        self._dissemination.take(News(report.rollout, report.evacuated))

    def answer(self, query: LoadQuery) -> LoadReply:
        """Returns the states of the endpoints that are asked about."""
        now = self._clock()
        states = []
        for asked in query.endpoints:
            ledger = self._ledgers.of(asked.endpoint)
            ledger.drop_expired(now)
            states.append(
                ledger.state(query.entry, now, asked.salt, query.parts)
            )
        known = Known(query.rollout, query.evacuated)
        news = self._dissemination.newer_than(known)
        return LoadReply(
            query.number, tuple(states), news.rollout, news.evacuated
        )

    def _is_current(self, told: WorkShare | Placement) -> bool:
        """Whether something is told of the newest start of an endpoint."""
        if not told.born_ms:
            return True
        return told.born_ms >= self._ledgers.of(told.endpoint).born_ms
