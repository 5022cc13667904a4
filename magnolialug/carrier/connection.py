"""One HTTP connection to an endpoint, one exchange at a time."""

import enum
import socket
from collections.abc import Callable

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.carrier.reader import BadResponseError, Head, ResponseReader
from magnolialug.carrier.taker import End, Taker

__all__ = ["USER_TIMEOUT_MS", "Connection", "keep_alive_seconds", "watch_path"]

# How long sent bytes may stay unacknowledged before the kernel gives the
# connection up. Paths here take a few milliseconds; a lost packet is sent
# again after 0.2 s, then 0.4 s, so two losses in a row still pass.
USER_TIMEOUT_MS = 1500
_PROBE_IDLE_S = 1
_PROBE_EVERY_S = 1
_PROBES = 2
# A connection is left alone for this long before its announced idle limit,
# since a request that crosses the close may or may not have been read.
_KEEP_ALIVE_MARGIN_S = 0.7
# Endpoints that announce nothing are trusted with this idle time.
_UNSTATED_KEEP_ALIVE_S = 4.0


class _State(enum.Enum):
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


def watch_path(transport) -> None:
    """Makes the kernel notice a path that has gone silent.

    A firewall that forgets a connection leaves it open at both ends and
    passes nothing more. One would notice requests that hang until their
    deadline while new connections work. Unacknowledged bytes and probes of
    an idle connection end it within a few seconds.
    """
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)


def keep_alive_seconds(head: Head) -> float:
    """Returns how long a connection may idle after this response, 0 for no."""
    connection = (head.get(b"connection") or b"").lower()
    if b"close" in connection or not head.framed:
        return 0.0
    for part in (head.get(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, int(value) - _KEEP_ALIVE_MARGIN_S)
    return _UNSTATED_KEEP_ALIVE_S


class Connection(Protocol):
    """Carries requests one after another, and never one after a surprise.

    Bytes that belong to no request, a response that breaks off, a parser's
    complaint: after any of these the connection is closed, since what comes
    next on it could be read as the answer to another request.

    Args:
      clock: returns the time in seconds.
      on_open: is told when the connection is made.
      on_free: is told when an exchange has ended and whether the connection
        can carry another.
      on_gone: is told when the connection is closed.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_open: Callable[["Connection"], None],
        on_free: Callable[["Connection"], None],
        on_gone: Callable[["Connection"], None],
    ):
        self._clock = clock
        self._on_open = on_open
        self._on_free = on_free
        self._on_gone = on_gone
        self._state = _State.IDLE
        self._taker: Taker | None = None
        self._answers = None
        self._head: Head | None = None
        self._foreign = False
        self._clean = True
        self._reader = ResponseReader(self._headed, self._data, self._whole)
        self.served = 0
        self.usable_until = float("inf")

    def connectionMade(self) -> None:
        """Sets the options that reveal a silent path."""
        watch_path(self.transport)
        self._on_open(self)

    @property
    def usable(self) -> bool:
        """Whether an exchange can begin now."""
        return (
            self._state is _State.IDLE
            and self._clean
            and self._clock() < self.usable_until
        )

    def exchange(
        self,
        request: bytes,
        taker: Taker,
        answers: Callable[[Head], bool],
    ) -> None:
        """Sends a request.

        Args:
          request: head and body.
          taker: gets the response.
          answers: tells whether a head answers this request; one that does
            not belongs to an earlier request, and is read and thrown away.
        """
        self._state = _State.BUSY
        self._taker = taker
        self._answers = answers
        self._head = None
        self._foreign = False
        self.served += 1
        self.transport.write(request)

    def drop(self) -> None:
        """Ends the exchange at once; the endpoint sees the close."""
        self._finish(End.DROPPED)
        self.close()

    def close(self) -> None:
        """Closes without waiting for anything."""
        self._clean = False
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stops reading, so that the endpoint is held back."""
        if self._state is not _State.CLOSED:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Reads again."""
        if self._state is not _State.CLOSED:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes from the endpoint."""
        if self._state is not _State.BUSY:
            self._clean = False
            self.close()
            return
        try:
            self._reader.feed(data)
        except BadResponseError:
            self._clean = False
            self._finish(End.GARBAGE)
        self._settle()

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Ends what is under way."""
        orderly = reason.check(ConnectionDone) is not None
        self._clean = False
        if self._taker is not None and not (
            orderly and not self._foreign and self._reader.closed()
        ):
            self._finish(End.CLOSED if orderly else End.RESET)
        self._state = _State.CLOSED
        self._reader.over = True
        self._on_gone(self)

    def _headed(self, head: Head) -> None:
        if self._taker is None:
            self._clean = False
            return
        self._foreign = not self._answers(head)
        if self._foreign:
            self._clean = False
            return
        self._head = head
        self._taker.on_head(head)

    def _data(self, data: bytes) -> None:
        if self._taker is not None and not self._foreign:
            self._taker.on_data(data)

    def _whole(self) -> None:
        if self._taker is None:
            self._clean = False
            return
        if self._foreign:
            self._foreign = False
            return
        keep_s = keep_alive_seconds(self._head)
        if keep_s <= 0:
            self._clean = False
        self.usable_until = self._clock() + keep_s
        self._finish(End.WHOLE)

    def _finish(self, end: End) -> None:
        taker, self._taker = self._taker, None
        if taker is None:
            return
        if self._state is _State.BUSY:
            self._state = _State.IDLE
        taker.on_end(end)

    def _settle(self) -> None:
        """Frees or closes the connection after an exchange.

        Only when all bytes that came have been read is it known whether
        something followed the response.
        """
        if self._state is not _State.IDLE:
            return
        if self._clean and not self._reader.begun:
            self._on_free(self)
        else:
            self.close()
