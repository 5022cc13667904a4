"""HTTP listeners for the readiness check and for metrics as text."""

from collections.abc import Callable

from twisted.internet.protocol import Factory
from twisted.web.http import HTTPChannel, Request

__all__ = ["ready_factory", "text_factory"]

# The load balancer checks once a second, on one connection or on many.
_IDLE_TIMEOUT_S = 10


def ready_factory(ready: Callable[[], bool]) -> Factory:
    """Returns a factory that answers the load balancer's readiness checks."""
    return _factory(lambda: (200 if ready() else 503, b""))


def text_factory(text: Callable[[], str]) -> Factory:
    """Returns a factory that answers every request with a text."""
    return _factory(lambda: (200, text().encode()))


def _factory(answer: Callable[[], tuple[int, bytes]]) -> Factory:
    class OneAnswerRequest(Request):
        """Gives the same response to every request."""

        def process(self) -> None:
            """Writes the response."""
            status, body = answer()
            self.setResponseCode(status)
            self.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
            self.setHeader(b"Content-Length", b"%d" % len(body))
            self.write(body)
            self.finish()

    class OneAnswerChannel(HTTPChannel):
        """One connection."""

        requestFactory = OneAnswerRequest
        timeOut = _IDLE_TIMEOUT_S

    factory = Factory.forProtocol(OneAnswerChannel)
    factory.log = lambda request: None
    factory.noisy = False
    return factory
