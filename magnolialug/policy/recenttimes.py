"""When something last happened for each of many keys, for a while."""

from collections import OrderedDict
from collections.abc import Hashable

__all__ = ["RecentTimes"]


class RecentTimes:
    """Remembers the newest time for each key, bounded in age and in number.

    Keys may come from callers, so that neither may grow without a bound.

    Args:
      keep_s: how long a time is remembered, in seconds.
      limit: the most keys; the oldest are dropped above it.
    """

    def __init__(self, keep_s: float, limit: int):
        self._keep_s = keep_s
        self._limit = limit
        self._rows: OrderedDict[Hashable, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def record(self, key: Hashable, now: float) -> None:
        """Records that it happened now."""
        self._rows[key] = now
        self._rows.move_to_end(key)
        if len(self._rows) > self._limit:
            self._rows.popitem(last=False)

    def age_s(self, key: Hashable, now: float) -> float:
        """Returns the time since it last happened, infinity if not known."""
        age_s = now - self._rows.get(key, float("-inf"))
        return age_s if age_s <= self._keep_s else float("inf")

    def drop_expired(self, now: float) -> None:
        """Forgets what happened too long ago."""
        while self._rows:
            key, at = next(iter(self._rows.items()))
            if now - at <= self._keep_s:
                return
            del self._rows[key]
