"""A plain endpoint on the platform's wire, with the faults of real ones."""

import enum
from collections import Counter
from collections.abc import Callable

import httptools
import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory, Protocol

__all__ = ["EndpointStandin", "Fault", "Received"]


class Fault(enum.Enum):
    """What is wrong with an answer."""

    NONE = "none"
    SHED = "sheds: not run"
    MISDIRECTED = "another instance has the address"
    ERROR = "answers 500"
    RESET_BEFORE = "resets before an answer"
    RESET_MIDWAY = "resets in the middle of the body"
    CLOSE_MIDWAY = "closes in the middle of the body"
    UNFRAMED = "gives no length and closes"
    UNFRAMED_RESET = "gives no length and resets"
    EXTRA = "sends a second answer behind the first"
    EXTRA_LATE = "sends the second answer in front of the next"
    MUTE = "never answers"
    GARBAGE = "sends bytes that are no response"
    UNSTAMPED = "forgets the mark of a run"
    TWO_LENGTHS = "gives two lengths"
    LENGTH_AND_CHUNKS = "gives a length beside chunks"


class Received(msgspec.Struct):
    """One request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    names: list[str]

    @property
    def request_id(self) -> str:
        """The id that the caller gave it."""
        return self.headers.get("x-request-id", "")


class EndpointStandin(Factory):
    """Runs requests and counts what it ran.

    Attributes:
      faults: taken one for each answer; none left means no fault.
      seen: every request that arrived.
      ran: how often each request id was run.
      cut: ids whose connection closed before their answer was whole.
      on_arrival: is told of each request as it arrives.
      on_refusal: is told of each request that it refuses.
      born_ms: when it was started, 0 if it does not tell.
      send_limit: the limit that its answers name, None for none.
      leaving: what its answers say of its leaving, None for nothing.
      rest: the Retry-After of its refusals (503), None for none.
      refuses: whether it refuses all requests, without running them.
      max_connections: further ones are closed, 0 for no bound.
    """

    noisy = False

    def __init__(
        self, clock: IReactorTime, instance: str, work_s: float = 0.01
    ):
        self.clock = clock
        self.instance = instance
        self.work_s = work_s
        self.faults: list[Fault] = []
        self.seen: list[Received] = []
        self.ran: Counter[str] = Counter()
        self.cut: list[str] = []
        self.connections = 0
        self.max_connections = 0
        self.born_ms = 0
        self.send_limit: object = None
        self.leaving: object = None
        self.rest: object = None
        self.refuses = False
        self._silences = 0
        self.body_of: Callable[[Received], bytes] = lambda req: b"served"
        self.open: set[_Serving] = set()
        self.on_arrival: Callable[[Received], None] = lambda req: None
        self.on_refusal: Callable[[Received], None] = lambda req: None

    def buildProtocol(self, addr) -> "_Serving | None":
        """Returns the protocol of a new connection, None to close it."""
        if self.max_connections and len(self.open) >= self.max_connections:
            return None
        self.connections += 1
        return _Serving(self)

    def said(self, body: dict) -> bytes:
        """Returns what it says of itself, with the time of its start."""
        born = {"born": self.born_ms} if self.born_ms else {}
        return msgspec.json.encode({**body, **born})

    def start_again(self, born_ms: int) -> None:
        """Starts again under its id; all connections are lost."""
        self.born_ms = born_ms
        for conn in list(self.open):
            conn.transport.abortConnection()

    def own_headers(self) -> list[tuple[str, str]]:
        """Returns the headers of each of its answers."""
        rows = (
            ("Server-Limit", self.send_limit),
            ("Server-Leaving", self.leaving),
        )
        return [(name, str(said)) for name, said in rows if said is not None]

    @property
    def is_silent(self) -> bool:
        """Whether it neither reads nor sends at the moment."""
        return self._silences > 0

    def fall_silent(self, for_s: float) -> None:
        """Neither reads nor sends for a while; its work goes on."""
        # A count, not a time: what is sent before a late timer would overtake
        # what was held back.
        self._silences += 1
        self.clock.callLater(for_s, self._go_on)

    def _go_on(self) -> None:
        self._silences -= 1
        if not self.is_silent:
            for conn in list(self.open):
                conn.go_on()

    def next_fault(self) -> Fault:
        """Returns what is wrong with the next answer."""
        return self.faults.pop(0) if self.faults else Fault.NONE

    def answer(self, conn: "_Serving", req: Received) -> None:
        """Answers a request; to be overridden by other kinds of endpoint."""
        expected = req.headers.get("x-expect-instance", self.instance)
        fault = self.next_fault()
        if expected != self.instance or fault is Fault.MISDIRECTED:
            conn.reply(req, 421, b"", [("X-Instance-Id", self.instance)])
        elif self.refuses or fault is Fault.SHED:
            conn.refuse(req)
        else:
            self.ran[req.request_id] += 1
            self.clock.callLater(self.work_s, conn.finish, req, fault)


class _Serving(Protocol):
    """One connection of a caller."""

    def __init__(self, endpoint: EndpointStandin):
        self.endpoint = endpoint
        self.current: Received | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._names: list[str] = []
        self._target = b""
        self._body: list[bytes] = []
        self._late = b""
        self._unread: list[bytes] = []
        self._unsent: list[bytes] = []
        self._closes = False

    def connectionMade(self) -> None:
        """Notes the connection."""
        self.endpoint.open.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes of requests."""
        if self.endpoint.is_silent:
            self._unread.append(data)
        else:
            self._parser.feed_data(data)

    def send(self, data: bytes) -> None:
        """Sends bytes, once the endpoint is no longer silent."""
        if self.endpoint.is_silent:
            self._unsent.append(data)
        else:
            self.transport.write(data)

    def close(self) -> None:
        """Closes in order, behind all that is to be sent."""
        if self.endpoint.is_silent:
            self._closes = True
        else:
            self.transport.loseConnection()

    def go_on(self) -> None:
        """Sends and reads what has waited during a silence."""
        unsent, self._unsent = self._unsent, []
        unread, self._unread = self._unread, []
        self.transport.write(b"".join(unsent))
        if self._closes:
            self.transport.loseConnection()
        for data in unread:
            self.dataReceived(data)

    def connectionLost(self, reason) -> None:
        """Stops the work of the request under way."""
        self.endpoint.open.discard(self)
        if self.current is not None:
            self.endpoint.cut.append(self.current.request_id)
            self.current = None

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._headers: dict[str, str] = {}
        self._names = []
        self._target = b""
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._names.append(name.decode())
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Answers a whole request."""
        req = Received(
            self._parser.get_method().decode(),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            self._names,
        )
        self.endpoint.seen.append(req)
        self.endpoint.on_arrival(req)
        self.current = req
        self.endpoint.answer(self, req)

    def refuse(self, req: Received) -> None:
        """Refuses a request, which does not run."""
        headers = [("X-Not-Executed", "1")]
        if self.endpoint.rest is not None:
            headers.append(("Retry-After", str(self.endpoint.rest)))
        self.endpoint.on_refusal(req)
        self.reply(req, 503, b"", headers)

    def reply(
        self,
        req: Received,
        status: int,
        body: bytes,
        headers: list[tuple[str, str]] = (),
        framed: bool = True,
    ) -> bytes:
        """Writes an answer; returns its bytes."""
        lines = [f"HTTP/1.1 {status} Said", f"X-Request-Id: {req.request_id}"]
        headers = [*headers, *self.endpoint.own_headers()]
        lines += [f"{name}: {value}" for name, value in headers]
        if framed:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.send(self._late + data)
        self._late = b""
        self.current = None
        return data

    def finish(self, req: Received, fault: Fault) -> None:
        """Ends a run with what is wrong with its answer."""
        if self.current is not req:
            return
        body = self.endpoint.body_of(req)
        stamp = [("X-Response-Stamp", f"stamp.{self.endpoint.instance}")]
        if fault in _WITHOUT_REPLY:
            stamp += self.endpoint.own_headers()
        _ENDS.get(fault, _whole)(self, req, body, stamp)


def _whole(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.reply(req, 200, body, stamp)


def _error(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.reply(req, 500, b"failed", stamp)


def _reset_before(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.current = None
    conn.transport.abortConnection()


def _head_and_half(req: Received, body: bytes, stamp, more: str = "") -> bytes:
    lines = ["HTTP/1.1 200 Said", f"X-Request-Id: {req.request_id}"]
    lines += [f"{name}: {value}" for name, value in stamp]
    if more:
        lines.append(more)
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return head + body[: len(body) // 2]


def _reset_midway(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    length = f"Content-Length: {len(body)}"
    conn.current = None
    conn.send(_head_and_half(req, body, stamp, length))
    conn.endpoint.clock.callLater(0.001, conn.transport.abortConnection)


def _close_midway(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    length = f"Content-Length: {len(body)}"
    conn.current = None
    conn.send(_head_and_half(req, body, stamp, length))
    conn.close()


def _unframed(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.reply(req, 200, body, stamp, framed=False)
    conn.close()


def _unframed_reset(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.current = None
    conn.send(_head_and_half(req, body, stamp))
    conn.endpoint.clock.callLater(0.001, conn.transport.abortConnection)


def _extra(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    data = conn.reply(req, 200, body, stamp)
    conn.send(data)


def _extra_late(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn._late = conn.reply(req, 200, body, stamp)


def _mute(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    """Says nothing and keeps the connection."""


def _garbage(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.current = None
    conn.send(b"\x00\x01 not a response\r\n\r\n")


def _unstamped(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.reply(req, 200, body)


def _two_lengths(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.reply(req, 200, body, [*stamp, ("Content-Length", "1")])


def _length_chunks(conn: _Serving, req: Received, body: bytes, stamp) -> None:
    conn.reply(req, 200, body, [*stamp, ("Transfer-Encoding", "chunked")])


_WITHOUT_REPLY = (
    Fault.RESET_MIDWAY,
    Fault.CLOSE_MIDWAY,
    Fault.UNFRAMED_RESET,
)
_ENDS = {
    Fault.ERROR: _error,
    Fault.RESET_BEFORE: _reset_before,
    Fault.RESET_MIDWAY: _reset_midway,
    Fault.CLOSE_MIDWAY: _close_midway,
    Fault.UNFRAMED: _unframed,
    Fault.UNFRAMED_RESET: _unframed_reset,
    Fault.EXTRA: _extra,
    Fault.EXTRA_LATE: _extra_late,
    Fault.MUTE: _mute,
    Fault.GARBAGE: _garbage,
    Fault.UNSTAMPED: _unstamped,
    Fault.TWO_LENGTHS: _two_lengths,
    Fault.LENGTH_AND_CHUNKS: _length_chunks,
}
