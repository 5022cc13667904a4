"""Tracks whether a stream of server-sent events is inside an event."""

__all__ = ["EventBoundary"]

# The longest blank line with the end of the line before it: CRLF CRLF.
_MAX_SEPARATOR_BYTES = 4


class EventBoundary:
    """Follows the bytes of a stream from its beginning.

    A blank line ends an event; lines end with LF, CRLF or CR.
    """

    def __init__(self) -> None:
        self._tail = b"\n\n"

    def feed(self, data: bytes) -> None:
        """Adds the next bytes of the stream."""
        tail = self._tail + data[-_MAX_SEPARATOR_BYTES:]
        self._tail = tail[-_MAX_SEPARATOR_BYTES:]

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event has begun and not ended."""
        tail = self._tail.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return not tail.endswith(b"\n\n")
