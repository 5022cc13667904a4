"""Finds out whether an endpoint that closes a connection has crashed."""

from collections.abc import Callable
from functools import partial

from magnolialug.carrier.pool import Pool
from magnolialug.ids import EndpointId
from magnolialug.quarantine.messages import Loss

__all__ = ["CrashDetector"]


class CrashDetector:
    """Tells a crash from an answer that broke off.

    A request cannot tell the two apart. A crashed endpoint closes all of its
    connections and accepts no new one, which one attempt to connect shows. Its
    registry entry lapses seconds later, and in that time the same request
    would crash further endpoints.

    Args:
      on_crash: receives a crashed endpoint and the requests it had.
    """

    def __init__(
        self, on_crash: Callable[[EndpointId, tuple[Loss, ...]], None]
    ):
        self._on_crash = on_crash
        self._open: dict[EndpointId, list[Loss]] = {}

    def lost(self, endpoint: EndpointId, pool: Pool, loss: Loss) -> None:
        """Learns that an endpoint has closed a connection amid a request."""
        losses = self._open.get(endpoint)
        if losses is None:
            self._open[endpoint] = losses = []
            pool.probe(partial(self._probed, endpoint))
        losses.append(loss)

    def _probed(self, endpoint: EndpointId, crashed: bool) -> None:
        losses = self._open.pop(endpoint)
        if crashed:
            self._on_crash(endpoint, tuple(losses))
