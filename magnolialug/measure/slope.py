"""One measured slope, and how it is taken."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

__all__ = ["Slope", "bytes_each", "micros_each"]

_ROUNDS = 7


class Slope(msgspec.Struct, frozen=True):
    """A cost that grows with a count.

    Attributes:
      name: what one more costs.
      unit: "B", "us", "ms", "MB" or "calls".
      median: over the rounds.
      low: least round.
      high: greatest round.
    """

    name: str
    unit: str
    median: float
    low: float
    high: float


def micros_each(
    name: str, step: Callable[[], object], count: int, rounds: int = _ROUNDS
) -> Slope:
    """Returns the processor time of one step in microseconds."""
    step()
    figures = []
    for _ in range(rounds):
        started = time.process_time()
        for _ in range(count):
            step()
        figures.append((time.process_time() - started) / count * 1e6)
    return _slope(name, "us", figures)


def bytes_each(name: str, build: Callable[[int], object], count: int) -> Slope:
    """Returns the heap bytes of one of count things kept alive."""
    figures = []
    for part in (count // 2, count):
        gc.collect()
        tracemalloc.start()
        kept = build(part)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        figures.append(size / part)
    return _slope(name, "B", figures)


def _slope(name: str, unit: str, figures: list[float]) -> Slope:
    return Slope(
        name, unit, statistics.median(figures), min(figures), max(figures)
    )
