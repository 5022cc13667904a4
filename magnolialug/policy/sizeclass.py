"""Size classes of prompts, by what has been usual lately."""

import enum
from collections import deque

from sortedcontainers import SortedList

__all__ = ["SizeClass", "SizeClasses"]

_MAX_SIZES = 200
# With fewer sizes, no class is told from another.
_MIN_SIZES = 10
_LARGEST_QUANTILE = 0.9
_LARGE_QUANTILE = 0.7


class SizeClass(enum.Enum):
    """The largest tenth of the prompts, the next fifth, and the rest."""

    LARGEST = "largest"
    LARGE = "large"
    REST = "rest"


class SizeClasses:
    """Classifies prompts among the most recent ones."""

    def __init__(self) -> None:
        self._recent: deque[int] = deque()
        self._sizes: SortedList = SortedList()

    def record(self, tokens: int) -> None:
        """Records the size of a prompt."""
        self._recent.append(tokens)
        self._sizes.add(tokens)
        if len(self._recent) > _MAX_SIZES:
            self._sizes.remove(self._recent.popleft())

    def of(self, tokens: int) -> SizeClass:
        """Returns the class of a size; equal sizes are in the same one."""
        if len(self._sizes) < _MIN_SIZES:
            return SizeClass.REST
        if tokens > self._quantile(_LARGEST_QUANTILE):
            return SizeClass.LARGEST
        if tokens > self._quantile(_LARGE_QUANTILE):
            return SizeClass.LARGE
        return SizeClass.REST

    def _quantile(self, share: float) -> int:
        return self._sizes[int(share * len(self._sizes)) - 1]
