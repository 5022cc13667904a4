"""Opens a link to a sidecar."""

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from magnolialug.wire.link import Link

__all__ = ["CONNECT_S", "connect_link"]

CONNECT_S = 2.0


def connect_link(reactor, host: str, port: int) -> Deferred:
    """Returns a deferred link to a sidecar."""
    point = TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_S)
    return connectProtocol(point, Link(reactor))
