"""Reports waits to the keepers of their flows, and learns the standings."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from magnolialug.carrier.pool import Address
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.policy.admissionlead import Claimant
from magnolialug.policy.waitledger import (
    FlowId,
    FlowStanding,
    WaitLedger,
    WaitReport,
    bounded_standing,
    flow_id,
)

__all__ = ["PromptFlows", "WaitStandings", "prompt_flows"]

# Exchanges about one flow in a second by all entries together, so that a team
# that all entries serve does not load its keeper's link.
_EXCHANGES_PER_S = 20.0
# Exchanges that one entry may make at once: for a query and the report of the
# same wait, and one more.
_BURST = 3
# Standings that were received longer ago are not used.
_MAX_AGE_S = 30.0
# A keeper that has not replied for this long has stopped or is disconnected.
_KEEPER_TIMEOUT_S = 0.5
_MAX_FLOWS = 4_000


class PromptFlows(msgspec.Struct, frozen=True):
    """The flows that a prompt belongs to; dossier is None for none."""

    team: FlowId
    dossier: FlowId | None
    request: FlowId

    @property
    def ids(self) -> set[FlowId]:
        """All of them."""
        return {self.team, self.dossier, self.request} - {None}


def prompt_flows(team: str, dossier: str, request: str) -> PromptFlows:
    """Returns the flows of a prompt.

    Args:
      dossier: the name of its last shared part, "" for none.
      request: what is the same each time that its caller sends it.
    """
    return PromptFlows(
        flow_id("team", team),
        flow_id("dossier", dossier) if dossier else None,
        flow_id("request", request),
    )


class _Exchange(msgspec.Struct):
    """What this entry knows of a flow, and what it has not reported yet.

    Attributes:
      due_at: when the next exchange is due at the allowed rate.
    """

    standing: FlowStanding | None = None
    received_at: float = float("-inf")
    due_at: float = float("-inf")
    pending: WaitReport | None = None


class WaitStandings:
    """Exchanges waits with keepers, and keeps those of some flows.

    The ring selects a keeper for each flow, so that the waits of a team that
    sends few prompts are found from any entry.

    Args:
      send: sends reports to the keeper of their flows, which replies with the
        standings.
    """

    def __init__(
        self,
        ring: OwnerRing,
        send: Callable[[tuple[WaitReport, ...], Address], None],
        clock: Callable[[], float],
    ):
        self._ring = ring
        self._send = send
        self._clock = clock
        self._ledger = WaitLedger()
        self._exchanges: OrderedDict[FlowId, _Exchange] = OrderedDict()
        self._held_back: set[FlowId] = set()
        self._awaited: dict[Address, float] = {}

    def query(self, flows: PromptFlows) -> None:
        """Queries the keepers of a prompt's flows."""
        for flow in flows.ids:
            self._exchange(flow)
        self._send_due(flows.ids)

    def record(self, report: WaitReport) -> None:
        """Reports waits that have ended to the keeper of their flow."""
        row = self._exchange(report.flow)
        row.pending = _sum(row.pending, report)
        self._send_due([report.flow])

    def claimant(self, flows: PromptFlows) -> Claimant:
        """Returns whose prompt it is, with the standings known so far."""
        request = self._standing(flows.request)
        return Claimant(
            self._standing(flows.team),
            None if flows.dossier is None else self._standing(flows.dossier),
            round(request.waits * request.mean_ms),
        )

    def answer(self, reports: Iterable[WaitReport]) -> tuple[FlowStanding, ...]:
        """Records reports of an entry; returns the standings of their flows."""
        now = self._clock()
        standings = []
        for report in reports:
            self._ledger.record(report, now)
            standings.append(self._ledger.standing(report.flow, now))
        return tuple(standings)

    def on_reply(
        self, standings: Iterable[FlowStanding], keeper: Address
    ) -> set[FlowId]:
        """Stores standings; returns the flows that have waited lately.

        Those that the sender does not keep are ignored.
        """
        self._awaited.pop(keeper, None)
        news = set()
        for standing in standings:
            row = self._exchanges.get(standing.flow)
            if row is None or not self._is_keeper(keeper, standing.flow):
                continue
            standing = bounded_standing(standing)
            row.standing = standing
            row.received_at = self._clock()
            if standing.waits > 0:
                news.add(standing.flow)
        return news

    def tick(self, now: float) -> None:
        """Sends what was held back, and detects keepers that do not reply."""
        for keeper, sent_at in list(self._awaited.items()):
            if now - sent_at >= _KEEPER_TIMEOUT_S:
                self._ring.mark_unresponsive(keeper)
                del self._awaited[keeper]
        if self._held_back:
            self._send_due(list(self._held_back))

    def _exchange(self, flow: FlowId) -> _Exchange:
        row = self._exchanges.setdefault(flow, _Exchange())
        self._exchanges.move_to_end(flow)
        if len(self._exchanges) > _MAX_FLOWS:
            dropped, _ = self._exchanges.popitem(last=False)
            self._held_back.discard(dropped)
        return row

    def _standing(self, flow: FlowId) -> FlowStanding:
        row = self._exchanges.get(flow)
        if row is None or row.standing is None:
            return FlowStanding(flow)
        if self._clock() - row.received_at > _MAX_AGE_S:
            return FlowStanding(flow)
        return row.standing

    def _send_due(self, flows: Iterable[FlowId]) -> None:
        """Sends to the keepers of those flows that were not sent lately."""
        now = self._clock()
        interval_s = (len(self._ring.others) + 1) / _EXCHANGES_PER_S
        by_keeper: dict[Address, list[WaitReport]] = {}
        for flow in flows:
            row = self._exchanges[flow]
            if now < row.due_at - (_BURST - 1) * interval_s:
                if row.pending is not None:
                    self._held_back.add(flow)
                continue
            keeper = self._keeper(flow)
            reports = by_keeper.setdefault(keeper, [])
            reports.append(row.pending or WaitReport(flow))
            row.pending = None
            row.due_at = max(row.due_at, now) + interval_s
            self._held_back.discard(flow)
        for keeper, reports in by_keeper.items():
            self._awaited.setdefault(keeper, now)
            self._send(tuple(reports), keeper)

    def _is_keeper(self, entry: Address, flow: FlowId) -> bool:
        return entry in self._ring.transient_candidates(flow)

    def _keeper(self, flow: FlowId) -> Address:
        candidates = self._ring.transient_candidates(flow)
        responsive = filter(self._ring.is_responsive, candidates)
        return next(responsive, candidates[0])


def _sum(one: WaitReport | None, other: WaitReport) -> WaitReport:
    if one is None:
        return other
    return WaitReport(
        one.flow,
        one.waits + other.waits,
        one.waited_ms + other.waited_ms,
        one.tokens + other.tokens,
    )
