"""Rate limit for new requests to an endpoint that has just started."""

import math

__all__ = ["ColdStart"]

# A send slot can be used this long after its time. A surge uses all available
# slots at the same moment. An endpoint tolerates 1.5 times its announced rate
# in any second, so the slots of half a second may be used in addition.
_SEND_GRACE_S = 0.5


class ColdStart:
    """One process's share of the request rate of a cold endpoint.

    A cold endpoint crashes if all processes together send it more requests
    than the rate it announces. To use that rate in full, the processes would
    have to agree on each request, also while they cannot reach each other. So
    each process keeps to an equal share: one send slot per interval. The slots
    of the processes are staggered by their phase, because all processes learn
    of the start at the same time. A slot that is not used soon expires.
    Otherwise processes without requests would accumulate slots, and a surge
    would use all of them at the same moment.

    Attributes:
      interval_s: time between two slots of this process, 0 for no limit.
      length_s: how long endpoints of the service are cold after a start.
      confirmed_until: when the endpoint stops being cold, from confirmed
        starts only, without assumed ones.
    """

    def __init__(self):
        self.interval_s = 0.0
        self.length_s = 0.0
        self.confirmed_until = float("-inf")
        self._phase = 0.0
        self._until = float("-inf")
        self._next_at = float("-inf")

    def limit(self, length_s: float, rate: float, phase: float = 0.0) -> None:
        """Sets the cold-start parameters of the service.

        Args:
          length_s: how long its endpoints are cold after a start.
          rate: this process's share in requests per second, 0 for no limit.
          phase: the fraction of an interval that precedes the first slot.
        """
        self.length_s = length_s
        self.interval_s = 1.0 / rate if rate > 0 else 0.0
        self._phase = phase

    def is_cold(self, now: float) -> bool:
        """Whether the endpoint is cold, or may be."""
        return now < self._until

    def record_cold(self, now: float, left_s: float) -> bool:
        """Records a confirmed cold period of `left_s` seconds from now.

        Returns:
          whether the endpoint was not treated as cold before.
        """
        self.confirmed_until = max(self.confirmed_until, now + left_s)
        return self.assume_cold(now, left_s)

    def assume_cold(self, now: float, left_s: float) -> bool:
        """Treats the endpoint as cold for `left_s` seconds from now.

        Returns:
          whether the endpoint was not treated as cold before.
        """
        is_new = not self.is_cold(now)
        if is_new:
            first_s = self._phase * self.interval_s
            self._next_at = max(self._next_at, now + first_s)
        self._until = max(self._until, now + left_s)
        return is_new

    def assume_started(self, now: float) -> bool:
        """Treats the endpoint as cold because it may just have started.

        Its registry entry shows the start only with the next heartbeat.

        Returns:
          whether the endpoint was not treated as cold before.
        """
        return self.length_s > 0 and self.assume_cold(now, self.length_s)

    def start(self, now: float) -> bool:
        """Records a start of the endpoint, by the service's cold period.

        Returns:
          whether the endpoint was not treated as cold before.
        """
        return self.length_s > 0 and self.record_cold(now, self.length_s)

    def may_send(self, now: float) -> bool:
        """Whether this process may send a request now."""
        return not self.is_cold(now) or now >= self._send_at(now)

    def wait_s(self, now: float) -> float:
        """Returns the time until this process may send a request."""
        if self.may_send(now):
            return 0.0
        return min(self._send_at(now), self._until) - now

    def sent(self, now: float) -> None:
        """Records a request that is sent, and moves on to the next slot."""
        send_at = self._send_at(now) if self.is_cold(now) else now
        self._next_at = send_at + self.interval_s

    def _send_at(self, now: float) -> float:
        """Returns the time of the first slot that has not expired."""
        late_s = now - self._next_at - _SEND_GRACE_S
        if late_s <= 0 or self.interval_s <= 0:
            return self._next_at
        lost = math.ceil(late_s / self.interval_s)
        return self._next_at + lost * self.interval_s
