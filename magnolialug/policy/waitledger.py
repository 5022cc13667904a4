"""Recent waits for engine memory, by team, dossier or request."""

import math
from collections import OrderedDict
from hashlib import blake2b
from typing import NewType

import msgspec

__all__ = [
    "FlowId",
    "FlowStanding",
    "WaitLedger",
    "WaitReport",
    "bounded_standing",
    "flow_id",
]

FlowId = NewType("FlowId", str)

_ID_BYTES = 6
# Waits fade with this time constant: about the time within which a caller that
# was refused returns.
_DECAY_S = 15.0
# About 1 MB.
_MAX_FLOWS = 4_000
# Bounds of one report, so that a false one fades like others.
_MAX_WAITS = 100
_MAX_WAIT_MS = 15_000
_MAX_TOKENS = 2_000_000
# Bound of the waits in a received standing: far above what a flow adds up to,
# and small enough that products with it stay finite.
_MAX_STANDING_WAITS = 1_000_000
# A flow is forgotten when its waits have faded to this count.
_MIN_WAITS = 0.05


def flow_id(kind: str, name: str) -> FlowId:
    """Returns the id of a flow: whose waits are added up.

    Args:
      kind: what it is, such as a team.
      name: its name, unique for its kind.
    """
    data = f"{kind} {name}".encode()
    return FlowId(blake2b(data, digest_size=_ID_BYTES).hexdigest())


class WaitReport(msgspec.Struct, frozen=True, array_like=True):
    """Waits of one flow that have ended.

    Attributes:
      waits: how many; 0 only asks for the standing.
      waited_ms: the sum of them.
      tokens: engine memory that was granted after them.
    """

    flow: FlowId
    waits: int = 0
    waited_ms: int = 0
    tokens: int = 0


class FlowStanding(msgspec.Struct, frozen=True, array_like=True):
    """How a flow's prompts have waited lately.

    Attributes:
      waits: how many have waited, with a decay.
      mean_ms: how long they waited on average.
      tokens: engine memory that they got, with a decay; None if not known.
    """

    flow: FlowId
    waits: float = 0.0
    mean_ms: int = 0
    tokens: int | None = None


def bounded_standing(standing: FlowStanding) -> FlowStanding:
    """Returns a received standing within its bounds.

    One with a number that is not finite is returned without waits.
    """
    tokens = standing.tokens
    numbers = (standing.waits, standing.mean_ms, tokens or 0)
    if not all(map(math.isfinite, numbers)):
        return FlowStanding(standing.flow)
    if tokens is not None:
        most_tokens = _MAX_STANDING_WAITS * _MAX_TOKENS
        tokens = round(min(max(0, tokens), most_tokens))
    return FlowStanding(
        standing.flow,
        min(max(0.0, standing.waits), _MAX_STANDING_WAITS),
        round(min(max(0, standing.mean_ms), _MAX_WAIT_MS)),
        tokens,
    )


class _Row(msgspec.Struct):
    at: float
    waits: float = 0.0
    waited_ms: float = 0.0
    tokens: float = 0.0


class WaitLedger:
    """Adds up waits by flow, with exponential decay."""

    def __init__(self) -> None:
        self._rows: OrderedDict[FlowId, _Row] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def record(self, report: WaitReport, now: float) -> None:
        """Adds waits to their flow."""
        waits = min(max(0, report.waits), _MAX_WAITS)
        if not waits:
            return
        # What is clipped keeps its mean.
        kept = waits / report.waits
        waited_ms = kept * max(0, report.waited_ms)
        tokens = kept * max(0, report.tokens)
        row = self._rows.setdefault(report.flow, _Row(now))
        _fade(row, now)
        row.waits += waits
        row.waited_ms += min(waited_ms, waits * _MAX_WAIT_MS)
        row.tokens += min(tokens, waits * _MAX_TOKENS)
        self._rows.move_to_end(report.flow)
        if len(self._rows) > _MAX_FLOWS:
            self._rows.popitem(last=False)

    def standing(self, flow: FlowId, now: float) -> FlowStanding:
        """Returns a flow's standing; one without waits has had no memory."""
        row = self._rows.get(flow)
        if row is None:
            return FlowStanding(flow, tokens=0)
        _fade(row, now)
        if row.waits < _MIN_WAITS:
            del self._rows[flow]
            return FlowStanding(flow, tokens=0)
        mean_ms = round(row.waited_ms / row.waits)
        return FlowStanding(
            flow, round(row.waits, 2), mean_ms, round(row.tokens)
        )


def _fade(row: _Row, now: float) -> None:
    left = math.exp(min(0.0, row.at - now) / _DECAY_S)
    row.at = max(row.at, now)
    row.waits *= left
    row.waited_ms *= left
    row.tokens *= left
