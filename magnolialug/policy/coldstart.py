"""Rate limit for new requests to an endpoint that has just started."""

from magnolialug.policy.sendslots import SendSlots

__all__ = ["ColdStart"]


class ColdStart:
    """One process's share of the request rate of a cold endpoint.

    A cold endpoint crashes if all processes together send it more requests
    than the rate it announces. So each process keeps to its send slots.

    Attributes:
      length_s: how long endpoints of the service are cold after a start.
      confirmed_until: when the endpoint stops being cold, from confirmed
        starts only, without assumed ones.
    """

    def __init__(self):
        self.length_s = 0.0
        self.confirmed_until = float("-inf")
        self._slots = SendSlots()
        self._until = float("-inf")

    @property
    def interval_s(self) -> float:
        """Time between two slots of this process, 0 for no limit."""
        return self._slots.interval_s

    def limit(self, length_s: float, rate: float, phase: float = 0.0) -> None:
        """Sets the cold-start parameters of the service.

        Args:
          length_s: how long its endpoints are cold after a start.
          rate: this process's share in requests per second, 0 for no limit.
          phase: the fraction of an interval that precedes the first slot.
        """
        self.length_s = length_s
        self._slots.share(rate, phase)

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
            self._slots.begin(now)
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
        return not self.is_cold(now) or now >= self._slots.next_at(now)

    def wait_s(self, now: float) -> float:
        """Returns the time until this process may send a request."""
        if self.may_send(now):
            return 0.0
        return min(self._slots.next_at(now), self._until) - now

    def sent(self, now: float) -> None:
        """Records a request that is sent, and moves on to the next slot."""
        is_cold = self.is_cold(now)
        self._slots.use(self._slots.next_at(now) if is_cold else now)
