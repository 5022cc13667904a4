"""HTTP listeners for the readiness check and for operators."""

from collections.abc import (
    Awaitable,
    Callable,
    Iterable,
    Mapping,
    Sequence,
)
from io import BytesIO

from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import HTTPChannel, Request

from magnolialug.entry.headernames import bound_name_cache
from magnolialug.events import Event, emit

__all__ = ["Page", "ready_factory", "text_factory"]

# The load balancer checks once a second, on one connection or on many.
_IDLE_TIMEOUT_S = 10
# Far more than the load balancer and operators use.
_MAX_CONNECTIONS = 64
_NO_BODY = (
    b"HTTP/1.1 413 Content Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
_TEXT = b"text/plain; charset=utf-8"
_JSON = b"application/json"

# Returns status and JSON for the parameters of a query; it is cancelled if the
# asker leaves.
Page = Callable[[Mapping[bytes, Sequence[bytes]]], Awaitable[tuple[int, bytes]]]


class _AnswerChannel(HTTPChannel):
    """One connection."""

    timeOut = _IDLE_TIMEOUT_S

    def requestDone(self, request) -> None:
        """Ends a request; nothing that was sent ahead of it is served."""
        if self._buffer or any(self._dataBuffer):
            self.persistent = False
        super().requestDone(request)

    def connectionLost(self, reason) -> None:
        """Forgets the connection."""
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)


class _AnswerFactory(Factory):
    """Accepts connections; the oldest gives way to a new one.

    Args:
      request_class: answers the requests.
      on_gave_way: called for each connection that has given way.
    """

    noisy = False
    protocol = _AnswerChannel

    def __init__(self, request_class: type, on_gave_way: Callable[[], None]):
        self._request_class = request_class
        self._on_gave_way = on_gave_way
        # Ordered by age.
        self.channels: dict[_AnswerChannel, None] = {}

    def buildProtocol(self, addr) -> HTTPChannel:
        """Returns the channel of a new connection."""
        if len(self.channels) >= _MAX_CONNECTIONS:
            oldest = next(iter(self.channels))
            del self.channels[oldest]
            oldest.transport.abortConnection()
            self._on_gave_way()
        channel = super().buildProtocol(addr)
        channel.requestFactory = self._request_class
        self.channels[channel] = None
        return channel

    def log(self, request) -> None:
        """Writes no access log."""


def ready_factory(
    ready: Callable[[], bool],
    failing: Callable[[], Iterable[str]] = lambda: (),
    on_gave_way: Callable[[], None] = lambda: None,
) -> Factory:
    """Returns a factory that answers the load balancer's readiness checks.

    Args:
      ready: returns whether the load balancer may send callers.
      failing: returns the names of what fails, which the answer lists.
      on_gave_way: called for each connection that is closed for a new one.
    """

    def answer() -> tuple[int, bytes]:
        lines = "".join(f"failing: {name}\n" for name in failing())
        return 200 if ready() else 503, lines.encode()

    return _factory(answer, {}, on_gave_way)


def text_factory(
    text: Callable[[], str],
    pages: Mapping[bytes, Page] | None = None,
    on_gave_way: Callable[[], None] = lambda: None,
) -> Factory:
    """Returns a factory that answers requests with a text.

    Args:
      pages: what GET requests of other paths get in its place.
      on_gave_way: called for each connection that is closed for a new one.
    """
    return _factory(lambda: (200, text().encode()), pages or {}, on_gave_way)


def _factory(
    answer: Callable[[], tuple[int, bytes]],
    pages: Mapping[bytes, Page],
    on_gave_way: Callable[[], None],
) -> Factory:
    bound_name_cache()

    class AnswerRequest(Request):
        """Gives the same response to every request but those of pages."""

        def process(self) -> None:
            """Writes the response, or begins to make it."""
            page = pages.get(self.path) if self.method == b"GET" else None
            if page is None:
                self._respond(*answer(), _TEXT)
                return
            fut = ensureDeferred(page(self.args))
            self.notifyFinish().addErrback(lambda _: fut.cancel())
            fut.addCallback(lambda found: self._respond(*found, _JSON))
            fut.addErrback(self._on_error)

        def _respond(self, status: int, body: bytes, form: bytes) -> None:
            self.setResponseCode(status)
            self.setHeader(b"Content-Type", form)
            self.setHeader(b"Content-Length", b"%d" % len(body))
            self.write(body)
            self.finish()

        def _on_error(self, reason: TwistedFailure) -> None:
            if reason.check(CancelledError):
                return
            emit(Event.TASK_FAILED, traceback=reason.getTraceback())
            self._respond(500, b"", _TEXT)

        def gotLength(self, length: int | None) -> None:
            """Refuses a body, since no answer depends on one."""
            self.content = BytesIO()
            if length != 0:
                self.channel.transport.write(_NO_BODY)
                self.channel.loseConnection()

    return _AnswerFactory(AnswerRequest, on_gave_way)
