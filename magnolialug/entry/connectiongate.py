"""Decides whether a new connection of a caller is accepted."""

from collections.abc import Callable

from magnolialug.entry.connectionlimit import ConnectionLimit
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.events import Event, emit
from magnolialug.policy.saturation import Saturation
from magnolialug.statelog import StateLog

__all__ = ["ConnectionGate"]


class ConnectionGate:
    """Turns new connections away while other entries serve them better.

    Args:
      saturation: the load of this entry, and of others.
      connections: returns the number of callers' connections.
      limit: bounds them.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        saturation: Saturation,
        connections: Callable[[], int],
        limit: ConnectionLimit,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ):
        self._saturation = saturation
        self._connections = connections
        self._metrics = metrics
        self._due_at = float("inf")
        self._turns_away = False
        self._limit = limit
        self._clock = clock
        self._full_log = StateLog(
            Event.CONNECTIONS_FULL, Event.CONNECTIONS_FREE
        )

    def accepts(self) -> bool:
        """Whether a new connection is accepted; one that is not is counted."""
        if self._turns_away:
            reason = "saturated"
        elif not self._limit.has_room():
            reason = "descriptors"
            self._full_log.see(self._clock())
        else:
            return True
        self._metrics.connections_refused.add(1, {"reason": reason})
        return False

    def tick(self, now: float, interval_s: float) -> None:
        """Measures how late this call is, and logs what follows.

        Args:
          interval_s: the time until the next call is due.
        """
        self._full_log.tick(
            now, connections=self._connections(), limit=self._limit.limit
        )
        self._saturation.record(max(0.0, now - self._due_at))
        self._due_at = now + interval_s
        turns_away = self._saturation.turns_away(now)
        if turns_away == self._turns_away:
            return
        self._turns_away = turns_away
        emit(
            Event.SATURATED if turns_away else Event.UNSATURATED,
            delay_s=round(self._saturation.delay_s, 3),
            connections=self._connections(),
        )
