"""One HTTP connection to an endpoint, with one exchange at a time."""

import enum
import socket
import struct
from collections.abc import Callable, Sequence

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure as TwistedFailure
from zope.interface import implementer

from magnolialug.carrier.bodysender import BodySender
from magnolialug.carrier.peermonitor import PeerMonitor, WatchedConnection
from magnolialug.carrier.reader import (
    BadResponseError,
    Framing,
    Head,
    ResponseReader,
)
from magnolialug.carrier.responsereceiver import End, ResponseReceiver
from magnolialug.carrier.sendstate import read_send_state
from magnolialug.events import Event, emit

__all__ = [
    "AcceptsHead",
    "Connection",
    "keep_alive_seconds",
    "enable_dead_peer_detection",
    "set_reset_on_close",
    "unsent_bytes",
]

_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 1
# A connection is not reused within this time before its announced idle limit:
# if the endpoint closes it while a request is in transit, it is unknown whether
# the endpoint read the request.
_KEEP_ALIVE_MARGIN_S = 0.7
# Idle time assumed for endpoints that announce no limit, or none yet.
_DEFAULT_KEEP_ALIVE_S = 4.0
_MAX_DIGITS = 12
# Bounds what is read of responses to other requests.
_MAX_DISCARDED_BYTES = 64 * 1024
_HEAD_END = b"\r\n\r\n"


AcceptsHead = Callable[[Head, bool], bool]


class _State(enum.Enum):
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


def enable_dead_peer_detection(transport) -> None:
    """Sets the socket options that make the kernel close a dead connection.

    A firewall that loses a connection's state drops its packets, while both
    ends still see it as open. Requests on it would hang until their deadline
    although new connections work. Probes close an idle connection within a few
    seconds; a PeerMonitor sees to one with unacknowledged bytes.
    """
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S
    )
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT)


def unsent_bytes(transport) -> int:
    """Returns how many written bytes the kernel has not taken yet."""
    buffered = len(getattr(transport, "dataBuffer", b""))
    return buffered + getattr(transport, "_tempDataLen", 0)


def set_reset_on_close(transport, on: bool) -> None:
    """Sets whether every close of a connection is a reset.

    That includes the close by the kernel when the process is killed.
    """
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", on, 0)
    )


def keep_alive_seconds(head: Head) -> float:
    """Returns how many seconds a connection may idle after this response.

    Returns 0 if the connection must not be reused.
    """
    connection = (head.get(b"connection") or b"").lower()
    if b"close" in connection or head.framing is Framing.CLOSE:
        return 0.0
    for part in (head.get(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            seconds = int(value[:_MAX_DIGITS])
            return max(0.0, seconds - _KEEP_ALIVE_MARGIN_S)
    return _DEFAULT_KEEP_ALIVE_S


@implementer(IHalfCloseableProtocol)
class Connection(Protocol):
    """Sends requests one after another; is not reused after a protocol error.

    The connection is closed after bytes that belong to no request, a truncated
    response or a parser error, since later bytes on it could be read as the
    response to another request.

    Args:
      clock: returns the time in seconds.
      on_open: called when the connection is made.
      on_idle: called when an exchange has ended and the connection can be
        reused.
      on_closed: called when the connection is closed.
      monitor: closes the connection if its endpoint is gone.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_open: Callable[["Connection"], None],
        on_idle: Callable[["Connection"], None],
        on_closed: Callable[["Connection"], None],
        monitor: PeerMonitor,
    ):
        self._clock = clock
        self._on_open = on_open
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._monitor = monitor
        self._watched: WatchedConnection | None = None
        self._state = _State.IDLE
        self._receiver: ResponseReceiver | None = None
        self._accepts_head = None
        self._head: Head | None = None
        self._discarding = False
        self._discarded = 0
        self._reusable = True
        self._is_paused = False
        self._has_body = False
        self._sender: BodySender | None = None
        self._reader = ResponseReader(
            self._on_head, self._on_data, self._on_complete
        )
        self.exchange_count = 0
        self.usable_until = float("inf")

    def connectionMade(self) -> None:
        """Enables dead peer detection and reports the connection."""
        enable_dead_peer_detection(self.transport)
        self.usable_until = self._clock() + _DEFAULT_KEEP_ALIVE_S
        self._watched = self._monitor.watch(self.transport)
        self._on_open(self)

    @property
    def usable(self) -> bool:
        """Whether a new exchange can begin now."""
        return (
            self._state is _State.IDLE
            and self._reusable
            and self._clock() < self.usable_until
        )

    def exchange(
        self,
        request: bytes,
        receiver: ResponseReceiver,
        accepts_head: AcceptsHead,
        body: Sequence[bytes] = (),
    ) -> None:
        """Sends a request.

        Args:
          request: its head, or all of it.
          body: the blocks behind that.
          receiver: receives the response.
          accepts_head: returns whether a head answers this request; it also
            receives whether the connection has carried no other. A response
            that does not belongs to an earlier request and is discarded.
        """
        self._state = _State.BUSY
        self._receiver = receiver
        self._accepts_head = accepts_head
        self._head = None
        self._discarding = False
        self._discarded = 0
        head_end = request.find(_HEAD_END) + len(_HEAD_END)
        self._has_body = bool(body) or head_end < len(request)
        self.exchange_count += 1
        self._watched.record_write()
        if len(body) <= 1:
            self.transport.write(b"".join((request, *body)))
            return
        self.transport.write(request)
        self._sender = BodySender(
            self.transport,
            body,
            self._watched.record_write,
            self._on_body_sent,
        )
        self._sender.start()

    def _on_body_sent(self) -> None:
        self._sender = None

    def drop(self) -> None:
        """Ends the exchange as DROPPED and closes the connection."""
        self._finish(End.DROPPED)
        self.close()

    def close(self) -> None:
        """Aborts the connection without flushing unsent bytes."""
        self._reusable = False
        if self.transport is not None:
            self._watched.forget()
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stops reading, which applies back pressure to the endpoint."""
        if self._state is not _State.CLOSED:
            self._is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resumes reading."""
        if self._state is not _State.CLOSED:
            self._is_paused = False
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Parses bytes from the endpoint; closes if none are expected."""
        if self._state is not _State.BUSY:
            self._reusable = False
            self.close()
            return
        try:
            self._reader.feed(data)
        except BadResponseError as exc:
            self._refuse(str(exc))
        self._release()

    def _refuse(self, reason: str) -> None:
        """Ends the exchange as MALFORMED; its connection is then closed."""
        emit(Event.RESPONSE_REFUSED, reason=reason)
        self._reusable = False
        self._reader.stopped = True
        self._finish(End.MALFORMED)

    def readConnectionLost(self) -> None:
        """Handles the end of what the endpoint sends.

        A response that has neither a length nor chunks ends with it, unless the
        endpoint has closed the connection as a whole and has not read all of
        the request: it then resets the connection, and may have stopped in the
        middle of its response (RFC 9112, section 9.6).
        """
        if self._may_be_reset():
            self._watched.await_delivery(self._on_delivered)
        else:
            self._end_connection(ConnectionDone())

    def writeConnectionLost(self) -> None:
        """Does nothing; the sending side is never closed by itself."""

    def _may_be_reset(self) -> bool:
        """Whether a closed endpoint may not have read all of the request.

        The reset follows the end of a response on the wire even if all bytes
        have been acknowledged before: the kernel does that, not the endpoint.
        """
        if self._receiver is None or self._discarding:
            return False
        return self._reader.ends_with_connection and self._has_body

    def _is_request_sent(self) -> bool:
        """Whether the endpoint has acknowledged the whole request."""
        if self._sender is not None or unsent_bytes(self.transport):
            return False
        state = read_send_state(self.transport.getHandle())
        return state is not None and state.is_delivered

    def _on_delivered(self, delivered: bool) -> None:
        if not delivered:
            self._end_connection(ConnectionLost())
        elif self._is_request_sent():
            self._end_connection(ConnectionDone())
        else:
            self._watched.await_delivery(self._on_delivered)

    def _end_connection(self, reason: ConnectionDone | ConnectionLost) -> None:
        """Ends the connection as if its peer had closed it as a whole."""
        self.transport.connectionLost(TwistedFailure(reason))

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Ends the current exchange, if any, and reports the close."""
        self._watched.forget()
        orderly = reason.check(ConnectionDone) is not None
        self._reusable = False
        if self._receiver is not None and not (
            orderly and not self._discarding and self._reader.end_of_stream()
        ):
            self._finish(End.CLOSED if orderly else End.RESET)
        self._state = _State.CLOSED
        self._reader.stopped = True
        self._on_closed(self)

    def _on_head(self, head: Head) -> None:
        if self._receiver is None:
            self._reusable = False
            return
        self._discarding = not self._accepts_head(
            head, self.exchange_count == 1
        )
        if self._discarding:
            self._reusable = False
            return
        self._head = head
        self._receiver.on_head(head)

    def _on_data(self, data: bytes) -> None:
        if self._receiver is None:
            return
        if not self._discarding:
            self._receiver.on_data(data)
            return
        self._discarded += len(data)
        if self._discarded > _MAX_DISCARDED_BYTES:
            self._refuse("a response without end to another request")

    def _on_complete(self) -> None:
        if self._receiver is None:
            self._reusable = False
            return
        if self._discarding:
            self._discarding = False
            return
        idle_s = keep_alive_seconds(self._head)
        if idle_s <= 0:
            self._reusable = False
        self.usable_until = self._clock() + idle_s
        self._finish(End.COMPLETE)

    def _finish(self, end: End) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        self._leave_body()
        if self._state is _State.BUSY:
            self._state = _State.IDLE
        receiver.on_end(end)

    def _leave_body(self) -> None:
        """Sends no more of a body whose exchange has ended.

        What its endpoint was promised does not come, so that nothing else can
        be sent on the connection.
        """
        sender, self._sender = self._sender, None
        if sender is not None:
            self._reusable = False
            sender.stop()

    def _release(self) -> None:
        """Reports the connection as idle, or closes it, after an exchange.

        Called after all received bytes are parsed, since only then is it known
        whether further bytes followed the response.
        """
        if self._state is not _State.IDLE:
            return
        if self._is_paused:
            # The reader of the last answer is gone, or will not resume it.
            self.resume()
        if self._reusable and not self._reader.mid_response:
            self._on_idle(self)
        else:
            self.close()
