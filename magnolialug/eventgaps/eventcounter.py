"""Counts the events of a stream of server-sent events, piece by piece."""

__all__ = ["EventCounter"]

_COMMENT = b":"


class EventCounter:
    """Follows a stream from its beginning.

    A blank line ends an event; lines end with LF, CRLF or CR. A block that
    holds comments only is none: it keeps a connection open and tells nothing.
    """

    def __init__(self) -> None:
        self._line_start = b""
        self._in_event = False
        self._after_cr = False

    def feed(self, data: bytes) -> int:
        """Adds a piece of the stream; returns how many events it ends."""
        lines = self._split(data)
        # The first byte tells a comment from a field.
        self._line_start = lines.pop()[:1]
        ended = 0
        for line in lines:
            if line:
                self._in_event |= not line.startswith(_COMMENT)
            else:
                ended += self._in_event
                self._in_event = False
        return ended

    def _split(self, data: bytes) -> list[bytes]:
        """Returns the lines that end in a piece, and the one that does not."""
        if self._after_cr and data:
            data = data.removeprefix(b"\n")
            self._after_cr = False
        if b"\r" in data:
            self._after_cr = data.endswith(b"\r")
            data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return (self._line_start + data).split(b"\n")
