"""Calls functions so that an exception in one does not keep others back."""

import traceback
from collections import Counter
from collections.abc import Callable

from magnolialug.events import Event, emit

__all__ = ["Guard"]

# A function that fails at every call is logged this often, in seconds.
_LOG_INTERVAL_S = 10.0


class Guard:
    """Calls named functions, and logs and counts their exceptions.

    Attributes:
      failures: how many calls of each function have failed.
      failing: the functions whose latest call failed.

    Args:
      clock: returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self.failures: Counter[str] = Counter()
        self.failing: set[str] = set()
        self._clock = clock
        self._logged_at: dict[str, float] = {}

    def call(
        self, name: str, function: Callable[..., object], *args: object
    ) -> BaseException | None:
        """Calls a function; returns the exception that it raised, if any."""
        try:
            function(*args)
        except Exception as exc:
            self._record(name)
            return exc
        self.failing.discard(name)
        return None

    def _record(self, name: str) -> None:
        self.failures[name] += 1
        self.failing.add(name)
        now = self._clock()
        if now - self._logged_at.get(name, float("-inf")) < _LOG_INTERVAL_S:
            return
        self._logged_at[name] = now
        emit(
            Event.TASK_FAILED,
            task=name,
            failures=self.failures[name],
            traceback=traceback.format_exc(),
        )
