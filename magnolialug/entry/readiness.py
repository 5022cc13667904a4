"""HTTP listeners for the readiness check and for operators."""

from collections.abc import (
    Awaitable,
    Callable,
    Iterable,
    Mapping,
    Sequence,
)

from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import HTTPChannel, Request

from magnolialug.entry.headernames import bound_name_cache
from magnolialug.events import Event, emit

__all__ = ["Page", "ready_factory", "text_factory"]

# The load balancer checks once a second, on one connection or on many.
_IDLE_TIMEOUT_S = 10
_TEXT = b"text/plain; charset=utf-8"
_JSON = b"application/json"

# Returns status and JSON for the parameters of a query; it is cancelled if the
# asker leaves.
Page = Callable[[Mapping[bytes, Sequence[bytes]]], Awaitable[tuple[int, bytes]]]


def ready_factory(
    ready: Callable[[], bool],
    failing: Callable[[], Iterable[str]] = lambda: (),
) -> Factory:
    """Returns a factory that answers the load balancer's readiness checks.

    Args:
      ready: returns whether the load balancer may send callers.
      failing: returns the names of what fails, which the answer lists.
    """

    def answer() -> tuple[int, bytes]:
        lines = "".join(f"failing: {name}\n" for name in failing())
        return 200 if ready() else 503, lines.encode()

    return _factory(answer)


def text_factory(
    text: Callable[[], str], pages: Mapping[bytes, Page] | None = None
) -> Factory:
    """Returns a factory that answers requests with a text.

    Args:
      pages: what GET requests of other paths get in its place.
    """
    return _factory(lambda: (200, text().encode()), pages or {})


def _factory(
    answer: Callable[[], tuple[int, bytes]],
    pages: Mapping[bytes, Page] | None = None,
) -> Factory:
    bound_name_cache()
    pages = pages or {}

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

    class AnswerChannel(HTTPChannel):
        """One connection."""

        requestFactory = AnswerRequest
        timeOut = _IDLE_TIMEOUT_S

    factory = Factory.forProtocol(AnswerChannel)
    factory.log = lambda request: None
    factory.noisy = False
    return factory
