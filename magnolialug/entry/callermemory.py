"""Keeps what a process holds for callers within its memory."""

from collections.abc import Callable, Iterable
from typing import Protocol

from magnolialug.events import Event
from magnolialug.policy.memorybudget import SMALL_BYTES, Charge, MemoryBudget
from magnolialug.result import Code, Failure, failed
from magnolialug.statelog import StateLog

__all__ = ["LAG_S", "MIN_RATE_BYTES_PER_S", "CallerMemory", "Holder"]

# A caller lags when it has neither sent nor read at this rate for this long.
# Only a caller that lags gives way to a large request.
MIN_RATE_BYTES_PER_S = 32 * 1024
LAG_S = 1.0
# More than asked for is freed, so that the search is not made for each request.
_SPARE_DIVISOR = 16
# A search for the room of a large request, or one that has not made enough room
# for a small one, is not made again before.
_SEARCH_INTERVAL_S = 0.05


class Holder(Protocol):
    """A connection, for which something is held."""

    @property
    def held_bytes(self) -> int:
        """What giving way frees."""

    @property
    def can_give_way(self) -> bool:
        """Whether it holds something and waits for its caller alone."""

    def is_lagging(self, now: float) -> bool:
        """Whether its caller neither sends nor reads at the least rate."""

    def give_way(self, failure: Failure) -> None:
        """Lets go of what it holds; the failure is for its caller."""


class CallerMemory:
    """Admits what is to be held; the worst holder gives way to ordinary ones.

    Args:
      holders: returns all connections.
      clock: returns the time in seconds.
      on_gave_way: called for each holder that has given way.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        holders: Callable[[], Iterable[Holder]],
        clock: Callable[[], float],
        on_gave_way: Callable[[], None] = lambda: None,
    ):
        self.budget = budget
        self._holders = holders
        self._clock = clock
        self._on_gave_way = on_gave_way
        self._searched_at = self._fruitless_at = float("-inf")
        self._log = StateLog(Event.CALLER_MEMORY_FULL, Event.CALLER_MEMORY_FREE)
        self._gave_way = 0

    def admit(self, charge: Charge, size: int, asker: Holder) -> Failure | None:
        """Sets what a charge holds, if there is room or others make some.

        Returns:
          why it is not set, None if it is.
        """
        missing = self.budget.excess(charge, size)
        if missing:
            self._log.see(self._clock())
            self._make_room(charge, size, asker)
            if self.budget.excess(charge, size):
                return no_memory()
        self.budget.set(charge, size)
        return None

    def tick(self, now: float) -> None:
        """Logs when pressure has begun or ended."""
        self._log.tick(
            now,
            held=self.budget.held_bytes,
            limit=self.budget.limit_bytes,
            gave_way=self._gave_way,
        )

    def _make_room(self, charge: Charge, size: int, asker: Holder) -> None:
        now = self._clock()
        if size <= SMALL_BYTES:
            self._make_small_room(charge, size, asker, now)
        elif now - self._searched_at >= _SEARCH_INTERVAL_S:
            self._searched_at = now
            self._make_large_room(charge, size, asker, now)

    def _make_small_room(
        self, charge: Charge, size: int, asker: Holder, now: float
    ) -> None:
        """Lets those that lag give way, then large ones that do not."""
        if now - self._fruitless_at < _SEARCH_INTERVAL_S:
            return
        rows = self._rows(asker)
        missing = self.budget.excess(charge, size)
        wanted = missing + self.budget.limit_bytes // _SPARE_DIVISOR
        self._free([row for row in rows if row.is_lagging(now)], wanted)
        missing = self.budget.excess(charge, size)
        if missing:
            larger = [row for row in rows if row.held_bytes > SMALL_BYTES]
            self._free(larger, missing)
        if self.budget.excess(charge, size):
            self._fruitless_at = now

    def _make_large_room(
        self, charge: Charge, size: int, asker: Holder, now: float
    ) -> None:
        """Lets those that lag give way, if that is enough."""
        rows = [row for row in self._rows(asker) if row.is_lagging(now)]
        if self.budget.lacks_large_room(charge, size):
            rows = [row for row in rows if row.held_bytes > SMALL_BYTES]
        missing = self.budget.excess(charge, size)
        if sum(row.held_bytes for row in rows) >= missing:
            self._free(rows, missing)

    def _rows(self, asker: Holder) -> list[Holder]:
        return [
            row
            for row in self._holders()
            if row is not asker and row.can_give_way
        ]

    def _free(self, rows: list[Holder], wanted: int) -> None:
        """Lets the worst of some holders give way, as many as are needed."""
        held_before = self.budget.held_bytes
        for row in sorted(rows, key=lambda row: -row.held_bytes):
            if held_before - self.budget.held_bytes >= wanted:
                return
            row.give_way(no_memory())
            self._gave_way += 1
            self._on_gave_way()


def no_memory() -> Failure:
    """Returns the refusal of a request for which there is no room.

    By the time that it names, a holder whose caller lags has given way.
    """
    return failed(Code.NO_MEMORY, retry_after_s=LAG_S)
