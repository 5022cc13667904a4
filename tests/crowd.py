"""Many connections of callers that do not behave."""

import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator

__all__ = ["Crowd"]

_POLL_S = 0.05
_READ_BYTES = 65536
# Of a connection whose answers nobody reads, little fits into its buffer.
_UNREAD_BYTES = 4096


class _Caller:
    """One connection: sends its bytes, then stays open."""

    def __init__(
        self, address: tuple[str, int], pieces: Iterator[bytes], reads: bool
    ):
        self.conn = socket.socket()
        self.conn.setblocking(False)
        if not reads:
            self.conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES
            )
        self.conn.connect_ex(address)
        self._pieces = pieces
        self._unsent = memoryview(b"")
        self.has_sent_all = False

    def send(self) -> None:
        """Sends what the socket takes.

        Raises:
          OSError: if the connection is closed.
        """
        while not self.has_sent_all:
            if not self._unsent:
                self._unsent = memoryview(next(self._pieces, b""))
                self.has_sent_all = not self._unsent
                continue
            try:
                sent = self.conn.send(self._unsent)
            except BlockingIOError:
                return
            self._unsent = self._unsent[sent:]


class Crowd(threading.Thread):
    """Opens connections, sends on each, and holds them open.

    Attributes:
      refused: how many connections the other end has closed.
      read: how many bytes were read.

    Args:
      pieces: returns what a connection sends, by its number.
      reads: whether answers are read.
      opens_again: whether closed connections are opened anew.
    """

    def __init__(
        self,
        address: tuple[str, int],
        count: int,
        pieces: Callable[[int], Iterator[bytes]],
        reads: bool = False,
        opens_again: bool = False,
    ):
        super().__init__(daemon=True)
        self.refused = 0
        self.read = 0
        self._address = address
        self._pieces = pieces
        self._reads = reads
        self._opens_again = opens_again
        self._count = count
        self._numbers = iter(range(1_000_000))
        self._callers: set[_Caller] = set()
        self._selector = selectors.DefaultSelector()
        self._ended = False

    def stop(self) -> None:
        """Closes all connections."""
        self._ended = True
        self.join()

    def run(self) -> None:
        """Sends until it is stopped."""
        for _ in range(self._count):
            self._open()
        while not self._ended:
            if not self._selector.get_map():
                time.sleep(_POLL_S)
            for key, events in self._selector.select(_POLL_S):
                self._serve(key.data, events)
        for caller in self._callers:
            caller.conn.close()
        self._selector.close()

    def _open(self) -> None:
        pieces = self._pieces(next(self._numbers))
        caller = _Caller(self._address, pieces, self._reads)
        self._callers.add(caller)
        self._selector.register(caller.conn, self._events(True), caller)

    def _events(self, writes: bool) -> int:
        return selectors.EVENT_READ * self._reads | (
            selectors.EVENT_WRITE * writes
        )

    def _serve(self, caller: _Caller, events: int) -> None:
        try:
            if events & selectors.EVENT_READ:
                data = caller.conn.recv(_READ_BYTES)
                self.read += len(data)
                if not data:
                    raise ConnectionResetError
            if events & selectors.EVENT_WRITE:
                caller.send()
        except BlockingIOError:
            return
        except OSError:
            self._close(caller)
            return
        if caller.has_sent_all and events & selectors.EVENT_WRITE:
            self._rest(caller)

    def _rest(self, caller: _Caller) -> None:
        """Waits for nothing more but answers."""
        if self._reads:
            self._selector.modify(caller.conn, selectors.EVENT_READ, caller)
        else:
            self._selector.unregister(caller.conn)

    def _close(self, caller: _Caller) -> None:
        self.refused += 1
        self._selector.unregister(caller.conn)
        self._callers.discard(caller)
        caller.conn.close()
        if self._opens_again:
            self._open()
