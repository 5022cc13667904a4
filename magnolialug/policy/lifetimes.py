"""Starts of endpoints that are known to be over."""

from collections import OrderedDict

from magnolialug.ids import EndpointId

__all__ = ["Lifetimes"]

# A late heartbeat can be some seconds old. In a rolling release of a thousand
# endpoints in that time all are still remembered.
_KEPT = 1000


class Lifetimes:
    """Remembers which starts of which endpoints have ended.

    The registry can show an endpoint again that is long gone, when its last
    heartbeat is carried out late. A start is named by the id and the time of
    its begin; where endpoints do not tell that, by the id alone.
    """

    def __init__(self) -> None:
        self._over: OrderedDict[tuple[EndpointId, int], None] = OrderedDict()

    def over(self, endpoint: EndpointId, born_ms: int) -> None:
        """Learns that a start has ended."""
        self._over[endpoint, born_ms] = None
        while len(self._over) > _KEPT:
            self._over.popitem(last=False)

    def goes_on(self, endpoint: EndpointId, born_ms: int) -> None:
        """Learns that a start has not ended after all."""
        self._over.pop((endpoint, born_ms), None)

    def is_over(self, endpoint: EndpointId, born_ms: int) -> bool:
        """Whether a start is known to have ended."""
        return (endpoint, born_ms) in self._over
