"""Writes an answer to one caller's HTTP response."""

import secrets
from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from magnolialug.entry.progress import Served
from magnolialug.entry.shapes import Shape, error_body, usage_of
from magnolialug.ids import RequestId
from magnolialug.result import CODES, Failure

__all__ = ["CallerSink", "write_failure"]


def write_failure(req: Request, failure: Failure, request_id: str = "") -> None:
    """Answers with a numbered error; says when to come back if that helps."""
    req.setResponseCode(CODES[failure.code].status)
    req.setHeader("Content-Type", "application/json")
    req.setHeader("X-Request-Id", request_id or f"none.{secrets.token_hex(8)}")
    if failure.retry_after_s > 0:
        seconds = max(1, -(-failure.retry_after_s // 1))
        req.setHeader("Retry-After", str(int(seconds)))
    req.write(msgspec.json.encode(error_body(failure)))
    req.finish()


class CallerSink:
    """Streams server-sent events, or gathers one JSON answer.

    It is the response's producer: when the caller's socket is full, `write_piece`
    does not return, so no further ack is sent and the sidecar stops sending.

    Attributes:
      gone: whether the caller has left.
    """

    def __init__(
        self,
        req: Request,
        shape: Shape,
        model: str,
        created: int,
        stream: bool,
        include_usage: bool,
        on_gone: Callable[[], None] = lambda: None,
    ):
        self.gone = False
        self.request_id = ""
        self.on_gone = on_gone
        self._req = req
        self._shape = shape
        self._model = model
        self._created = created
        self._stream = stream
        self._include_usage = include_usage
        self._open = False
        self._texts: list[str] = []
        self._room: Deferred | None = None
        req.notifyFinish().addErrback(self._left)

    def set_request_id(self, request_id: RequestId) -> None:
        """Learns the id under which the answer can be asked for."""
        self.request_id = request_id

    async def write_piece(self, seq: int, text: str) -> None:
        """Takes one piece; returns when the caller has room for more."""
        if self.gone:
            return
        if not self._stream:
            self._texts.append(text)
            return
        self._begin()
        chunk = self._shape.chunk(
            self.request_id, self._created, self._model, text, None
        )
        self._event(chunk, seq)
        if self._room is not None:
            await self._room

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
        """Is called when the caller's socket is full."""
        if self._room is None:
            self._room = Deferred()

    def resumeProducing(self) -> None:
        """Is called when there is room again."""
        room, self._room = self._room, None
        if room:
            room.callback(None)

    def stopProducing(self) -> None:
        """Is called when the connection is gone."""
        self.resumeProducing()

    def _left(self, _: object) -> None:
        self.gone = True
        self.resumeProducing()
        self.on_gone()

    def _begin(self) -> None:
        if self._open:
            return
        self._open = True
        self._req.setHeader("Content-Type", "text/event-stream")
        self._req.setHeader("Cache-Control", "no-store")
        self._req.setHeader("X-Request-Id", self.request_id)
        self._req.registerProducer(self, True)

    def _event(self, body: dict, seq: int | None = None) -> None:
        mark = b"" if seq is None else b"id: %d\n" % seq
        data = msgspec.json.encode(body)
        self._req.write(mark + b"data: " + data + b"\n\n")

    def _fail(self, failure: Failure) -> None:
        if not self._open:
            write_failure(self._req, failure, self.request_id)
            return
        self._event(error_body(failure))
        self._close()

    def _finish_stream(self, served: Served) -> None:
        self._begin()
        finish = served.done.finish if served.done else "stop"
        self._event(
            self._shape.chunk(
                self.request_id, self._created, self._model, "", finish
            )
        )
        if self._include_usage:
            usage = self._shape.chunk(
                self.request_id, self._created, self._model, "", None
            )
            usage["choices"] = []
            usage["usage"] = usage_of(served.done)
            self._event(usage)
        self._req.write(b"data: [DONE]\n\n")
        self._close()

    def _finish_whole(self, served: Served) -> None:
        finish = served.done.finish if served.done else "stop"
        body = self._shape.whole(
            self.request_id,
            self._created,
            self._model,
            "".join(self._texts),
            finish,
            usage_of(served.done),
        )
        self._req.setHeader("Content-Type", "application/json")
        self._req.setHeader("X-Request-Id", self.request_id)
        text = body.encode() if isinstance(body, str) else None
        self._req.write(text or msgspec.json.encode(body))
        self._req.finish()

    def _close(self) -> None:
        self._req.unregisterProducer()
        self._req.finish()
