"""Writes log lines to a stream that may not be read."""

import os
import select
from collections import deque

__all__ = ["LogWriter"]

# A pipe that polls as writable takes this much at once without blocking.
_ATOMIC_BYTES = select.PIPE_BUF
# About a thousand lines: a reader that pauses for a few seconds loses none.
_HELD_BYTES = 256 * 1024


class LogWriter:
    """Holds lines until the stream takes them; never waits for it.

    A write to a full pipe stops the process. One would notice that every
    request of a process hangs when the collector of its logs does. So lines
    wait here, within bounds, and are written when the stream is ready; what
    does not fit is counted and left out.

    Attributes:
      lost: lines left out since the start.
    """

    def __init__(self, fd: int, limit: int = _HELD_BYTES):
        self.lost = 0
        self._fd = fd
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._held = 0
        self._rest = b""
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, line: str) -> None:
        """Takes one line with its end."""
        data = line.encode()
        if self._held + len(data) > self._limit:
            self.lost += 1
            return
        self._lines.append(data)
        self._held += len(data)

    def flush(self) -> None:
        """Writes as much as the stream takes now."""
        while self._rest or self._lines:
            if not self._ready():
                return
            if not self._rest:
                self._rest = self._next_lines()
            try:
                written = os.write(self._fd, self._rest[:_ATOMIC_BYTES])
            except OSError:
                # Nobody can read any more, and there is no other place to
                # say so.
                self._lines.clear()
                self._rest = b""
                self._held = 0
                return
            self._rest = self._rest[written:]
            self._held -= written

    def _ready(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))

    def _next_lines(self) -> bytes:
        """Returns lines that are written together, at least one."""
        pieces = [self._lines.popleft()]
        size = len(pieces[0])
        while self._lines and size + len(self._lines[0]) <= _ATOMIC_BYTES:
            pieces.append(self._lines.popleft())
            size += len(pieces[-1])
        return b"".join(pieces)
