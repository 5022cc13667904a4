"""Rate limit for the log lines of a process."""

import enum

import msgspec

__all__ = ["Grade", "LogLimiter"]


class Grade(enum.Enum):
    """Importance of a log line.

    DETAIL: written for every request.
    KEPT: explains a failure, or a change in what the process knows of others.
    """

    DETAIL = "detail"
    KEPT = "kept"


class _Bucket(msgspec.Struct):
    rate: float
    burst: float
    left: float
    at: float = 0.0


class LogLimiter:
    """A token bucket for each grade.

    At 50 requests per second, a usual daily load, a process writes about 200
    detail lines per second, and a line costs about 20 us. The limits allow
    twice that rate, and keep the cost at ten times the load under 3% of a core.

    Attributes:
      dropped: lines dropped since they were last reported.
    """

    def __init__(self, detail_per_s: float = 400.0, kept_per_s: float = 400.0):
        self.dropped = 0
        self._buckets = {
            Grade.DETAIL: _Bucket(detail_per_s, detail_per_s, detail_per_s),
            Grade.KEPT: _Bucket(kept_per_s, 2 * kept_per_s, 2 * kept_per_s),
        }

    def take(self, grade: Grade, now: float) -> bool:
        """Whether a line may be written now; counts it as dropped if not."""
        bucket = self._buckets[grade]
        passed = max(0.0, now - bucket.at)
        bucket.left = min(bucket.burst, bucket.left + passed * bucket.rate)
        bucket.at = now
        if bucket.left < 1.0:
            self.dropped += 1
            return False
        bucket.left -= 1.0
        return True

    def take_dropped(self) -> int:
        """Returns the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
