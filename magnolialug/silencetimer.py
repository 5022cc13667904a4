"""A bound on silence, which what arrives meanwhile puts off."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

__all__ = ["SilenceTimer"]


class SilenceTimer:
    """Ends an exchange in which nothing arrives for too long.

    Args:
      due: returns when it will have been silent for too long, in seconds of
        the clock.
      end: ends the exchange.
    """

    def __init__(
        self,
        clock: IReactorTime,
        due: Callable[[], float],
        end: Callable[[], None],
    ):
        self._clock = clock
        self._due = due
        self._end = end
        self._timer: IDelayedCall | None = None

    def check(self) -> None:
        """Ends the exchange if it is due, or checks again when it will be."""
        self.cancel()
        left_s = self._due() - self._clock.seconds()
        if left_s > 0:
            self._timer = self._clock.callLater(left_s, self.check)
        else:
            self._end()

    def cancel(self) -> None:
        """Checks no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
