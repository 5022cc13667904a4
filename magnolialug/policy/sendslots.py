"""One process's equal share of a request rate, in staggered send slots."""

import math

__all__ = ["SendSlots"]

# A send slot can be used this long after its time. A surge uses all available
# slots at the same moment. An endpoint tolerates 1.5 times its announced rate
# in any second, so the slots of half a second may be used in addition.
_SEND_GRACE_S = 0.5


class SendSlots:
    """Send slots of one process, one in each interval.

    To use the whole rate, the processes would have to agree on each request,
    also while they cannot reach each other. So each process keeps to an equal
    share. The slots of the processes are staggered by their phase, because all
    processes learn of a limited rate at the same time. A slot that is not used
    soon expires. Otherwise processes without requests would accumulate slots,
    and a surge would use all of them at the same moment.

    Attributes:
      interval_s: time between two slots, 0 for no limit.
    """

    def __init__(self):
        self.interval_s = 0.0
        self._phase = 0.0
        self._next_at = float("-inf")

    def share(self, rate: float, phase: float) -> None:
        """Sets this process's share.

        Args:
          rate: requests per second, 0 for no limit.
          phase: the fraction of an interval that precedes the first slot.
        """
        self.interval_s = 1.0 / rate if rate > 0 else 0.0
        self._phase = phase

    def begin(self, now: float) -> None:
        """Begins a time in which the rate is limited."""
        first_s = self._phase * self.interval_s
        self._next_at = max(self._next_at, now + first_s)

    def bring_forward(self, now: float) -> None:
        """Applies a shorter interval to the next slot."""
        self._next_at = min(self._next_at, now + self.interval_s)

    def next_at(self, now: float) -> float:
        """Returns the time of the first slot that has not expired."""
        late_s = now - self._next_at - _SEND_GRACE_S
        if late_s <= 0 or self.interval_s <= 0:
            return self._next_at
        lost = math.ceil(late_s / self.interval_s)
        return self._next_at + lost * self.interval_s

    def use(self, at: float) -> None:
        """Uses the slot of that time, and moves on to the next one."""
        self._next_at = at + self.interval_s
