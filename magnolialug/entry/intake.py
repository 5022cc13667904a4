"""Limits on requests, enforced before a request is processed."""

import traceback
from io import SEEK_END, BytesIO

import msgspec
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from magnolialug.entry.headernames import bound_name_cache
from magnolialug.entry.requestbody import RequestBody
from magnolialug.entry.responseformats import error_body
from magnolialug.events import Event, emit
from magnolialug.result import CODES, Code, Failure, failed

__all__ = ["BoundedBody", "IntakeChannel", "IntakeRequest", "make_site"]

_MAX_HEADER_BYTES = 16 * 1024
_IDLE_TIMEOUT_S = 75
_LINGER_S = 1.0


def _raw_response(failure: Failure) -> bytes:
    body = msgspec.json.encode(error_body(failure))
    head = (
        f"HTTP/1.1 {CODES[failure.code].status} Refused\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    if failure.retry_after_s > 0:
        head += f"Retry-After: {failure.retry_after_s:.2f}\r\n"
    head += "Connection: close\r\n\r\n"
    return head.encode() + body


class IntakeChannel(HTTPChannel):
    """Answers malformed requests with a numbered error.

    Two lengths, a length together with chunks, or an unknown transfer coding
    can be interpreted one way by the load balancer and another way here, so
    that one caller's bytes become another caller's request (request
    smuggling). Twisted refuses all of these; this class only adds the error
    number.
    """

    totalHeadersSize = _MAX_HEADER_BYTES
    refused = False
    _close_timer = None

    def body_limit(self) -> int:
        """Returns the maximum size of a body in bytes."""
        return self.site.limits().body_bytes

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        code = Code.BODY_TOO_LARGE if too_large else Code.AMBIGUOUS_HEADER
        self.refuse(failed(code, field="(headers)"))

    def lineLengthExceeded(self, line: bytes):
        """Refuses a header line over the size limit."""
        self.refuse(failed(Code.BODY_TOO_LARGE, field="(headers)"))

    def refuse(self, failure: Failure) -> None:
        """Sends the error, and closes after the caller had time to read it.

        Closing while the caller is still writing resets the connection and
        loses the response: the caller sees a broken pipe instead of the
        error. Further input is therefore discarded for a short time first.
        """
        if self.refused:
            return
        self.refused = True
        # What has arrived behind it is not parsed any further.
        self.paused = True
        if self.requests:
            self.requests[-1].release()
        self.setTimeout(None)
        self.transport.write(_raw_response(failure))
        half_close = getattr(self.transport, "loseWriteConnection", None)
        if half_close:
            half_close()
        self._close_timer = self.callLater(_LINGER_S, self._close)

    def dataReceived(self, data: bytes) -> None:
        """Handles bytes; after a refusal they are discarded.

        The reactor closes a connection whose protocol raises. Its caller gets
        an answer instead.
        """
        if self.refused:
            return
        try:
            super().dataReceived(data)
        except Exception as exc:
            emit(
                Event.TASK_FAILED,
                task="request intake",
                traceback=traceback.format_exc(),
            )
            self.refuse(failed(Code.UNREADABLE_REQUEST, type(exc).__name__))
        if self.refused:
            self.clearLineBuffer()

    def connectionLost(self, reason) -> None:
        """Cancels the delayed close."""
        if self._close_timer and self._close_timer.active():
            self._close_timer.cancel()
        super().connectionLost(reason)

    def _close(self) -> None:
        self.transport.loseConnection()


class BoundedBody:
    """Buffers a request's body in memory, up to the channel's `body_limit`.

    Attributes:
      received: the body as far as it has arrived, None before its head.
    """

    refused = False
    received: RequestBody | None = None

    def gotLength(self, length: int | None) -> None:
        """Starts buffering a body."""
        self.received = RequestBody()
        if length:
            self._check_size(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Adds a part of the body."""
        self._check_size(self.received.size + len(data))
        if not self.refused:
            self.received.append(data)

    def refuse(self, failure: Failure) -> None:
        """Refuses the request; its further input is discarded."""
        self.refused = True
        self.channel.refuse(failure)

    def release(self) -> None:
        """Lets go of the body."""
        if self.received is not None:
            self.received.release()

    def _check_size(self, size: int) -> None:
        if not self.refused and size > self.channel.body_limit():
            self.refuse(failed(Code.BODY_TOO_LARGE, field="(body)", value=size))


class IntakeRequest(BoundedBody, Request):
    """Buffers a body in memory, limited in size and in time.

    The limits are the site's `body_bytes` and `body_s`. Without a time limit
    a body that is sent a few bytes at a time would hold its connection and
    memory indefinitely.
    """

    _timer = None

    def gotLength(self, length: int | None) -> None:
        """Starts the body's time limit and buffering."""
        body_s = self.channel.site.limits().body_s
        self._timer = self.channel.callLater(body_s, self._too_slow)
        super().gotLength(length)

    def requestReceived(self, command, path, version) -> None:
        """Processes a complete request."""
        self._stop_timer()
        if self.refused:
            return
        self.content = BytesIO(self.received.join())
        self.received.release()
        # The parser goes by the place behind the body's last byte.
        self.content.seek(0, SEEK_END)
        super().requestReceived(command, path, version)

    def connectionLost(self, reason) -> None:
        """Cancels the body's time limit."""
        self._stop_timer()
        super().connectionLost(reason)

    def refuse(self, failure: Failure) -> None:
        """Refuses the request; its further input is discarded."""
        self._stop_timer()
        super().refuse(failure)

    def _too_slow(self) -> None:
        self.refuse(failed(Code.BODY_TOO_SLOW, field="(body)"))

    def _stop_timer(self) -> None:
        if self._timer and self._timer.active():
            self._timer.cancel()


def make_site(resource, limits, reactor) -> Site:
    """Returns a site that limits the size and duration of requests.

    Args:
      resource: serves the requests.
      limits: returns the current limits.
    """
    bound_name_cache()
    site = Site(
        resource,
        requestFactory=IntakeRequest,
        reactor=reactor,
        timeout=_IDLE_TIMEOUT_S,
    )
    site.protocol = IntakeChannel
    site.limits = limits
    site.displayTracebacks = False
    site.log = lambda request: None
    return site
