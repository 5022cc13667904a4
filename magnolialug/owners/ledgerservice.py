"""Maintains the load ledgers of owned endpoints and answers queries."""

import copy
import math
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.ledgers import Ledgers
from magnolialug.owners.messages import (
    Announcements,
    KnownVersions,
    LoadQuery,
    LoadReply,
    LoadReport,
)
from magnolialug.policy.endpointledger import EndpointLedger
from magnolialug.policy.sharedload import Placement, WorkShare

__all__ = ["LedgerService"]

# Starts of entries whose newest message number is stored: twice the entries of
# the largest fleet, because all of them may restart within a few seconds.
_MAX_ENTRIES = 2_000


class LedgerService:
    """Records load reports, and answers queries from all of them.

    Args:
      dissemination: applies the announcements of reports, and adds newer ones
        to replies.
      reached: returns the share of the entries that this one can reach.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        ledgers: Ledgers,
        dissemination: Dissemination,
        reached: Callable[[], float],
        clock: Callable[[], float],
    ):
        self._ledgers = ledgers
        self._reached = reached
        self._dissemination = dissemination
        self._clock = clock
        self._last_numbers: OrderedDict[str, int] = OrderedDict()

    def record(self, report: LoadReport) -> None:
        """Records an entry's report, unless a newer one was received before."""
        if report.number <= self._last_numbers.get(report.entry, 0):
            return
        self._last_numbers[report.entry] = report.number
        self._last_numbers.move_to_end(report.entry)
        if len(self._last_numbers) > _MAX_ENTRIES:
            self._last_numbers.popitem(last=False)
        now = self._clock()
        for share in report.shares:
            if self._is_current(share):
                ledger = self._ledgers.of(share.endpoint, share.born_ms)
                ledger.record_share(report.entry, share, now)
        for placement in report.placements:
            if self._is_current(placement):
                ledger = self._ledgers.of(placement.endpoint, placement.born_ms)
                ledger.record_placement(placement)
        self._dissemination.take(
            Announcements(report.rollout, report.evacuated, report.leaving)
        )

    def answer(self, query: LoadQuery) -> LoadReply:
        """Returns the states of the queried endpoints."""
        now = self._clock()
        states = []
        for asked in query.endpoints:
            ledger = self._ledgers.of(asked.endpoint)
            ledger.drop_expired(now)
            sends = ledger.sends
            if query.is_preview:
                sends = copy.deepcopy(sends)
            if asked.notice is not None:
                sends.known.record(asked.notice.to_notice(now))
            state = ledger.state(query.entry, now, asked.salt, query.parts)
            if query.is_preview:
                state = msgspec.structs.replace(
                    state, notice=sends.known.report(now)
                )
            sends.share = self._reached()
            wait_s = sends.ask(query.entry, query.priority, now)
            if wait_s is not None:
                state = msgspec.structs.replace(
                    state, send_wait_ms=math.ceil(wait_s * 1000)
                )
            if self._is_leaving(ledger):
                state = msgspec.structs.replace(state, leaving=True)
            states.append(state)
        known = KnownVersions(query.rollout, query.evacuated)
        announcements = self._dissemination.newer_than(known)
        return LoadReply(
            query.number,
            tuple(states),
            announcements.rollout,
            announcements.evacuated,
        )

    def _is_leaving(self, ledger: EndpointLedger) -> bool:
        """Whether the start that a ledger is about is known to leave."""
        facts = self._ledgers.facts(ledger.endpoint)
        if facts is None or not facts.leaving:
            return False
        return 0 in (facts.born_ms, ledger.born_ms) or (
            facts.born_ms == ledger.born_ms
        )

    def _is_current(self, reported: WorkShare | Placement) -> bool:
        """Whether a report refers to the newest start of an endpoint."""
        if not reported.born_ms:
            return True
        return reported.born_ms >= self._ledgers.of(reported.endpoint).born_ms
