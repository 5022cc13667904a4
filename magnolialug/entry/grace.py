"""The time between the signal to stop and the kill."""

from collections.abc import Callable

import msgspec

from magnolialug.entry.forwardcall import ForwardCall

__all__ = ["NOTICED_S", "Grace"]

# After the signal to stop, the balancer needs two misses at a second each
# until it sends no more.
NOTICED_S = 2.6
# Work that is taken later than this after the signal may outlast the grace;
# by then the balancer sends none, and callers were told to close.
_TAKES_WORK_S = 2.8
_MARGIN_S = 0.4


class Grace:
    """Knows whether a stop has begun and what may still be done.

    Args:
      grace_s: returns the platform's time between signal and kill.
    """

    def __init__(
        self, clock: Callable[[], float], grace_s: Callable[[], float]
    ):
        self._clock = clock
        self._grace_s = grace_s
        self._begun_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the signal has come."""
        return self._begun_at is not None

    @property
    def takes_work(self) -> bool:
        """Whether a call that comes now can be finished."""
        if self._begun_at is None:
            return True
        return self._clock() - self._begun_at <= _TAKES_WORK_S

    @property
    def end(self) -> float:
        """When what is left is given up."""
        return self._begun_at + self._grace_s() - _MARGIN_S

    def begin(self) -> None:
        """Learns that the signal has come."""
        self._begun_at = self._clock()

    def within(self, call: ForwardCall) -> ForwardCall:
        """Ends a call that comes during a stop before the kill does."""
        if self._begun_at is None:
            return call
        deadline = min(call.deadline, self.end - _MARGIN_S)
        return msgspec.structs.replace(call, deadline=deadline)
