"""Detects whether an endpoint that closed a connection has crashed."""

from collections.abc import Callable
from functools import partial

from magnolialug.carrier.pool import Pool
from magnolialug.ids import EndpointId
from magnolialug.quarantine.messages import LostRequest

__all__ = ["CrashDetector"]


class CrashDetector:
    """Distinguishes a crash of an endpoint from a truncated answer.

    On the connection of the request, both look the same. A crashed endpoint
    closes all of its connections and accepts no new one, which one attempt to
    connect shows. Its registry entry expires only seconds later, and in that
    time the same request would crash further endpoints.

    Args:
      on_crash: receives a crashed endpoint and the requests lost with it.
    """

    def __init__(
        self, on_crash: Callable[[EndpointId, tuple[LostRequest, ...]], None]
    ):
        self._on_crash = on_crash
        self._pending: dict[EndpointId, list[LostRequest]] = {}

    def record_loss(
        self, endpoint: EndpointId, pool: Pool, loss: LostRequest
    ) -> None:
        """Records a request whose connection the endpoint has closed."""
        losses = self._pending.get(endpoint)
        if losses is None:
            self._pending[endpoint] = losses = []
            pool.probe(partial(self._probed, endpoint))
        losses.append(loss)

    def _probed(self, endpoint: EndpointId, crashed: bool) -> None:
        losses = self._pending.pop(endpoint)
        if crashed:
            self._on_crash(endpoint, tuple(losses))
