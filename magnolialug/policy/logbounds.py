"""How many log lines a process may write."""

import enum

import msgspec

__all__ = ["Grade", "LogBounds"]


class Grade(enum.Enum):
    """How dearly a line is missed.

    DETAIL: what happens with every request.
    KEPT: what explains a failure or changes what the process believes.
    """

    DETAIL = "detail"
    KEPT = "kept"


class _Bucket(msgspec.Struct):
    rate: float
    burst: float
    left: float
    at: float = 0.0


class LogBounds:
    """A token bucket for each grade.

    At 50 requests a second, the load of a day here, a process writes some
    200 detail lines a second, and a line costs some 20 us: the bounds leave
    twice that, and keep ten times the load under 3% of a core.

    Attributes:
      dropped: lines left out since they were last told.
    """

    def __init__(self, detail_per_s: float = 400.0, kept_per_s: float = 400.0):
        self.dropped = 0
        self._buckets = {
            Grade.DETAIL: _Bucket(detail_per_s, detail_per_s, detail_per_s),
            Grade.KEPT: _Bucket(kept_per_s, 2 * kept_per_s, 2 * kept_per_s),
        }

    def take(self, grade: Grade, now: float) -> bool:
        """Whether a line may be written now; counts it if not."""
        bucket = self._buckets[grade]
        passed = max(0.0, now - bucket.at)
        bucket.left = min(bucket.burst, bucket.left + passed * bucket.rate)
        bucket.at = now
        if bucket.left < 1.0:
            self.dropped += 1
            return False
        bucket.left -= 1.0
        return True

    def told(self) -> int:
        """Returns the lines left out since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
