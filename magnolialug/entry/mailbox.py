"""A queue of incoming messages for one task."""

from collections import deque
from typing import Generic, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.timing import TIMED_OUT, TimedOut, within

__all__ = ["Mailbox"]

T = TypeVar("T")

# Several windows: after a link was lost, the sidecar sends what it sent before.
_MAX_ITEMS = 512


class Mailbox(Generic[T]):
    """A FIFO queue of messages with one reader.

    A sidecar sends at most one window of pieces beyond the last ack. The link
    of one that sends far more is dropped.

    Args:
      max_items: how many messages may wait.
    """

    def __init__(self, clock: IReactorTime, max_items: int = _MAX_ITEMS):
        self._clock = clock
        self._max_items = max_items
        self._items: deque[T] = deque()
        self._waiting: Deferred[T] | None = None

    def __len__(self) -> int:
        return len(self._items)

    @property
    def is_full(self) -> bool:
        """Whether as many messages wait as may."""
        return len(self._items) >= self._max_items

    def put(self, item: T) -> None:
        """Adds a message and wakes the reader."""
        if self._waiting is None:
            self._items.append(item)
            return
        fut, self._waiting = self._waiting, None
        fut.callback(item)

    async def get(self, timeout_s: float) -> T | TimedOut:
        """Returns the next message, or TIMED_OUT after `timeout_s` seconds."""
        if self._items:
            return self._items.popleft()
        if timeout_s <= 0:
            return TIMED_OUT
        self._waiting = Deferred(self._cancel_wait)
        return await within(self._clock, timeout_s, self._waiting)

    def _cancel_wait(self, fut: Deferred) -> None:
        if self._waiting is fut:
            self._waiting = None
