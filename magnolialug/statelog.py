"""Logs when a state begins and when it has ended."""

from magnolialug.events import Event, emit

__all__ = ["StateLog"]

# A state that comes back within this time has not ended.
_HOLD_S = 1.0


class StateLog:
    """Writes one line at each end of a state, however often it is seen.

    Attributes:
      is_on: whether the state holds, as far as was logged.
    """

    def __init__(self, begin: Event, end: Event):
        self.is_on = False
        self._begin = begin
        self._end = end
        self._seen_at = float("-inf")

    def see(self, now: float) -> None:
        """Records that the state holds."""
        self._seen_at = now

    def tick(self, now: float, **fields: object) -> None:
        """Logs a change, with some fields."""
        is_on = now - self._seen_at < _HOLD_S
        if is_on != self.is_on:
            self.is_on = is_on
            emit(self._begin if is_on else self._end, **fields)
