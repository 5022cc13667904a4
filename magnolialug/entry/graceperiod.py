"""The grace period between the stop signal and the kill."""

from collections.abc import Callable

import msgspec

from magnolialug.entry.forwardcall import ForwardCall

__all__ = ["READINESS_NOTICE_S", "GracePeriod"]

# The load balancer stops sending after two failed readiness checks, which are
# a second apart.
READINESS_NOTICE_S = 2.6
# A call accepted later than this after the signal may outlast the grace period.
# By then the load balancer sends none, and responses have announced that their
# connections close.
_ACCEPT_S = 2.8
_MARGIN_S = 0.4


class GracePeriod:
    """State of a planned stop: whether it has begun, and its time limits.

    Args:
      clock: returns the time in seconds.
      grace_s: returns the platform's time between signal and kill, in
        seconds.
    """

    def __init__(
        self, clock: Callable[[], float], grace_s: Callable[[], float]
    ):
        self._clock = clock
        self._grace_s = grace_s
        self._begun_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the stop signal has been received."""
        return self._begun_at is not None

    @property
    def accepts_calls(self) -> bool:
        """Whether a call that arrives now can be finished in time."""
        if self._begun_at is None:
            return True
        return self._clock() - self._begun_at <= _ACCEPT_S

    @property
    def end(self) -> float:
        """When the process ends, on the given clock."""
        return self._begun_at + self._grace_s() - _MARGIN_S

    @property
    def calls_end(self) -> float:
        """When calls in progress get their last answer, on the given clock."""
        return self.end - _MARGIN_S

    @property
    def left_s(self) -> float:
        """How long this process can serve on after a signal that comes now."""
        if self._begun_at is None:
            return self._grace_s() - _MARGIN_S
        return self.end - self._clock()

    def begin(self) -> None:
        """Starts the grace period at the stop signal."""
        self._begun_at = self._clock()

    def limit_deadline(self, call: ForwardCall) -> ForwardCall:
        """Returns the call, during a stop with a deadline before the kill."""
        if self._begun_at is None:
            return call
        deadline = min(call.deadline, self.calls_end)
        return msgspec.structs.replace(call, deadline=deadline)
