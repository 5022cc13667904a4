"""Shares the processor among connections whose bytes take long to parse."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from magnolialug.events import Event
from magnolialug.statelog import StateLog

__all__ = ["ReadScheduler", "Reader"]


class Reader(Protocol):
    """A connection that has stopped parsing what has arrived."""

    def continue_reading(self) -> None:
        """Parses a bounded part of it."""


class ReadScheduler:
    """Lets one reader continue in each pass of the event loop.

    However many there are, ordinary events wait for one bounded part at most;
    a single reader continues at once, pass after pass.

    Args:
      call_later: calls a function after a delay in seconds.
    """

    def __init__(
        self, call_later: Callable[[float, Callable[[], None]], object]
    ):
        self._call_later = call_later
        self._waiting: deque[Reader] = deque()
        self._known: set[Reader] = set()
        self._log = StateLog(Event.READS_DELAYED, Event.READS_CURRENT)

    @property
    def waiting_count(self) -> int:
        """How many readers are deferred."""
        return len(self._known)

    def tick(self, now: float) -> None:
        """Logs whether more than one reader has to wait."""
        if len(self._known) > 1:
            self._log.see(now)
        self._log.tick(now, waiting=len(self._known))

    def add(self, reader: Reader) -> None:
        """Lets a reader continue in a later pass, behind those before it."""
        if reader in self._known:
            return
        self._known.add(reader)
        self._waiting.append(reader)
        if len(self._waiting) == 1:
            self._call_later(0, self._run)

    def discard(self, reader: Reader) -> None:
        """Forgets a reader."""
        self._known.discard(reader)

    def _run(self) -> None:
        """Lets the first of them continue."""
        while self._waiting:
            reader = self._waiting.popleft()
            if reader in self._known:
                break
        else:
            return
        if self._waiting:
            self._call_later(0, self._run)
        self._known.discard(reader)
        reader.continue_reading()
