"""When callers that were refused for a limited rate may return."""

from collections.abc import Hashable

__all__ = ["ReturnSchedule"]

# The longest time after which a caller is told to return. A limit may end or
# rise meanwhile, and callers do not wait longer.
_MAX_RETURN_S = 5.0


class ReturnSchedule:
    """Spaces the returns of refused callers by the rate that serves them.

    Callers that were all told the time of the next permit would return at one
    moment, and all but one would be refused again.
    """

    def __init__(self):
        self._next_at: dict[Hashable, float] = {}

    def after_s(
        self, key: Hashable, wait_s: float, rate: float, now: float
    ) -> float:
        """Returns the time after which the next caller may return.

        Args:
          key: what the callers wait for.
          wait_s: time until a request can be served.
          rate: requests per second that are served then.
        """
        at = max(now + wait_s, self._next_at.get(key, now))
        if at > now + _MAX_RETURN_S:
            return _MAX_RETURN_S
        self._next_at[key] = at + 1.0 / rate
        return at - now
