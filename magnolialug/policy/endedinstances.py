"""Endpoint instances that are known to have ended."""

from collections import OrderedDict

from magnolialug.ids import EndpointId

__all__ = ["EndedInstances"]

# A delayed heartbeat can be some seconds old. This holds all endpoints of a
# rolling release of a thousand endpoints within that time.
_MAX_INSTANCES = 1000


class EndedInstances:
    """The most recently ended instances of endpoints.

    The registry can list an endpoint again long after its end, when its last
    heartbeat is processed late. An instance is identified by the endpoint's
    id and its start time, or by the id alone if endpoints do not report the
    start time.
    """

    def __init__(self) -> None:
        self._ended: OrderedDict[tuple[EndpointId, int], None] = OrderedDict()

    def mark_ended(self, endpoint: EndpointId, born_ms: int) -> None:
        """Records that an instance has ended."""
        self._ended[endpoint, born_ms] = None
        while len(self._ended) > _MAX_INSTANCES:
            self._ended.popitem(last=False)

    def unmark_ended(self, endpoint: EndpointId, born_ms: int) -> None:
        """Records that an instance has not ended after all."""
        self._ended.pop((endpoint, born_ms), None)

    def has_ended(self, endpoint: EndpointId, born_ms: int) -> bool:
        """Whether an instance is known to have ended."""
        return (endpoint, born_ms) in self._ended
