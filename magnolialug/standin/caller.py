"""A client of the platform's interface, strict in what it takes."""

from collections.abc import Sequence

import httptools
import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol

__all__ = ["Answer", "Caller", "request"]

_FRAMING = {"content-length", "transfer-encoding"}


class Answer(msgspec.Struct):
    """What a caller got for one request."""

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    whole: bool = False
    at: float = 0.0
    ends_by_close: bool = False


class Caller(Protocol):
    """A client on one connection."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.answers: list[Answer] = []
        self.closed = False
        self.broken = False
        self._parser = httptools.HttpResponseParser(self)

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes of answers."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.broken = True

    def connectionLost(self, reason) -> None:
        """Notes the close."""
        self.closed = True
        if self.last.ends_by_close and reason.check(ConnectionDone):
            self.on_message_complete()

    def on_message_begin(self) -> None:
        """Begins an answer."""
        self.answers.append(Answer(headers={}))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self.answers[-1].headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Takes the status."""
        answer = self.answers[-1]
        answer.status = self._parser.get_status_code()
        answer.ends_by_close = not answer.headers.keys() & _FRAMING

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self.answers[-1].body += data

    def on_message_complete(self) -> None:
        """Ends an answer."""
        self.answers[-1].whole = True
        self.answers[-1].at = self.clock.seconds()

    @property
    def last(self) -> Answer:
        """The newest answer, one without status if none came."""
        return self.answers[-1] if self.answers else Answer()


def request(
    path: str,
    request_id: str,
    key: str = "key-a",
    method: str | None = None,
    body: bytes = b"",
    host: str = "h.example",
    deadline_ms: int = 3000,
    headers: Sequence[str] = (),
    parts: str = "",
    tokens: str = "3000,50",
    version: str = "1.1",
) -> bytes:
    """Returns the bytes of a client's request."""
    prompts = path.startswith(("/draft/", "/check/"))
    method = method or ("POST" if body or prompts else "GET")
    lines = [f"{method} {path} HTTP/{version}", f"Host: {host}"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    if deadline_ms:
        lines.append(f"X-Request-Deadline-Ms: {deadline_ms}")
    if key:
        lines.append(f"Authorization: Token {key}")
    if prompts:
        lines.append("X-Model-Name: m")
        lines.append(f"X-Token-Counts: {tokens}")
        lines.append(f"X-Prompt-Prefix: {parts or 'aa:500,bb:2000,cc:500'}")
    lines += headers
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
