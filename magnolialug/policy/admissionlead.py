"""How much earlier than by its due time a waiting prompt is admitted."""

import enum
from collections.abc import Iterable

import msgspec

from magnolialug.policy.waitledger import (
    FlowId,
    FlowStanding,
    bounded_standing,
)

__all__ = [
    "NO_LEAD",
    "AdmissionLead",
    "Claimant",
    "LeadReason",
    "QueueStandings",
    "bounded_claimant",
]

# Due times of prompts that can be in time lie within one latency target, about
# a second. With that lead a prompt passes all newer ones.
_MAX_LEAD_S = 1.0
# Shorter than a target, so that a prompt that arrives is not late by its lag.
_MAX_LAG_S = 0.5
# Bound of each part, so that two of them together reach the most.
_MAX_PART_S = 0.5
# Differences that are due to chance: what one refusal in place of an admission
# adds to the mean of a few waits, and a quarter of a team's share of the room.
# Leads for them would only disturb the order by due time, and fewer prompts
# would be in time.
_CHANCE_S = 1.0
_CHANCE_SHARE = 0.25
# A mean of this many waits counts for half.
_HALF_TRUSTED_WAITS = 4.0
# A caller that returns is late by its own clock, so it goes ahead of late
# prompts only. The most patient callers have 15 s for all their tries. Once
# more than half of that is lost, its lead over other prompts grows to the last
# try, so that nobody is refused without end.
_LONG_LOST_S = 8.0
_LEAD_PER_LOST_S = 0.1


class LeadReason(enum.Enum):
    """The largest part of a lead or lag."""

    NONE = ""
    TEAM = "team"
    DOSSIER = "dossier"
    SIZE = "size"
    RETURNED = "returned"


class AdmissionLead(msgspec.Struct, frozen=True):
    """How much earlier a prompt is admitted, negative for later, and why."""

    lead_s: float
    reason: LeadReason


NO_LEAD = AdmissionLead(0.0, LeadReason.NONE)


class Claimant(msgspec.Struct, frozen=True, array_like=True):
    """Whose prompt it is.

    Attributes:
      dossier: None if the prompt has no shared part.
      lost_ms: what its caller has lost by earlier refusals of the request.
    """

    team: FlowStanding
    dossier: FlowStanding | None = None
    lost_ms: int = 0


def bounded_claimant(claimant: Claimant) -> Claimant:
    """Returns a received claimant with its standings within their bounds."""
    dossier = claimant.dossier
    return Claimant(
        bounded_standing(claimant.team),
        None if dossier is None else bounded_standing(dossier),
        claimant.lost_ms,
    )


class QueueStandings:
    """Compares the flows of the prompts in one queue.

    Args:
      claimants: of the prompts in the queue.
      sizes: the standing of each size class, by its id.
    """

    def __init__(
        self,
        claimants: Iterable[Claimant],
        sizes: Iterable[FlowStanding] = (),
    ):
        rows = list(claimants)
        self._teams = _best_known(row.team for row in rows)
        self._dossiers = _best_known(row.dossier for row in rows if row.dossier)
        self._sizes = _best_known(sizes)
        self._team_waits = _Waits(self._teams.values())
        self._dossier_waits = _Waits(self._dossiers.values())
        self._size_waits = _Waits(self._sizes.values())
        self._mean_tokens = _mean_tokens(self._teams)

    def lead(
        self, claimant: Claimant, size: FlowId, is_late: bool
    ) -> AdmissionLead:
        """Returns the lead of a prompt.

        Args:
          size: the id of its size class.
          is_late: whether it will be late in any case.
        """
        dossier_s = 0.0
        if claimant.dossier is not None:
            found = self._dossiers[claimant.dossier.flow]
            dossier_s = self._dossier_waits.lead_s(found)
        parts = {
            LeadReason.TEAM: self._team_lead_s(claimant.team.flow),
            LeadReason.DOSSIER: dossier_s,
            LeadReason.SIZE: self._size_waits.lead_s(self._sizes.get(size)),
            LeadReason.RETURNED: _returned_lead_s(claimant, is_late),
        }
        lead_s = _bounded(sum(parts.values()), -_MAX_LAG_S, _MAX_LEAD_S)
        if not lead_s:
            return NO_LEAD
        sign = 1 if lead_s > 0 else -1
        reason = max(parts, key=lambda reason: sign * parts[reason])
        return AdmissionLead(lead_s, reason)

    def _team_lead_s(self, flow: FlowId) -> float:
        """Returns a team's lead by its share of the room and its waits.

        A team that sends many prompts waits long and still gets most of the
        room: its wait is no reason for a lead then.
        """
        team = self._teams[flow]
        wait_s = self._team_waits.lead_s(team)
        if team.tokens is None or not self._mean_tokens:
            return wait_s
        missing = _bounded(1.0 - team.tokens / self._mean_tokens, -1.0, 1.0)
        clear = max(0.0, abs(missing) - _CHANCE_SHARE) / (1.0 - _CHANCE_SHARE)
        if missing < 0:
            return -_MAX_PART_S * clear
        return _MAX_PART_S * clear + wait_s


def _best_known(
    standings: Iterable[FlowStanding],
) -> dict[FlowId, FlowStanding]:
    """Returns one standing of each flow, that of the most waits.

    Entries may have received those of one flow at different times.
    """
    found: dict[FlowId, FlowStanding] = {}
    for row in standings:
        best = found.get(row.flow)
        if best is None or _knowledge(row) > _knowledge(best):
            found[row.flow] = row
    return found


def _knowledge(row: FlowStanding) -> tuple[bool, float]:
    return row.tokens is not None, row.waits


class _Waits:
    """Compares the mean wait of one flow with that of the others."""

    def __init__(self, flows: Iterable[FlowStanding]):
        means_ms = [row.mean_ms for row in flows if row.waits > 0]
        self._sum_ms = sum(means_ms)
        self._count = len(means_ms)

    def lead_s(self, flow: FlowStanding | None) -> float:
        """Returns a lead for a wait that is longer than by chance.

        The fewer waits are known, the smaller it is.
        """
        if flow is None or flow.waits <= 0 or self._count < 2:
            return 0.0
        others_ms = (self._sum_ms - flow.mean_ms) / (self._count - 1)
        trust = flow.waits / (flow.waits + _HALF_TRUSTED_WAITS)
        longer_s = (flow.mean_ms - others_ms) / 1000 - _CHANCE_S
        return _bounded(trust * longer_s, 0.0, _MAX_PART_S)


def _mean_tokens(flows: dict[FlowId, FlowStanding]) -> float:
    tokens = [row.tokens for row in flows.values() if row.tokens is not None]
    return sum(tokens) / len(tokens) if tokens else 0.0


def _returned_lead_s(claimant: Claimant, is_late: bool) -> float:
    lost_s = claimant.lost_ms / 1000
    if is_late:
        return _bounded(lost_s, 0.0, _MAX_LEAD_S)
    growing_s = _LEAD_PER_LOST_S * (lost_s - _LONG_LOST_S)
    return _bounded(growing_s, 0.0, _MAX_PART_S)


def _bounded(value: float, least: float, most: float) -> float:
    return min(most, max(least, value))
