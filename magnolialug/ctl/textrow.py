"""Rows of the tables that operators read, and what stands in their cells."""

import math
from collections.abc import Iterable, Sequence

__all__ = ["percentile", "seconds_cells", "text_row"]


def text_row(name: str, cells: Iterable[object]) -> str:
    """Returns one row of a table."""
    return f"{name:<24}" + "".join(f"{cell!s:>14}" for cell in cells)


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the least value that a share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def seconds_cells(values: Sequence[float], shares: Iterable[float]) -> list:
    """Returns cells of percentiles in seconds, "-" where nothing is known."""
    if not values:
        return ["-" for _ in shares]
    return [f"{percentile(values, share):.3f}" for share in shares]
