"""How long requests waited for room before an endpoint got them."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from magnolialug.ctl.textrow import percentile, seconds_cells, text_row

__all__ = ["RouteWaits", "placement_waits", "placement_waits_table"]

_ENDED = frozenset(("REQUEST_FAILED", "CANCELLED"))
_UNPLACED = "unplaced"


class RouteWaits(msgspec.Struct):
    """The requests of one route, each by its first attempt.

    Attributes:
      placed: how many an endpoint got.
      waited_s: the waits of those that had to wait.
      unread: prompt tokens that those asked room for.
      room: the free share of memory that those got.
      unplaced_s: the times of those that ended before any endpoint got them.
    """

    placed: int = 0
    waited_s: list[float] = []
    unread: list[int] = []
    room: list[float] = []
    unplaced_s: list[float] = []


def placement_waits(records: Iterable[dict]) -> dict[str, RouteWaits]:
    """Returns the waits before placement by route.

    Args:
      records: in the order of their times.
    """
    routes: dict[str, RouteWaits] = defaultdict(RouteWaits)
    placed: set[str] = set()
    for record in records:
        request = record.get("request")
        if record.get("name") == "PLACED" and request not in placed:
            placed.add(request)
            _add_placed(routes[record.get("route", "")], record)
        elif record.get("name") in _ENDED and record.get("phase") == _UNPLACED:
            waits = routes[record.get("route", "")]
            waits.unplaced_s.append(record.get("took_s", 0.0))
    return dict(routes)


def _add_placed(waits: RouteWaits, record: dict) -> None:
    waits.placed += 1
    waited_s = record.get("waited_s", 0.0)
    if not waited_s:
        return
    waits.waited_s.append(waited_s)
    waits.unread.append(record.get("unread", 0))
    if record.get("room") is not None:
        waits.room.append(record["room"])


def placement_waits_table(routes: dict[str, RouteWaits]) -> list[str]:
    """Returns the waits as text."""
    heads = ("placed", "waited", "sum s", "p95 s", "longest s")
    heads += ("unread p50", "room p50", "unplaced", "their s")
    rows = [text_row("waits before placement", heads)]
    for route, waits in sorted(routes.items()):
        times = waits.waited_s
        cells = [waits.placed, len(times), f"{sum(times):.1f}"]
        cells += seconds_cells(times, (0.95, 1.0))
        cells.append(percentile(waits.unread, 0.5) if waits.unread else "-")
        cells += seconds_cells(waits.room, (0.5,))
        cells += [len(waits.unplaced_s), f"{sum(waits.unplaced_s):.1f}"]
        rows.append(text_row(route or "(none)", cells))
    return rows
