"""Strict parser of the HTTP responses on one connection."""

import enum
from collections.abc import Callable

import httptools
import msgspec

__all__ = ["BadResponseError", "Framing", "Head", "ResponseReader"]

_NO_BODY = frozenset((204, 304))
# RFC 9110, section 15.
_STATUSES = range(100, 600)
# Bounds the bytes before a head is complete, interim responses included, and
# those between two pieces of a body: chunk sizes, extensions, trailers.
_MAX_OVERHEAD_BYTES = 32 * 1024
# Bounds the memory of short header lines, each of which is an object.
_MAX_HEADERS = 256


class Framing(enum.Enum):
    """What tells the end of a response's body.

    NO_BODY: the status allows no body.
    LENGTH: its Content-Length.
    CHUNKS: its last chunk.
    CLOSE: the close of the connection.
    """

    NO_BODY = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Head(msgspec.Struct):
    """A response's status line and headers.

    Attributes:
      headers: names in lower case, values as sent, in order.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    framing: Framing = Framing.CLOSE

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class BadResponseError(Exception):
    """The bytes are not a valid HTTP response."""


class ResponseReader:
    """Parses bytes into response heads, pieces of bodies and ends.

    The parser is llhttp in strict mode. It rejects a Content-Length beside
    chunked encoding, two Content-Lengths and bare line feeds, which different
    parsers could interpret differently. Interim responses (1xx) are skipped.

    Args:
      on_head: called with the head of each final response.
      on_data: called with each piece of its body.
      on_end: called when the body is complete.
    """

    def __init__(
        self,
        on_head: Callable[[Head], None],
        on_data: Callable[[bytes], None],
        on_end: Callable[[], None],
    ):
        self._on_head = on_head
        self._on_data = on_data
        self._on_end = on_end
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: Head | None = None
        self._interim = False
        self._overhead = 0
        self._has_body = False
        self._chunk_begun = False
        self._in_trailers = False
        self.mid_response = False
        self.stopped = False

    def feed(self, data: bytes) -> None:
        """Parses bytes as they arrive.

        Raises:
          BadResponseError: if they are not a valid response.
        """
        if self.stopped:
            return
        chunk_begun, self._has_body = self._chunk_begun, False
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as exc:
            cause = exc.__context__ or exc
            reason = f"{type(cause).__name__}: {cause}"
            raise BadResponseError(reason) from exc
        if chunk_begun and self._chunk_begun and not self._has_body:
            # Behind the size of any but the last chunk comes its data.
            self._in_trailers = True
        self._check_overhead(len(data))

    def _check_overhead(self, size: int) -> None:
        """Counts bytes that carried no part of a body.

        Raises:
          BadResponseError: if they are too many.
        """
        self._overhead = 0 if self._has_body else self._overhead + size
        if self._overhead <= _MAX_OVERHEAD_BYTES:
            return
        if self._head is None or not self._in_trailers:
            raise BadResponseError(f"{self._overhead} bytes without any body")
        # A chunked body is complete with its last chunk, whatever follows.
        self.stopped = True
        self._head = None
        self._on_end()

    @property
    def ends_with_connection(self) -> bool:
        """Whether a response has begun that only a close ends."""
        head = self._head
        return head is not None and head.framing is Framing.CLOSE

    def end_of_stream(self) -> bool:
        """Handles an orderly close; returns whether it completes a response.

        A response without a length ends when its connection closes. The caller
        must not call this after a reset, which can truncate such a body at any
        byte.
        """
        if not self.ends_with_connection:
            return False
        self._head = None
        self._on_end()
        return True

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of each response."""
        self.mid_response = True
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Called by the parser with pieces of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header, and each trailer.

        Raises:
          BadResponseError: if there are too many.
        """
        if self._head is not None:
            self._in_trailers = True
            return
        self._headers.append((name.lower(), value))
        if len(self._headers) > _MAX_HEADERS:
            raise BadResponseError(f"more than {_MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Called by the parser at the empty line after the headers.

        Raises:
          BadResponseError: if its status is of no class.
        """
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            raise BadResponseError(f"status {status:03}, not 100 to 599")
        self._interim = 100 <= status < 200
        if self._interim:
            return
        framing = _framing(status, {name for name, _ in self._headers})
        self._head = Head(status, self._reason, self._headers, framing)
        self._on_head(self._head)

    def on_body(self, data: bytes) -> None:
        """Called by the parser with each piece of a body."""
        self._has_body = True
        self._chunk_begun = False
        self._on_data(data)

    def on_chunk_header(self) -> None:
        """Called by the parser behind the size of each chunk."""
        self._chunk_begun = True

    def on_message_complete(self) -> None:
        """Called by the parser when a response is complete."""
        self.mid_response = False
        if self._interim:
            return
        self._chunk_begun = self._in_trailers = False
        self._overhead = 0
        self._head = None
        self._on_end()


def _framing(status: int, names: set[bytes]) -> Framing:
    if status in _NO_BODY:
        return Framing.NO_BODY
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CLOSE
