"""Limits on what a caller may send, before anything is looked at."""

from io import BytesIO

import msgspec
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from magnolialug.entry.shapes import error_body
from magnolialug.result import CODES, Code, Failure, failed

__all__ = ["BoundedBody", "IntakeChannel", "IntakeRequest", "make_site"]

_HEADER_BYTES = 16 * 1024
_IDLE_S = 75
_LINGER_S = 1.0


def _raw(failure: Failure) -> bytes:
    body = msgspec.json.encode(error_body(failure))
    head = (
        f"HTTP/1.1 {CODES[failure.code].status} Refused\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


class IntakeChannel(HTTPChannel):
    """Answers unreadable requests with a numbered error.

    Two lengths, a length beside chunks, or an unknown transfer coding can be
    read one way by the balancer and another way here, so that one caller's
    bytes become another's request. The library refuses them all; this class
    only gives the refusal its number.
    """

    totalHeadersSize = _HEADER_BYTES
    refused = False
    _closing = None

    def body_limit(self) -> int:
        """Returns the most bytes that a body may have."""
        return self.site.limits().body_bytes

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        code = Code.BODY_TOO_LARGE if too_large else Code.AMBIGUOUS_HEADER
        self.refuse(failed(code, field="(headers)"))

    def lineLengthExceeded(self, line: bytes):
        """Refuses a line that is over the limit."""
        self.refuse(failed(Code.BODY_TOO_LARGE, field="(headers)"))

    def refuse(self, failure: Failure) -> None:
        """Answers, then closes once the caller had time to read it.

        Closing while the caller still writes resets the connection, and the
        answer is lost on its way: the caller sees a broken pipe instead of
        the error. So what still comes is dropped for a moment.
        """
        if self.refused:
            return
        self.refused = True
        self.setTimeout(None)
        self.transport.write(_raw(failure))
        half_close = getattr(self.transport, "loseWriteConnection", None)
        if half_close:
            half_close()
        self._closing = self.callLater(_LINGER_S, self._close)

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes, or drops them after a refusal."""
        if not self.refused:
            super().dataReceived(data)

    def connectionLost(self, reason) -> None:
        """Ends the wait for a refused caller."""
        if self._closing and self._closing.active():
            self._closing.cancel()
        super().connectionLost(reason)

    def _close(self) -> None:
        self.transport.loseConnection()


class BoundedBody:
    """Keeps a request's body in memory, bounded in bytes.

    The limit is the channel's `body_limit`.
    """

    refused = False

    def gotLength(self, length: int | None) -> None:
        """Begins a body."""
        self.content = BytesIO()
        if length:
            self._check(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._check(self.content.tell() + len(data))
        if not self.refused:
            self.content.write(data)

    def refuse(self, failure: Failure) -> None:
        """Refuses the request; what still comes of it is dropped."""
        self.refused = True
        self.channel.refuse(failure)

    def _check(self, size: int) -> None:
        if not self.refused and size > self.channel.body_limit():
            self.refuse(failed(Code.BODY_TOO_LARGE, field="(body)", value=size))


class IntakeRequest(BoundedBody, Request):
    """Holds a body in memory, bounded in bytes and in time.

    The limits are the site's `body_bytes` and `body_s`; a body written drop
    by drop would otherwise hold its connection and memory for ever.
    """

    _timer = None

    def gotLength(self, length: int | None) -> None:
        """Begins a body."""
        body_s = self.channel.site.limits().body_s
        self._timer = self.channel.callLater(body_s, self._too_slow)
        super().gotLength(length)

    def requestReceived(self, command, path, version) -> None:
        """Goes on with a whole request."""
        self._stop_timer()
        if not self.refused:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason) -> None:
        """Forgets the request."""
        self._stop_timer()
        super().connectionLost(reason)

    def refuse(self, failure: Failure) -> None:
        """Refuses the request; what still comes of it is dropped."""
        self._stop_timer()
        super().refuse(failure)

    def _too_slow(self) -> None:
        self.refuse(failed(Code.BODY_TOO_SLOW, field="(body)"))

    def _stop_timer(self) -> None:
        if self._timer and self._timer.active():
            self._timer.cancel()


def make_site(resource, limits, reactor) -> Site:
    """Returns a site with bounded intake.

    Args:
      limits: returns the limits in force.
    """
    site = Site(
        resource,
        requestFactory=IntakeRequest,
        reactor=reactor,
        timeout=_IDLE_S,
    )
    site.protocol = IntakeChannel
    site.limits = limits
    site.displayTracebacks = False
    site.log = lambda request: None
    return site
