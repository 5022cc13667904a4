"""Keeps the load ledgers of owned endpoints, and answers queries."""

from collections import OrderedDict
from collections.abc import Callable

from magnolialug.owners.ledgers import Ledgers
from magnolialug.owners.messages import LoadQuery, LoadReply, LoadReport
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import Placement, WorkShare

__all__ = ["LedgerService"]

# Starts of entries whose newest message is remembered. Twice the entries of
# the largest fleet, all of which start again within a few seconds.
_MOST_ENTRIES = 2_000


class LedgerService:
    """Records load reports, and answers with the sum of all.

    Args:
      rollout: returns the newest rollout that this entry knows.
      on_rollout: is told of those that others know.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        ledgers: Ledgers,
        rollout: Callable[[], Rollout | None],
        on_rollout: Callable[[Rollout], None],
        clock: Callable[[], float],
    ):
        self._ledgers = ledgers
        self._rollout = rollout
        self._on_rollout = on_rollout
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
                ledger.told(report.entry, share, now)
        for placement in report.placements:
            if self._is_current(placement):
                ledger = self._ledgers.of(placement.endpoint, placement.born_ms)
                ledger.placed(placement)
        if report.rollout is not None:
            self._on_rollout(report.rollout)

    def answer(self, query: LoadQuery) -> LoadReply:
        """Returns the states of the endpoints that are asked about."""
        now = self._clock()
        states = []
        for asked in query.endpoints:
            ledger = self._ledgers.of(asked.endpoint)
            ledger.forget_old(now)
            states.append(
                ledger.state(query.entry, now, asked.salt, query.parts)
            )
        rollout = self._rollout()
        newer = rollout is not None and rollout.number > query.rollout
        return LoadReply(
            query.number, tuple(states), rollout if newer else None
        )

    def _is_current(self, told: WorkShare | Placement) -> bool:
        """Whether something is told of the newest start of an endpoint."""
        if not told.born_ms:
            return True
        return told.born_ms >= self._ledgers.of(told.endpoint).born_ms
