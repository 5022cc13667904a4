"""Pauses of answers by the prompt tokens that were read beside them."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Sequence
from itertools import accumulate

import msgspec

from magnolialug.ctl.answertimes import is_served
from magnolialug.ctl.records import time_of
from magnolialug.ctl.textrow import seconds_cells, text_row

__all__ = ["BesidePauses", "pauses_beside", "pauses_beside_table"]

# Upper ends of the classes, in unread tokens a second; the last has none.
_CLASSES = (
    (5_000, "under 5,000/s"),
    (15_000, "to 15,000/s"),
    (30_000, "to 30,000/s"),
)
_MOST = "more"
_NAMES = (*(name for _, name in _CLASSES), _MOST)
# A rate over a shorter time says little; what was placed just before an answer
# began is still being read.
_LEAST_S = 1.0
_SHARES = (0.5, 0.95, 0.99)


class BesidePauses(msgspec.Struct):
    """Answers of one route and class: their longest pauses, and late ones."""

    gaps_s: list[float] = []
    late: int = 0


class _Placed(msgspec.Struct, frozen=True):
    at: float
    endpoint: str
    unread: int


class _Reading:
    """What was placed at one endpoint, for sums over any time."""

    def __init__(self, rows: Sequence[_Placed]):
        self._times = [row.at for row in rows]
        self._sums = [0, *accumulate(row.unread for row in rows)]

    def tokens(self, begin: float, end: float) -> int:
        """Returns the unread tokens that were placed from begin to end."""
        first = bisect_left(self._times, begin)
        last = bisect_right(self._times, end)
        return self._sums[last] - self._sums[first]


def pauses_beside(
    records: Sequence[dict],
) -> dict[tuple[str, str], BesidePauses]:
    """Returns pauses by route and by class of what was read beside them.

    An answer counts at the endpoint that its request was placed at last.
    Answers of hedged requests do not count, as they need not come from there.

    Args:
      records: in the order of their times.
    """
    requests: dict[str, list[_Placed]] = defaultdict(list)
    endpoints: dict[str, list[_Placed]] = defaultdict(list)
    hedged: set[str] = set()
    for record in records:
        if record.get("name") == "HEDGED":
            hedged.add(record.get("request", ""))
        if record.get("name") == "PLACED":
            row = _placed(record)
            requests[record.get("request", "")].append(row)
            endpoints[row.endpoint].append(row)
    readings = {name: _Reading(rows) for name, rows in endpoints.items()}
    found: dict[tuple[str, str], BesidePauses] = defaultdict(BesidePauses)
    for record in filter(_has_pause, records):
        request = record.get("request", "")
        own = requests.get(request)
        if own and request not in hedged:
            rate = _rate_beside(record, own, readings[own[-1].endpoint])
            pauses = found[record.get("route", ""), _class_of(rate)]
            pauses.gaps_s.append(record["longest_gap_s"])
            pauses.late += not record.get("gaps_in_time", True)
    return dict(found)


def _placed(record: dict) -> _Placed:
    endpoint = record.get("endpoint", "")
    return _Placed(time_of(record), endpoint, record.get("unread", 0))


def _has_pause(record: dict) -> bool:
    measured = is_served(record) and "longest_gap_s" in record
    return measured and record.get("events", 0) > 1


def _rate_beside(
    record: dict, own: Sequence[_Placed], reading: _Reading
) -> float:
    """Returns the unread tokens a second that others brought meanwhile."""
    end = time_of(record)
    answer_s = record.get("took_s", 0.0) - record.get("first_s", 0.0)
    lasted_s = max(_LEAST_S, answer_s)
    begin = end - lasted_s
    own_tokens = sum(
        row.unread
        for row in own
        if row.endpoint == own[-1].endpoint and begin <= row.at <= end
    )
    return (reading.tokens(begin, end) - own_tokens) / lasted_s


def _class_of(rate: float) -> str:
    return next((name for limit, name in _CLASSES if rate < limit), _MOST)


def pauses_beside_table(
    found: dict[tuple[str, str], BesidePauses],
) -> list[str]:
    """Returns the pauses as text."""
    heads = ("unread beside", "answers", "late: pause", "p50 s", "p95 s")
    rows = [text_row("longest pauses", [*heads, "p99 s"])]
    for route in sorted({route for route, _ in found}):
        for name in _NAMES:
            pauses = found.get((route, name), BesidePauses())
            cells = [name, len(pauses.gaps_s), pauses.late]
            cells += seconds_cells(pauses.gaps_s, _SHARES)
            rows.append(text_row(route or "(none)", cells))
    return rows
