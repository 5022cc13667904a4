"""Bounds the number of callers' connections."""

import resource
from collections.abc import Callable, Collection
from typing import Protocol

__all__ = ["ConnectionLimit", "Idler", "max_connections"]

# Share of a process's sockets for callers' connections. The others are for
# endpoints and the key-value service, without which no caller is served.
_CALLERS_SHARE = 0.6
# Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
# Connections that give way are closed in the next pass of the event loop, so
# that there are more for a moment.
_OVERLAP_DIVISOR = 10
# So many give way at once that the search is not made for each new connection.
_BATCH_DIVISOR = 4
_SEARCH_INTERVAL_S = 0.02


def max_connections(descriptors: int | None) -> int:
    """Returns how many callers' connections a process may have.

    Args:
      descriptors: how many the process may have; None for what the kernel
        allows.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors is not None:
        allowed = min(allowed, int(descriptors))
    sockets = max(allowed - _FILE_DESCRIPTORS, allowed // 2)
    return int(sockets * _CALLERS_SHARE)


class Idler(Protocol):
    """A caller's connection."""

    has_served: bool
    phase_started_at: float

    def is_idling(self, now: float) -> bool:
        """Whether its caller has neither sent nor been owed anything lately."""

    def close_idle(self) -> None:
        """Closes it."""


class ConnectionLimit:
    """Accepts connections; at the limit, idle ones give way.

    Those that never sent a whole request go first, then those that have been
    idle for the longest.

    Args:
      connections: all that are open.
      limit: the most that may be.
      clock: returns the time in seconds.
      on_gave_way: called for each that has given way.
    """

    def __init__(
        self,
        connections: Collection[Idler],
        limit: int,
        clock: Callable[[], float],
        on_gave_way: Callable[[], None] = lambda: None,
    ):
        self.limit = limit
        self._connections = connections
        self._clock = clock
        self._on_gave_way = on_gave_way
        self._closing: set[Idler] = set()
        self._searched_at = float("-inf")

    def has_room(self) -> bool:
        """Whether a new connection may be accepted; makes room if need be."""
        count = len(self._connections)
        if count < self.limit:
            return True
        if count >= self.limit + self.limit // _OVERLAP_DIVISOR:
            return False
        self._closing.intersection_update(self._connections)
        if count - len(self._closing) >= self.limit:
            self._make_room()
        return count - len(self._closing) < self.limit

    def _make_room(self) -> None:
        now = self._clock()
        if now - self._searched_at < _SEARCH_INTERVAL_S:
            return
        self._searched_at = now
        rows = [
            row
            for row in self._connections
            if row not in self._closing and row.is_idling(now)
        ]
        rows.sort(key=lambda row: (row.has_served, row.phase_started_at))
        for row in rows[: max(1, self.limit // _BATCH_DIVISOR)]:
            self._closing.add(row)
            row.close_idle()
            self._on_gave_way()
