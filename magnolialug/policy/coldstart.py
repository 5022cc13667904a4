"""Bounds the new work of an endpoint that has just started."""

import math

__all__ = ["ColdStart"]

# For this long a turn may be taken late. A surge takes all turns that are due
# at the same moment; an endpoint tolerates half as much again as it announces
# in a second, so the turns of half a second may come besides.
_TURN_S = 0.5


class ColdStart:
    """One process's share of what a cold endpoint tolerates.

    A cold endpoint crashes under more requests than it announces, from all
    processes together. They would have to agree on each request to use that
    rate in full, also while they cannot reach each other; so each keeps to an
    equal share of it, as one turn per interval. Turns of the processes follow
    each other, because all of them learn of the start at once. A turn that is
    not taken soon is lost: processes without requests would save theirs up, and
    a surge would bring them all at the same moment.

    Attributes:
      interval_s: between two turns of this process, 0 for no limit.
      length_s: how long endpoints of the service are cold after a start.
      known_until: when the endpoint stops being cold, as far as that is known
        and not presumed.
    """

    def __init__(self):
        self.interval_s = 0.0
        self.length_s = 0.0
        self.known_until = float("-inf")
        self._phase = 0.0
        self._until = float("-inf")
        self._next_at = float("-inf")

    def limit(self, length_s: float, rate: float, phase: float = 0.0) -> None:
        """Takes the service's traits.

        Args:
          length_s: how long its endpoints are cold after a start.
          rate: requests a second of this process's share, 0 for no limit.
          phase: the part of an interval that passes before the first turn.
        """
        self.length_s = length_s
        self.interval_s = 1.0 / rate if rate > 0 else 0.0
        self._phase = phase

    def is_cold(self, now: float) -> bool:
        """Whether the endpoint is cold, or may be."""
        return now < self._until

    def begin(self, now: float, left_s: float) -> bool:
        """Learns that the endpoint is cold for some time.

        Returns:
          whether that is new.
        """
        self.known_until = max(self.known_until, now + left_s)
        return self.believe(now, left_s)

    def believe(self, now: float, left_s: float) -> bool:
        """Takes the endpoint for cold for some time.

        Returns:
          whether that is new.
        """
        is_new = not self.is_cold(now)
        if is_new:
            first_s = self._phase * self.interval_s
            self._next_at = max(self._next_at, now + first_s)
        self._until = max(self._until, now + left_s)
        return is_new

    def presume(self, now: float) -> bool:
        """Learns that the endpoint may have started a moment ago.

        Its registry entry tells so only with its next heartbeat.
        """
        return self.length_s > 0 and self.believe(now, self.length_s)

    def start(self, now: float) -> bool:
        """Learns that the endpoint has started, or may have, from the service.

        Returns:
          whether that is new.
        """
        return self.length_s > 0 and self.begin(now, self.length_s)

    def may_send(self, now: float) -> bool:
        """Whether this process may send a request now."""
        return not self.is_cold(now) or now >= self._turn_at(now)

    def wait_s(self, now: float) -> float:
        """Returns the time until this process may send a request."""
        if self.may_send(now):
            return 0.0
        return min(self._turn_at(now), self._until) - now

    def sent(self, now: float) -> None:
        """Counts a request that is sent."""
        turn_at = self._turn_at(now) if self.is_cold(now) else now
        self._next_at = turn_at + self.interval_s

    def _turn_at(self, now: float) -> float:
        """Returns when the first turn begins that is not lost."""
        late_s = now - self._next_at - _TURN_S
        if late_s <= 0 or self.interval_s <= 0:
            return self._next_at
        lost = math.ceil(late_s / self.interval_s)
        return self._next_at + lost * self.interval_s
