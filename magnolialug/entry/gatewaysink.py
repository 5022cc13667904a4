"""Writes an endpoint's response to one caller."""

from typing import Protocol

import msgspec

from magnolialug.carrier.connection import set_reset_on_close
from magnolialug.entry.forwardcall import HeaderList
from magnolialug.entry.gatewaychannel import GatewayRequest
from magnolialug.entry.responseformats import error_body
from magnolialug.eventgaps.meter import GapMeter
from magnolialug.result import CODES, Code, Executed, Failure

__all__ = ["GatewaySink", "refusal_status"]

_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
# Callers take these statuses to mean that the request did not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def refusal_status(failure: Failure) -> int:
    """Returns the HTTP status for a failure.

    A status that means "not run" is only sent when that is certain, because
    a caller may repeat the request after it and book twice.
    """
    status = CODES[failure.code].status
    if failure.executed is Executed.NO:
        return status
    if failure.code is Code.TIMED_OUT:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY if status in _NOT_RUN_STATUSES else status


class Source(Protocol):
    """Whoever sends what the sink writes."""

    def pause(self) -> None:
        """Stops sending."""

    def resume(self) -> None:
        """Sends again."""


class GatewaySink:
    """One response; the push producer of the caller's connection.

    While the caller does not read, the response is read ahead if there is
    memory to spare, since endpoints may cut off what stays unread. If there is
    none, and where events are counted, the endpoint's response is paused.

    Attributes:
      opened: whether the status line and headers have been sent.
      gone: whether the caller has disconnected.
      ended: whether the response has ended, complete or not.
      meter: measures the pauses between events, None if nobody asks.
    """

    def __init__(self, req: GatewayRequest):
        self.opened = False
        self.gone = False
        self.ended = False
        self.status = 0
        self.meter: GapMeter | None = None
        self._req = req
        self._source: Source | None = None
        self._is_unread = False
        self._is_source_paused = False

    def caller_left(self) -> None:
        """Records that the caller has closed its connection."""
        self.gone = True
        self.ended = True

    def head(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Sends the status line and headers."""
        if self.ended:
            return
        self.opened = True
        self.status = status
        req = self._req
        req.setResponseCode(status, reason)
        for name, value in headers:
            req.responseHeaders.addRawHeader(name, value)
        self._announce_reuse()
        if self._ends_by_close:
            # An orderly close would be the end of a whole answer.
            set_reset_on_close(req.transport, True)
        req.registerProducer(self, True)

    def data(self, data: bytes) -> None:
        """Sends a piece of the body."""
        if self.ended:
            return
        self._req.write(data)
        if self.meter is not None:
            self.meter.record(data)
        self._pause_if_full()

    def complete(self) -> None:
        """Ends the response as complete."""
        if self.ended:
            return
        self.ended = True
        if self._ends_by_close:
            set_reset_on_close(self._req.transport, False)
        self._req.unregisterProducer()
        self._req.finish()

    def abort(self) -> None:
        """Aborts the response so that the caller sees it as incomplete.

        The connection closes before the last chunk or before the announced
        length is reached. If there is neither, it is reset.
        """
        if self.ended:
            return
        self.ended = True
        self._req.unregisterProducer()
        if self._ends_by_close:
            # An ordinary close sends a FIN in front of the reset.
            self._req.transport.abortConnection()
        else:
            self._req.channel.loseConnection()

    @property
    def has_begun(self) -> bool:
        """Whether the caller has a part of the response."""
        return self.opened and bool(self._req.startedWriting)

    def refuse(self, failure: Failure) -> None:
        """Sends a numbered error, or aborts a response that has started."""
        if self.has_begun:
            self.abort()
            return
        if self.ended:
            return
        self._discard_head()
        self.ended = True
        self.status = refusal_status(failure)
        req = self._req
        body = msgspec.json.encode(error_body(failure))
        req.setResponseCode(self.status)
        req.setHeader(b"Content-Type", b"application/json")
        req.setHeader(b"Content-Length", b"%d" % len(body))
        if failure.executed is Executed.NO and failure.retry_after_s > 0:
            req.setHeader(b"Retry-After", b"%.2f" % failure.retry_after_s)
        self._announce_reuse()
        req.write(body)
        req.finish()

    def set_source(self, source: Source | None) -> None:
        """Sets the attempt to pause while the caller does not read."""
        self._source = source
        self._is_source_paused = False
        self._pause_if_full()

    def pauseProducing(self) -> None:
        """Reads ahead as far as there is room; the socket buffer is full."""
        self._is_unread = True
        if self.meter is not None:
            self.meter.pause()
        self._pause_if_full()

    def resumeProducing(self) -> None:
        """Resumes the endpoint's response; the socket buffer has room again."""
        self._is_unread = False
        if self.meter is not None:
            self.meter.resume()
        if self._is_source_paused:
            self._is_source_paused = False
            self._source.resume()

    def _pause_if_full(self) -> None:
        """Pauses the endpoint's response if no more of it can be held."""
        if not self._is_unread or self._is_source_paused:
            return
        if self._source is not None and not self._may_read_ahead:
            self._is_source_paused = True
            self._source.pause()

    @property
    def _may_read_ahead(self) -> bool:
        """Whether there is room, and no pauses of events are measured."""
        return self.meter is None and self._req.may_read_ahead

    def stopProducing(self) -> None:
        """Does nothing when the connection is lost."""

    def _discard_head(self) -> None:
        """Drops an endpoint's head, which is sent with the first data only."""
        if not self.opened:
            return
        req = self._req
        if self._ends_by_close:
            set_reset_on_close(req.transport, False)
        req.unregisterProducer()
        for name, _ in list(req.responseHeaders.getAllRawHeaders()):
            req.responseHeaders.removeHeader(name)

    @property
    def _ends_by_close(self) -> bool:
        """Whether only the close of the connection ends the body.

        Callers of HTTP/1.0 read no chunks.
        """
        headers = self._req.responseHeaders
        return self._req.clientproto == b"HTTP/1.0" and not headers.hasHeader(
            b"Content-Length"
        )

    def _announce_reuse(self) -> None:
        """Announces how long the connection stays open after this response."""
        for name, value in self._req.channel.reuse_headers():
            self._req.setHeader(name, value)
