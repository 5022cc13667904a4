"""Decides whether a new connection of a caller is accepted."""

import resource
from collections.abc import Callable

from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.events import Event, emit
from magnolialug.policy.saturation import Saturation

__all__ = ["ConnectionGate"]

# Share of this process's descriptors for callers' connections. The others are
# for endpoints and the key-value service, without which no caller is served.
_CALLERS_DESCRIPTORS = 0.6


class ConnectionGate:
    """Turns new connections away while other entries serve them better.

    Args:
      saturation: the load of this entry, and of others.
      connections: returns the number of callers' connections.
    """

    def __init__(
        self,
        saturation: Saturation,
        connections: Callable[[], int],
        metrics: GatewayMetrics,
    ):
        self._saturation = saturation
        self._connections = connections
        self._metrics = metrics
        self._due_at = float("inf")
        self._turns_away = False
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_connections = int(descriptors * _CALLERS_DESCRIPTORS)

    def accepts(self) -> bool:
        """Whether a new connection is accepted; one that is not is counted."""
        if self._connections() >= self._max_connections:
            reason = "descriptors"
        elif self._turns_away:
            reason = "saturated"
        else:
            return True
        self._metrics.connections_refused.add(1, {"reason": reason})
        return False

    def tick(self, now: float, interval_s: float) -> None:
        """Measures how late this call is, and logs what follows.

        Args:
          interval_s: the time until the next call is due.
        """
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
