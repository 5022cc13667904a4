"""Finds out whether an endpoint has ended when it closes a connection."""

from collections.abc import Callable
from functools import partial

from magnolialug.bars.messages import Loss
from magnolialug.carrier.pool import Pool
from magnolialug.ids import EndpointId

__all__ = ["EndWatch"]


class EndWatch:
    """Tells the end of an endpoint from an answer that broke off.

    Both look alike to the request that they meet. An endpoint that has ended
    closes every connection and takes no new one, which one connection shows
    within a crossing; its registry entry lapses only after seconds, in which
    the same request would have ended the next ones.

    Args:
      on_ended: is told of an endpoint that has ended, and what it had.
    """

    def __init__(
        self, on_ended: Callable[[EndpointId, tuple[Loss, ...]], None]
    ):
        self._on_ended = on_ended
        self._open: dict[EndpointId, list[Loss]] = {}

    def lost(self, endpoint: EndpointId, pool: Pool, loss: Loss) -> None:
        """Learns that an endpoint has closed a connection amid a request."""
        losses = self._open.get(endpoint)
        if losses is None:
            self._open[endpoint] = losses = []
            pool.probe(partial(self._probed, endpoint))
        losses.append(loss)

    def _probed(self, endpoint: EndpointId, ended: bool) -> None:
        losses = self._open.pop(endpoint)
        if ended:
            self._on_ended(endpoint, tuple(losses))
