"""Writes an answer to one caller as an HTTP response."""

import secrets
from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from magnolialug.carrier.connection import set_reset_on_close
from magnolialug.entry.progress import Served
from magnolialug.entry.responseformats import (
    ResponseFormat,
    error_body,
    usage_of,
)
from magnolialug.ids import RequestId
from magnolialug.result import CODES, Failure

__all__ = ["CallerSink", "write_failure", "write_json"]


def write_json(req: Request, body: bytes) -> None:
    """Sends a whole JSON body and its length.

    Callers of HTTP/1.0 read no chunks: without a length, they would take the
    close of a killed process for the end of the body.
    """
    req.setHeader("Content-Type", "application/json")
    req.setHeader("Content-Length", str(len(body)))
    req.write(body)
    req.finish()


def write_failure(req: Request, failure: Failure, request_id: str = "") -> None:
    """Sends a numbered error, with Retry-After if the failure has a time."""
    req.setResponseCode(CODES[failure.code].status)
    req.setHeader("X-Request-Id", request_id or f"none.{secrets.token_hex(8)}")
    if failure.retry_after_s > 0:
        seconds = max(1, -(-failure.retry_after_s // 1))
        req.setHeader("Retry-After", str(int(seconds)))
    write_json(req, msgspec.json.encode(error_body(failure)))


class CallerSink:
    """Streams server-sent events, or collects one JSON response.

    It is the response's producer. While the caller's socket buffer is full,
    `write_piece` does not return; no further ack is sent, and the sidecar stops
    sending.

    Args:
      ends_by_close: whether only the close of its connection ends a stream,
        as for callers of HTTP/1.0.

    Attributes:
      gone: whether the caller has disconnected.
      request_id: the id under which the answer can be requested again.
      on_gone: called when the caller disconnects.
    """

    def __init__(
        self,
        req: Request,
        response_format: ResponseFormat,
        model: str,
        created: int,
        stream: bool,
        include_usage: bool,
        on_gone: Callable[[], None] = lambda: None,
        ends_by_close: bool = False,
    ):
        self.gone = False
        self.request_id = ""
        self.on_gone = on_gone
        self._req = req
        self._format = response_format
        self._model = model
        self._created = created
        self._stream = stream
        self._include_usage = include_usage
        self._ends_by_close = ends_by_close
        self._open = False
        self._texts: list[str] = []
        self._writable: Deferred | None = None
        req.notifyFinish().addErrback(self._on_disconnect)

    def set_request_id(self, request_id: RequestId) -> None:
        """Sets the id under which the answer can be requested again."""
        self.request_id = request_id

    async def write_piece(self, seq: int, text: str) -> None:
        """Sends one piece; returns when the socket buffer has room again."""
        if self.gone:
            return
        if not self._stream:
            self._texts.append(text)
            return
        self._begin()
        chunk = self._format.chunk(
            self.request_id, self._created, self._model, text, None
        )
        self._event(chunk, seq)
        if self._writable is not None:
            await self._writable

    def end(self, result: Served | Failure) -> None:
        """Ends the response."""
        if self.gone:
            return
        if isinstance(result, Failure):
            self._fail(result)
        elif self._stream:
            self._finish_stream(result)
        else:
            self._finish_whole(result)

    def pauseProducing(self) -> None:
        """Blocks `write_piece`; the caller's socket buffer is full."""
        if self._writable is None:
            self._writable = Deferred()

    def resumeProducing(self) -> None:
        """Unblocks `write_piece`; the socket buffer has room again."""
        writable, self._writable = self._writable, None
        if writable:
            writable.callback(None)

    def stopProducing(self) -> None:
        """Unblocks `write_piece`; the connection is lost."""
        self.resumeProducing()

    def _on_disconnect(self, _: object) -> None:
        self.gone = True
        self.resumeProducing()
        self.on_gone()

    def _begin(self) -> None:
        if self._open:
            return
        self._open = True
        if self._ends_by_close:
            # An orderly close would be the end of a whole answer.
            set_reset_on_close(self._req.transport, True)
        self._req.setHeader("Content-Type", "text/event-stream")
        self._req.setHeader("Cache-Control", "no-store")
        self._req.setHeader("X-Request-Id", self.request_id)
        self._req.registerProducer(self, True)

    def _event(self, body: dict, seq: int | None = None) -> None:
        id_line = b"" if seq is None else b"id: %d\n" % seq
        data = msgspec.json.encode(body)
        self._req.write(id_line + b"data: " + data + b"\n\n")

    def _fail(self, failure: Failure) -> None:
        if not self._open:
            write_failure(self._req, failure, self.request_id)
            return
        self._event(error_body(failure))
        self._abort()

    def _finish_stream(self, served: Served) -> None:
        self._begin()
        finish = served.done.finish if served.done else "stop"
        self._event(
            self._format.chunk(
                self.request_id, self._created, self._model, "", finish
            )
        )
        if self._include_usage:
            usage = self._format.chunk(
                self.request_id, self._created, self._model, "", None
            )
            usage["choices"] = []
            usage["usage"] = usage_of(served.done)
            self._event(usage)
        self._req.write(b"data: [DONE]\n\n")
        self._close()

    def _finish_whole(self, served: Served) -> None:
        finish = served.done.finish if served.done else "stop"
        body = self._format.whole(
            self.request_id,
            self._created,
            self._model,
            "".join(self._texts),
            finish,
            usage_of(served.done),
        )
        self._req.setHeader("X-Request-Id", self.request_id)
        is_text = isinstance(body, str)
        data = body.encode() if is_text else msgspec.json.encode(body)
        write_json(self._req, data)

    def _close(self) -> None:
        if self._ends_by_close:
            set_reset_on_close(self._req.transport, False)
        self._req.unregisterProducer()
        self._req.finish()

    def _abort(self) -> None:
        """Closes the connection so that the stream is not framed as whole."""
        self._req.unregisterProducer()
        if self._ends_by_close:
            # An ordinary close sends a FIN in front of the reset.
            self._req.transport.abortConnection()
        else:
            self._req.channel.loseConnection()
