"""Answers the balancer's question whether callers may be sent."""

from collections.abc import Callable

from twisted.internet.protocol import Factory
from twisted.web.http import HTTPChannel, Request

__all__ = ["ready_factory"]

# The balancer asks once a second on one connection or on many.
_IDLE_S = 10


def ready_factory(ready: Callable[[], bool]) -> Factory:
    """Returns the factory of the balancer's connections."""

    class ReadyRequest(Request):
        """Says 200 or 503, whatever is asked."""

        def process(self) -> None:
            """Answers at once."""
            self.setResponseCode(200 if ready() else 503)
            self.setHeader(b"Content-Length", b"0")
            self.finish()

    class ReadyChannel(HTTPChannel):
        """One connection of the balancer."""

        requestFactory = ReadyRequest
        timeOut = _IDLE_S

    factory = Factory.forProtocol(ReadyChannel)
    factory.log = lambda request: None
    factory.noisy = False
    return factory
