"""Bounds the new work of an endpoint that has just started."""

from random import Random

__all__ = ["ColdStart"]


class ColdStart:
    """One process's share of what a cold endpoint tolerates.

    A cold endpoint crashes under more requests than it announces, from all
    processes together. They would have to agree on each request to use that
    rate in full, also while they cannot reach each other; so each keeps to an
    equal share of it, as one request per interval. The first interval begins
    at a random moment, because all of them learn of the start at once.

    Attributes:
      interval_s: between two requests of this process, 0 for no limit.
      length_s: how long endpoints of the service are cold after a start.
    """

    def __init__(self, random: Random):
        self.interval_s = 0.0
        self.length_s = 0.0
        self._random = random
        self._until = float("-inf")
        self._next_at = float("-inf")

    def limit(self, length_s: float, rate: float) -> None:
        """Takes the service's traits.

        Args:
          length_s: how long its endpoints are cold after a start.
          rate: requests a second of this process's share, 0 for no limit.
        """
        self.length_s = length_s
        self.interval_s = 1.0 / rate if rate > 0 else 0.0

    def is_cold(self, now: float) -> bool:
        """Whether the endpoint is cold, or may be."""
        return now < self._until

    def begin(self, now: float, left_s: float) -> bool:
        """Learns that the endpoint is cold for some time.

        Returns:
          whether that is new.
        """
        is_new = not self.is_cold(now)
        if is_new:
            first_s = self._random.uniform(0.0, self.interval_s)
            self._next_at = max(self._next_at, now + first_s)
        self._until = max(self._until, now + left_s)
        return is_new

    def presume(self, now: float) -> bool:
        """Learns that the endpoint may have started a moment ago.

        Its registry entry tells so only with its next heartbeat.
        """
        return self.length_s > 0 and self.begin(now, self.length_s)

    def may_send(self, now: float) -> bool:
        """Whether this process may send a request now."""
        return not self.is_cold(now) or now >= self._next_at

    def wait_s(self, now: float) -> float:
        """Returns the time until this process may send a request."""
        if self.may_send(now):
            return 0.0
        return min(self._next_at, self._until) - now

    def sent(self, now: float) -> None:
        """Counts a request that is sent."""
        self._next_at = now + self.interval_s
