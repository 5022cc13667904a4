"""A strict reader of HTTP responses on one connection."""

from collections.abc import Callable

import httptools
import msgspec

__all__ = ["Head", "ResponseReader", "BadResponseError"]

_NO_BODY = frozenset((204, 304))


class Head(msgspec.Struct):
    """A response's status line and headers.

    Attributes:
      headers: names in lower case, values as sent, in order.
      framed: whether its end can be told without the connection's end.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    framed: bool = False

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, None if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class BadResponseError(Exception):
    """The bytes are not a response."""


class ResponseReader:
    """Turns bytes into heads, body pieces and ends.

    The parser is llhttp in its strict mode: it refuses a length beside
    chunks, two lengths and bare line feeds, which two readers could take in
    two ways. Interim responses (1xx) are passed over.

    Args:
      on_head: gets each final response's head.
      on_data: gets each piece of its body.
      on_end: is told when the body is whole.
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
        self.begun = False
        self.over = False

    def feed(self, data: bytes) -> None:
        """Takes bytes as they arrive.

        Raises:
          BadResponseError: if they are not a response.
        """
        if self.over:
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as exc:
            raise BadResponseError(str(exc) or type(exc).__name__) from exc

    def closed(self) -> bool:
        """Takes an orderly end of the connection; true if that ends a body.

        A response without length ends with its connection. The caller must
        not call this for a reset, which can cut such a body anywhere.
        """
        head = self._head
        if head is None or head.framed:
            return False
        self._head = None
        self._on_end()
        return True

    def on_message_begin(self) -> None:
        """Is called by the parser at each first byte."""
        self.begun = True
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Is called by the parser with pieces of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Is called by the parser with each header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Is called by the parser at the empty line."""
        status = self._parser.get_status_code()
        self._interim = 100 <= status < 200
        if self._interim:
            return
        framed = status in _NO_BODY or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._head = Head(status, self._reason, self._headers, framed)
        self._on_head(self._head)

    def on_body(self, data: bytes) -> None:
        """Is called by the parser with each piece of a body."""
        self._on_data(data)

    def on_message_complete(self) -> None:
        """Is called by the parser when a response is whole."""
        self.begun = False
        if self._interim:
            return
        self._head = None
        self._on_end()
