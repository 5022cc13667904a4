"""Writes an endpoint's answer to one caller."""

import msgspec

from magnolialug.carrier.pool import PendingRequest
from magnolialug.entry.forwardcall import HeaderList
from magnolialug.entry.gatewaychannel import GatewayRequest
from magnolialug.entry.shapes import error_body
from magnolialug.result import CODES, Code, Executed, Failure

__all__ = ["GatewaySink", "refusal_status"]

_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
# These say that the request did not run and never will.
_PROMISES = (408, 421, 429, 503)


def refusal_status(failure: Failure) -> int:
    """Returns the status of a failure as a whole.

    A status that promises "not run" is only sent when that is known; a
    caller that trusts it would book a second time.
    """
    status = CODES[failure.code].status
    if failure.executed is Executed.NO:
        return status
    if failure.code is Code.TIMED_OUT:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY if status in _PROMISES else status


class GatewaySink:
    """One response; it is the producer that the caller's socket holds back.

    Attributes:
      opened: whether the head has been sent.
      gone: whether the caller has left.
      over: whether the response has ended, however.
    """

    def __init__(self, req: GatewayRequest, closing: bool):
        self.opened = False
        self.gone = False
        self.over = False
        self.status = 0
        self._req = req
        self._closing = closing
        self._pending_request: PendingRequest | None = None
        self._paused = False

    def left(self) -> None:
        """Learns that the caller has closed its connection."""
        self.gone = True
        self.over = True

    def head(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Takes the status line and headers."""
        if self.over:
            return
        self.opened = True
        self.status = status
        req = self._req
        req.setResponseCode(status, reason)
        for name, value in headers:
            req.responseHeaders.addRawHeader(name, value)
        self._announce_close()
        req.registerProducer(self, True)

    def data(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if not self.over:
            self._req.write(data)

    def whole(self) -> None:
        """Ends the answer as complete."""
        if self.over:
            return
        self.over = True
        self._req.unregisterProducer()
        self._req.finish()

    def cut(self) -> None:
        """Ends the answer so that it cannot look complete.

        The connection closes without the last chunk or short of the length.
        """
        if self.over:
            return
        self.over = True
        self._req.unregisterProducer()
        self._req.channel.loseConnection()

    def refuse(self, failure: Failure) -> None:
        """Answers with a numbered error, unless an answer has begun."""
        if self.opened:
            self.cut()
            return
        if self.over:
            return
        self.over = True
        self.status = refusal_status(failure)
        req = self._req
        body = msgspec.json.encode(error_body(failure))
        req.setResponseCode(self.status)
        req.setHeader(b"Content-Type", b"application/json")
        req.setHeader(b"Content-Length", b"%d" % len(body))
        if failure.executed is Executed.NO and failure.retry_after_s > 0:
            req.setHeader(b"Retry-After", b"%.2f" % failure.retry_after_s)
        self._announce_close()
        req.write(body)
        req.finish()

    def holds(self, pending_request: PendingRequest | None) -> None:
        """Learns whom to hold back while the caller does not read."""
        self._pending_request = pending_request
        if pending_request is not None and self._paused:
            pending_request.pause()

    def pauseProducing(self) -> None:
        """Is called when the caller's socket is full."""
        self._paused = True
        if self._pending_request is not None:
            self._pending_request.pause()

    def resumeProducing(self) -> None:
        """Is called when there is room again."""
        self._paused = False
        if self._pending_request is not None:
            self._pending_request.resume()

    def stopProducing(self) -> None:
        """Is called when the connection is gone."""

    def _announce_close(self) -> None:
        """Tells the caller that the connection ends with this answer."""
        if self._closing:
            self._req.setHeader(b"Connection", b"close")
            self._req.channel.persistent = False
