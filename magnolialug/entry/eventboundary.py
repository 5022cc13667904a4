"""Tracks whether a stream of server-sent events is inside an event."""

import re

__all__ = ["EventBoundary"]

# The longest blank line with the end of the line before it: CRLF CRLF.
_MAX_SEPARATOR_BYTES = 4
# The last byte of an event, the end of its line and a blank line.
_END = re.compile(rb"[^\r\n](?>\r\n|\r|\n){2}")
# The blank line of a stream in CRLF, before its last byte.
_BEGUN_CRLF = b"\r\n\r"


class EventBoundary:
    """Follows the bytes of a stream from its beginning.

    A blank line ends an event; lines end with LF, CRLF or CR.
    """

    def __init__(self) -> None:
        self._tail = b"\n\n"

    def feed(self, data: bytes) -> int:
        """Adds the next bytes of the stream; returns how many events end."""
        ended = len(_END.findall(self._last_line_end() + data))
        tail = self._tail + data[-_MAX_SEPARATOR_BYTES:]
        self._tail = tail[-_MAX_SEPARATOR_BYTES:]
        return ended

    def _last_line_end(self) -> bytes:
        """Returns the last byte of an event that goes on, and its line end."""
        if self._is_ended:
            return b""
        line = self._tail.rstrip(b"\r\n")
        return self._tail[len(line) - 1 :]

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event has begun and not ended.

        It has not in the middle of the CRLF that ends it.
        """
        return not self._is_ended or self._tail.endswith(_BEGUN_CRLF)

    @property
    def _is_ended(self) -> bool:
        tail = self._tail.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return tail.endswith(b"\n\n")
