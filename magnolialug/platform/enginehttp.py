"""Endpoints over HTTP: completions with events, and plain JSON calls."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred

from magnolialug.ids import BlockId
from magnolialug.jsoninput import Count, decode_json
from magnolialug.platform.http import HttpClient, StreamTaker
from magnolialug.policy.blocks import token_count
from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar.engine import EngineJob, Order, Usage

__all__ = ["EngineHttp", "PlainHttp"]

_DATA = b"data: "
_END = b"[DONE]"
_LINE_LIMIT = 1024 * 1024
# A plain answer is one piece, which has to fit into a frame.
_PLAIN_LIMIT = 2 * 1024 * 1024


class _Details(msgspec.Struct):
    cached_tokens: Count = 0


class _Usage(msgspec.Struct):
    prompt_tokens: Count
    completion_tokens: Count
    prompt_tokens_details: _Details | None = None


class _Choice(msgspec.Struct):
    text: str | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    """An event of a streamed completion."""

    choices: list[_Choice] = []
    usage: _Usage | None = None


class _Held(msgspec.Struct):
    """How many of some blocks an engine holds."""

    held: Count


class _HttpRun:
    """One streamed completion."""

    def __init__(
        self,
        http: HttpClient,
        url: str,
        body: bytes,
        on_piece: Callable[[str], None],
    ):
        self.done: Deferred = Deferred()
        self._on_piece = on_piece
        self._usage: Usage | None = None
        self._finish = "stop"
        self._status = 0
        self._rest = b""
        taker = StreamTaker(self._answered, self._data, self._closed)
        self._pending_request = http.stream("POST", url, body, taker)

    def pause(self) -> None:
        """Stops reading from the socket, so that the engine's end fills."""
        self._pending_request.pause()

    def resume(self) -> None:
        """Reads from the socket again."""
        self._pending_request.resume()

    def cancel(self) -> None:
        """Closes the connection, which cancels the run at the engine."""
        self._end(failed(Code.CANCELLED))
        self._pending_request.drop()

    def _answered(self, status: int) -> None:
        self._status = status
        if status != 200:
            self._end(failed(Code.ENDPOINT_FAILED, f"status {status}"))

    def _data(self, data: bytes) -> None:
        if self._status != 200:
            return
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > _LINE_LIMIT:
            self._end(failed(Code.ENDPOINT_FAILED, "a line without end"))
            self._pending_request.drop()
        for line in lines:
            self._line(line.rstrip(b"\r"))

    def _line(self, line: bytes) -> None:
        if line.startswith(_DATA):
            self._event(line[len(_DATA) :])

    def _event(self, data: bytes) -> None:
        if data == _END:
            self._end(self._usage or failed(Code.ENDPOINT_FAILED, "no usage"))
            return
        event = decode_json(data, _Event, Code.ENDPOINT_FAILED, "event")
        if isinstance(event, Failure):
            self._end(event)
            self._pending_request.drop()
            return
        usage = event.usage
        if usage is not None:
            details = usage.prompt_tokens_details or _Details()
            self._usage = Usage(
                usage.prompt_tokens,
                details.cached_tokens,
                usage.completion_tokens,
                self._finish,
            )
        for choice in event.choices:
            self._finish = choice.finish_reason or self._finish
            if choice.text and not self.done.called:
                self._on_piece(choice.text)

    def _closed(self, _: bool) -> None:
        self._end(failed(Code.ENDPOINT_FAILED, "the stream was cut"))

    def _end(self, result: Usage | Failure) -> None:
        if not self.done.called:
            self.done.callback(result)


class EngineHttp:
    """Implements Engine for a model engine."""

    def __init__(self, http: HttpClient, base: str):
        self._http = http
        self._base = base.rstrip("/")

    def start(self, job: EngineJob, on_piece: Callable[[str], None]):
        """Starts a streamed completion."""
        body = {
            **msgspec.json.decode(job.params),
            "model": job.model,
            "prompt": job.body,
            "max_tokens": job.max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "priority": job.priority,
            "cache_salt": job.salt,
            "weights": job.weights,
            "resume_after": job.resume_after,
            "resume_text": job.resume_text,
        }
        return _HttpRun(
            self._http,
            f"{self._base}/v1/completions",
            msgspec.json.encode(body),
            on_piece,
        )

    async def held(self, ids: list[BlockId]) -> int | Failure:
        """Returns how many of the first ids are in the engine's cache."""
        reply = await self._ask("POST", "cache/lookup", {"ids": ids})
        if isinstance(reply, Failure):
            return reply
        found = decode_json(reply.body, _Held, Code.ENDPOINT_FAILED, self._base)
        return found if isinstance(found, Failure) else found.held

    async def export_block(self, block: BlockId) -> bytes | Failure:
        """Returns a cached block's bytes.

        A block of unproven length is not taken: its digest is computed from
        these bytes, so nothing later would find that some are missing.
        """
        reply = await self._ask("GET", f"cache/blocks/{block}")
        if isinstance(reply, Failure):
            return reply
        if not reply.is_framed:
            reason = "expected Content-Length or chunks, found neither"
            return failed(Code.BLOCK_MISSING, reason, block)
        return reply.body

    async def import_block(self, block: BlockId, data: bytes) -> None | Failure:
        """Puts a block into the engine's cache."""
        reply = await self._ask("PUT", f"cache/blocks/{block}", data)
        return reply if isinstance(reply, Failure) else None

    async def order(self, order: Order) -> None | Failure:
        """Gives an order with its fence number."""
        reply = await self._ask("POST", "orders", msgspec.to_builtins(order))
        return reply if isinstance(reply, Failure) else None

    async def _ask(self, method: str, path: str, body=b""):
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        reply = await self._http.ask(method, f"{self._base}/{path}", data)
        if isinstance(reply, Failure):
            return reply
        if reply.status == 409:
            return failed(Code.FENCED, reply.body.decode(errors="replace"))
        if reply.status >= 300:
            return failed(Code.BLOCK_MISSING, f"status {reply.status}", path)
        return reply


class _PlainRun:
    """One call of a plain service."""

    def __init__(
        self,
        http: HttpClient,
        url: str,
        body: str,
        max_bytes: int,
        on_piece: Callable[[str], None],
    ):
        self.done: Deferred = Deferred()
        self._on_piece = on_piece
        self._body = body
        self._max_bytes = min(max_bytes, _PLAIN_LIMIT)
        self._status = 0
        self._pieces: list[bytes] = []
        self._received = 0
        taker = StreamTaker(self._answered, self._data, self._ended)
        self._pending_request = http.stream("POST", url, body.encode(), taker)

    def pause(self) -> None:
        """Has nothing to pause: the answer is one piece."""

    def resume(self) -> None:
        """Has nothing to resume."""

    def cancel(self) -> None:
        """Stops waiting; the service may have run the call."""
        self._pending_request.drop()
        self._end(failed(Code.CANCELLED))

    def _answered(self, status: int) -> None:
        self._status = status

    def _data(self, data: bytes) -> None:
        self._received += len(data)
        if self._received > self._max_bytes:
            self._pieces.clear()
            self._end(failed(Code.ANSWER_TOO_LARGE, value=self._received))
            self._pending_request.drop()
        else:
            self._pieces.append(data)

    def _ended(self, whole: bool) -> None:
        if self.done.called:
            return
        if not whole:
            self._end(failed(Code.ENDPOINT_FAILED, "no whole answer"))
        elif self._status >= 500:
            self._end(failed(Code.ENDPOINT_FAILED, f"status {self._status}"))
        else:
            self._end(self._deliver())

    def _deliver(self) -> Usage | Failure:
        try:
            text = b"".join(self._pieces).decode()
        except UnicodeDecodeError as exc:
            return failed(Code.ENDPOINT_FAILED, f"expected UTF-8: {exc.reason}")
        self._on_piece(text)
        return Usage(token_count(self._body), 0, 1)

    def _end(self, result: Usage | Failure) -> None:
        if not self.done.called:
            self.done.callback(result)


class PlainHttp:
    """Implements Engine for a plain service, which has no cache."""

    def __init__(self, http: HttpClient, base: str):
        self._http = http
        self._base = base.rstrip("/")

    def start(self, job: EngineJob, on_piece: Callable[[str], None]):
        """Calls the kind once."""
        url = f"{self._base}/{job.kind}"
        return _PlainRun(self._http, url, job.body, job.max_bytes, on_piece)

    async def held(self, ids: list[BlockId]) -> int | Failure:
        """Returns 0."""
        return 0

    async def export_block(self, block: BlockId) -> bytes | Failure:
        """Has no blocks."""
        return failed(Code.BLOCK_MISSING)

    async def import_block(self, block: BlockId, data: bytes) -> None | Failure:
        """Takes no blocks."""
        return failed(Code.BLOCK_MISSING)

    async def order(self, order: Order) -> None | Failure:
        """Takes no orders."""
        return failed(Code.FENCED, "a plain service takes no orders")
