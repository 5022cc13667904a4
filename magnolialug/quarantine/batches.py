"""Splits what is to be sent into messages of a bounded size."""

from collections.abc import Iterable, Iterator
from typing import TypeVar

__all__ = ["batches"]

_Row = TypeVar("_Row")


def batches(rows: Iterable[_Row], size: int) -> Iterator[tuple[_Row, ...]]:
    """Yields the rows in tuples of at most `size`."""
    left = tuple(rows)
    for begin in range(0, len(left), size):
        yield left[begin : begin + size]
