"""Connections of callers: bounded in memory, work and time."""

import traceback

import msgspec
from twisted.web.http import HTTPChannel
from twisted.web.http_headers import Headers

from magnolialug.carrier.connection import unsent_bytes
from magnolialug.entry.boundedbody import BoundedBody
from magnolialug.entry.callermemory import (
    LAG_S,
    MIN_RATE_BYTES_PER_S,
    CallerMemory,
)
from magnolialug.entry.chunkdecoder import ChunkDecoder
from magnolialug.entry.responseformats import error_body
from magnolialug.events import Event, emit
from magnolialug.policy.memorybudget import Charge
from magnolialug.result import CODES, Code, Failure, failed

__all__ = ["IntakeChannel"]

_MAX_HEADER_BYTES = 16 * 1024
# A connection's objects, and those of a header line, besides their bytes.
_CONNECTION_BYTES = 4 * 1024
_HEADER_LINE_BYTES = 400
# The request line, the empty one before it, the last one, and some to spare.
_LINES_BESIDE_HEADERS = 8
# Chunks are decoded in parts of this size. If one has more chunks than this,
# other connections come first.
_CHUNKS_BYTES = 4 * 1024
_PIECES_PER_PASS = 64
_LINGER_S = 1.0
# A connection that nothing has happened on for this long may give way to a new
# one: its caller has had the time to send its request, or to read a refusal.
_IDLING_S = 0.25
_REFUSED_IDLING_S = 0.05
_LAST_CHUNK = b"0\r\n\r\n"


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
    """Reads requests within bounds of memory and work, and refuses others.

    Two lengths, a length together with chunks, or an unknown transfer coding
    can be interpreted one way by the load balancer and another way here, so
    that one caller's bytes become another caller's request (request
    smuggling). Twisted refuses all of these; this class only adds the error
    number.

    What it holds for its caller has two charges: the connection's, for its
    buffers, and the request's, for its head and body. A request takes its
    charge along when it is complete, and its connection may end before it.

    Bytes that take long to parse, and requests that are sent ahead of an
    answer, are deferred: they stay in the line buffer until the scheduler lets
    the connection continue.

    Attributes:
      phase_started_at: when the connection became idle, or when the first
        bytes of the current request arrived, in seconds.
      has_served: whether a request on it has been answered.
    """

    totalHeadersSize = _MAX_HEADER_BYTES
    refused = False
    in_body = False
    # What a request costs for each byte of its body.
    body_cost = 1
    _close_timer = None
    has_served = False
    _is_lost = False
    # Until then its caller keeps up the least rate.
    _lease_until = 0.0
    _paused_at = 0.0
    _active_at = 0.0
    _lines = 0
    _unsent_since: float | None = None

    def body_limit(self) -> int:
        """Returns the maximum size of a body in bytes."""
        return self.site.limits().body_bytes

    @property
    def memory(self) -> CallerMemory:
        """Admits what is held for callers."""
        return self.factory.memory

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.factory.clock()

    def connectionMade(self) -> None:
        """Counts the connection."""
        self.charge = Charge()
        self.phase_started_at = self._active_at = self.now()
        self._lease_until = self.phase_started_at + LAG_S
        self.factory.channels.add(self)
        super().connectionMade()
        self.count_memory()

    def allHeadersReceived(self) -> None:
        """Starts reading the body, unless the head tells that it is in vain."""
        req = self.requests[-1]
        req.uri = self._path
        failure = None
        if not self._has_whole_body:
            failure = self.factory.check_head(req)
        if failure is not None:
            req.refuse(failure)
            return
        self._count_head(req)
        self.in_body = True
        super().allHeadersReceived()

    @property
    def _has_whole_body(self) -> bool:
        """Whether the bytes that have arrived seem to hold the whole body.

        Then a refusal can wait for its end, and spares the connection.
        """
        if self.length is None:
            return self._buffer.endswith(_LAST_CHUNK)
        return len(self._buffer) >= self.length

    def allContentReceived(self) -> None:
        """Ends the reading of a request."""
        self.in_body = False
        self._lines = 0
        super().allContentReceived()

    @property
    def incoming(self) -> BoundedBody | None:
        """The request that is being read, None if there is none."""
        if self._handlingRequest or not self.requests:
            return None
        return self.requests[-1]

    @property
    def held_bytes(self) -> int:
        """What giving way frees."""
        incoming = self.incoming
        held = incoming.charge.size if incoming is not None else 0
        return self.charge.size + held

    @property
    def can_give_way(self) -> bool:
        """Whether it holds something and waits for its caller alone."""
        if self.refused or self._is_lost:
            return False
        is_reading = self.incoming is not None or bool(self._buffer)
        return self._unsent_since is not None or (
            is_reading and not self._handlingRequest
        )

    def is_lagging(self, now: float) -> bool:
        """Whether its caller neither sends nor reads at the least rate."""
        if self._unsent_since is not None:
            return now - self._unsent_since > LAG_S
        return now > self._lease_until and not self.is_deferred

    def is_idling(self, now: float) -> bool:
        """Whether its caller has neither sent nor been owed anything lately."""
        if self._is_lost or self._handlingRequest or self.is_deferred:
            return False
        idling_s = _REFUSED_IDLING_S if self.refused else _IDLING_S
        return now - self._active_at > idling_s

    def close_idle(self) -> None:
        """Closes the connection; what was sent of a request is not read."""
        self.transport.abortConnection()
        self._release()

    def give_way(self, failure: Failure) -> None:
        """Refuses the request that is read, or closes the connection."""
        if self._unsent_since is None and self.incoming is not None:
            self.refuse(failure)
            return
        self.close_idle()

    def count_memory(self) -> None:
        """Counts what the connection holds now; gives way if it is too much."""
        if self._is_lost:
            return
        unsent = unsent_bytes(self.transport)
        if not unsent:
            self._unsent_since = None
        elif self._unsent_since is None:
            self._unsent_since = self.now()
        buffered = len(self._buffer) + sum(map(len, self._dataBuffer))
        size = _CONNECTION_BYTES + 2 * buffered + unsent
        failure = None
        if size != self.charge.size:
            failure = self.memory.admit(self.charge, size, self)
        if failure is not None and not self.refused:
            self.give_way(failure)
            return
        incoming = self.incoming
        if incoming is not None and not self.refused:
            self._charge_request(incoming)

    def _count_head(self, req: BoundedBody) -> None:
        lines = self._receivedHeaderCount * _HEADER_LINE_BYTES
        req.head_bytes = 2 * self._receivedHeaderSize + lines

    def _charge_request(self, req: BoundedBody) -> bool:
        """Counts what a request holds; refuses it if there is no room."""
        if not self.in_body:
            self._count_head(req)
        size = req.head_bytes + req.reserved * self.body_cost
        if size == req.charge.size:
            return True
        failure = self.memory.admit(req.charge, size, self)
        if failure is not None:
            self.refuse(failure)
        return failure is None

    def reserve_body(self, size: int) -> bool:
        """Counts a body before it arrives; refuses it if there is no room."""
        req = self.requests[-1]
        req.reserved = size
        return self._charge_request(req)

    def _extend_lease(self, received: int) -> None:
        """Records that the caller has sent something."""
        now = self._active_at = self.now()
        paid_until = self._lease_until + received / MIN_RATE_BYTES_PER_S
        if self.incoming is None and not self._buffer:
            # A request begins.
            paid_until = now + LAG_S
        self._lease_until = min(paid_until, now + LAG_S)

    def requestDone(self, request) -> None:
        """Ends a request; one that was sent ahead is deferred."""
        self.has_served = True
        self._active_at = self.now()
        # More may arrive as soon as reading goes on, behind all that is here.
        self._buffer = b"".join((*self._dataBuffer, self._buffer))
        self._dataBuffer = []
        if self.persistent and self._buffer:
            self.paused = True
        super().requestDone(request)
        if self.paused:
            self._defer()

    def rawDataReceived(self, data: bytes) -> None:
        """Handles bytes of a body, or what is sent ahead of an answer."""
        if self._handlingRequest:
            self._keep_ahead(data)
        elif self.length is None:
            self._receive_chunks(data)
        else:
            super().rawDataReceived(data)

    def resumeProducing(self) -> None:
        """Continues when the caller has read what was written."""
        super().resumeProducing()
        if self.is_deferred:
            self._networkProducer.pauseProducing()
            self.factory.scheduler.add(self)

    def continue_reading(self) -> None:
        """Parses the next part of what has arrived.

        Nothing is parsed while the caller does not read, since the answers to
        what was sent ahead would gather.
        """
        if self.refused or self._is_lost or self._waitingForTransport:
            return
        self.paused = False
        self.postpone(self.now() - self._paused_at)
        self._networkProducer.resumeProducing()
        self.dataReceived(b"")

    @property
    def is_deferred(self) -> bool:
        """Whether its bytes wait for this process, and not for the caller."""
        return self.paused and not self.refused

    def postpone(self, waited_s: float) -> None:
        """Puts off the caller's times by what it was kept waiting here."""
        self._lease_until += waited_s

    def _defer(self) -> None:
        """Parses and reads nothing more until others have been served."""
        self.paused = True
        self._paused_at = self.now()
        self._networkProducer.pauseProducing()
        if not self._waitingForTransport:
            self.factory.scheduler.add(self)

    def _keep_ahead(self, data: bytes) -> None:
        """Keeps what is sent ahead of an answer, up to a size."""
        if not self._dataBuffer:
            self._dataBuffer.append(bytearray())
        elif not isinstance(self._dataBuffer[0], bytearray):
            self._dataBuffer = [bytearray(b"".join(self._dataBuffer))]
        self._dataBuffer[0] += data
        if len(self._dataBuffer[0]) > self._optimisticEagerReadSize:
            self._networkProducer.pauseProducing()

    def _receive_chunks(self, data: bytes) -> None:
        """Decodes chunks, as many small ones as one pass allows."""
        req, decoder = self.requests[-1], self._transferDecoder
        for at in range(0, len(data), _CHUNKS_BYTES):
            pieces = req.pieces
            super().rawDataReceived(data[at : at + _CHUNKS_BYTES])
            rest = data[at + _CHUNKS_BYTES :]
            if self._transferDecoder is not decoder:
                # The body has ended; the rest is sent ahead.
                super(HTTPChannel, self).dataReceived(rest)
                return
            if self.refused or not rest:
                return
            if req.pieces - pieces > _PIECES_PER_PASS:
                super(HTTPChannel, self).dataReceived(rest)
                self._defer()
                return

    def _release(self) -> None:
        """Lets go of all that is held, but for requests that endpoints have."""
        self._is_lost = True
        incoming = self.incoming
        if incoming is not None:
            incoming.release()
        self._buffer = b""
        self._dataBuffer = []
        self.memory.budget.release(self.charge)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        code = Code.BODY_TOO_LARGE if too_large else Code.AMBIGUOUS_HEADER
        self.refuse(failed(code, field="(headers)"))

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:
        """Chooses a decoder that keeps no trailers for a chunked body."""
        chosen_before = self._transferDecoder
        can_proceed = super()._maybeChooseTransferDecoder(header, data)
        is_new = self._transferDecoder is not chosen_before
        if is_new and self.length is None:
            self._transferDecoder = ChunkDecoder(
                self.requests[-1].handleContentChunk,
                self._finishRequestBody,
                self.totalHeadersSize,
            )
        return can_proceed

    def lineReceived(self, line: bytes) -> None:
        """Handles a line of a head; too many are refused like long ones.

        The parser counts headers, but not the lines that one goes on in.
        """
        self._lines += 1
        if self._lines > self.maxHeaders + _LINES_BESIDE_HEADERS:
            self.refuse(failed(Code.BODY_TOO_LARGE, field="(headers)"))
            return
        super().lineReceived(line)

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
        self._active_at = self.now()
        req = self.requests[-1] if self.requests else None
        self.factory.record_refusal(req, failure)
        # What has arrived behind it is not parsed any further.
        self.paused = True
        incoming = self.incoming
        if incoming is not None:
            incoming.refused = True
            incoming.release()
            incoming.requestHeaders = Headers()
        # The header line that may go on in the next one.
        self._HTTPChannel__header = b""
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
        if self.refused or self._is_lost:
            return
        self._extend_lease(len(data))
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
        self.count_memory()

    def connectionLost(self, reason) -> None:
        """Cancels the delayed close, and lets go of what is held."""
        if self._close_timer and self._close_timer.active():
            self._close_timer.cancel()
        self.factory.channels.discard(self)
        self.factory.scheduler.discard(self)
        self._release()
        super().connectionLost(reason)

    def _close(self) -> None:
        self.transport.loseConnection()
