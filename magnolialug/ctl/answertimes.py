"""Which answers were late by their first event, by a pause, or by both."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from magnolialug.ctl.textrow import seconds_cells, text_row
from magnolialug.policy.ontime import Lateness

__all__ = ["RouteTimes", "answer_times", "answer_times_tables", "is_served"]

_CAUSES = {late.value: late for late in Lateness}
_SHARES = (0.5, 0.95, 0.99)


class RouteTimes(msgspec.Struct):
    """The whole answers of one route.

    Attributes:
      late: answers by what made them late.
      unmeasured: answers whose lines tell no pause: of routes without streams,
        and of earlier releases. Only their first event counts.
      first_s: times to the first event.
      gaps_s: longest pauses, of answers with two events or more.
    """

    late: Counter[Lateness] = msgspec.field(default_factory=Counter)
    unmeasured: int = 0
    first_s: list[float] = []
    gaps_s: list[float] = []


def is_served(record: dict) -> bool:
    """Whether a line tells of a whole answer of an endpoint that succeeded."""
    is_done = record.get("name") == "REQUEST_DONE"
    return is_done and 200 <= record.get("status", 0) < 300


def answer_times(records: Iterable[dict]) -> dict[str, RouteTimes]:
    """Returns the times of whole answers by route."""
    routes: dict[str, RouteTimes] = defaultdict(RouteTimes)
    for record in filter(is_served, records):
        times = routes[record.get("route", "")]
        times.late[_lateness(record)] += 1
        times.first_s.append(record.get("first_s", 0.0))
        if "longest_gap_s" not in record:
            times.unmeasured += 1
        elif record.get("events", 0) > 1:
            times.gaps_s.append(record["longest_gap_s"])
    return dict(routes)


def _lateness(record: dict) -> Lateness:
    named = _CAUSES.get(record.get("late"))
    if named is not None:
        return named
    return Lateness.ON_TIME if record.get("in_time") else Lateness.FIRST_EVENT


def answer_times_tables(routes: dict[str, RouteTimes]) -> list[str]:
    """Returns both kinds of lateness, and the times behind them, as text."""
    heads = ("answers", "on time", "late: 1st", "late: pause", "late: both")
    rows = [text_row("answers by route", [*heads, "unmeasured"])]
    for route, times in sorted(routes.items()):
        counts = [times.late[late] for late in Lateness]
        cells = [sum(counts), *counts, times.unmeasured]
        rows.append(text_row(route or "(none)", cells))
    heads = ("1st p50", "1st p95", "1st p99")
    heads += ("pause p50", "pause p95", "pause p99")
    rows += ["", text_row("seconds an answer", heads)]
    for route, times in sorted(routes.items()):
        first = seconds_cells(times.first_s, _SHARES)
        gaps = seconds_cells(times.gaps_s, _SHARES)
        rows.append(text_row(route or "(none)", [*first, *gaps]))
    return rows
