"""Periodic steps of a process."""

from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from magnolialug.guard import Guard

__all__ = ["TICK_INTERVAL_S", "Step", "Ticker"]

# Deadlines and time-outs are checked this often, so they take effect at most
# this late.
TICK_INTERVAL_S = 0.05
# Expired state is dropped this often: idle connections past their time, cache
# state that is too old to use, stores that now have another entry as owner.
_CLEAN_UP_INTERVAL_S = 0.25

# A step's name, and what makes it; it receives the time in seconds.
Step = tuple[str, Callable[[float], None]]


class Ticker:
    """Makes steps at intervals; one that raises keeps no others back.

    Attributes:
      guard: makes the steps, and counts those that failed.
      steps: made at each tick, in this order.

    Args:
      clean_ups: steps that are made less often, behind the others.
    """

    def __init__(
        self,
        clock: IReactorTime,
        steps: tuple[Step, ...],
        clean_ups: tuple[Step, ...],
    ):
        self.guard = Guard(clock.seconds)
        self.steps = steps
        self._clean_ups = clean_ups
        self._clock = clock
        self._clean_up_at = 0.0
        self._timer: IDelayedCall | None = None

    def start(self) -> None:
        """Makes the first steps at once."""
        self._on_tick()

    def stop(self) -> None:
        """Makes no further steps."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _on_tick(self) -> None:
        self._timer = self._clock.callLater(TICK_INTERVAL_S, self._on_tick)
        now = self._clock.seconds()
        self._make(self.steps, now)
        if now >= self._clean_up_at:
            self._clean_up_at = now + _CLEAN_UP_INTERVAL_S
            self._make(self._clean_ups, now)

    def _make(self, steps: tuple[Step, ...], now: float) -> None:
        for name, step in steps:
            self.guard.call(name, step, now)
