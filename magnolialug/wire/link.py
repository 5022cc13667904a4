"""Framed connection between two processes, with heartbeats."""

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver

from magnolialug.result import Code, Failure, failed
from magnolialug.wire import messages
from magnolialug.wire.messages import Message

__all__ = [
    "FRAME_LIMIT_BYTES",
    "HEARTBEAT_INTERVAL_S",
    "SILENCE_TIMEOUT_S",
    "Link",
]

FRAME_LIMIT_BYTES = 4 * 1024 * 1024
HEARTBEAT_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.5


class Link(Int32StringReceiver):
    """Sends and receives typed messages and detects a silent peer.

    An intermediary between the two ends can lose a connection's state. The
    connection then carries no more bytes while new connections work, and the
    socket reports no error; the only sign is that no frame arrives. So both
    ends send at least every HEARTBEAT_INTERVAL_S. An end that receives nothing
    for SILENCE_TIMEOUT_S drops the connection, and its owner opens another.

    Attributes:
      on_message: called with each message; set by the owner of the link.
      on_up: called once when connected.
      on_down: called once with the failure that ended the connection.
      heartbeat: returns the message to send when the link is idle.
    """

    MAX_LENGTH = FRAME_LIMIT_BYTES

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.on_message: Callable[[Message], None] = lambda msg: None
        self.on_up: Callable[[], None] = lambda: None
        self.on_down: Callable[[Failure], None] = lambda failure: None
        self.heartbeat: Callable[[], Message] | None = None
        self.is_up = False
        self._failure: Failure | None = None
        self.last_received_at = 0.0
        self._last_sent_at = 0.0
        self._timer = None

    def connectionMade(self) -> None:
        """Starts the heartbeat."""
        self.is_up = True
        self.last_received_at = self._last_sent_at = self.clock.seconds()
        self._timer = self.clock.callLater(
            HEARTBEAT_INTERVAL_S, self._check_heartbeat
        )
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay:
            set_no_delay(True)
        self.on_up()

    def send(self, msg: Message) -> None:
        """Writes one message; does nothing once the connection is down."""
        if not self.is_up:
            return
        self._last_sent_at = self.clock.seconds()
        self.sendString(messages.encode(msg))

    def dataReceived(self, data: bytes) -> None:
        """Receives bytes; a partial frame also shows that the peer is alive."""
        self.last_received_at = self.clock.seconds()
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        """Passes one decoded message to the owner."""
        try:
            msg = messages.decode(string)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self.drop(failed(Code.FRAME_ILL_TYPED, str(exc)))
            return
        if self.is_up:
            self.on_message(msg)

    def lengthLimitExceeded(self, length: int) -> None:
        """Drops only this connection, with the code FRAME_TOO_LARGE."""
        self.drop(failed(Code.FRAME_TOO_LARGE, field="length", value=length))

    def drop(self, cause: Failure) -> None:
        """Aborts the connection and reports `cause` to the owner."""
        self._failure = self._failure or cause
        abort = getattr(self.transport, "abortConnection", None)
        if abort:
            abort()
        else:
            self.transport.loseConnection()
        self._report_down()

    def close(self) -> None:
        """Closes the connection after the written bytes have been sent."""
        if self.transport:
            self.transport.loseConnection()

    def connectionLost(self, reason=connectionDone) -> None:
        """Reports the close to the owner unless it was reported already."""
        super().connectionLost(reason)
        self._failure = self._failure or failed(
            Code.CONNECTION_CLOSED, reason.getErrorMessage()
        )
        self._report_down()

    def _report_down(self) -> None:
        if not self.is_up:
            return
        self.is_up = False
        if self._timer and self._timer.active():
            self._timer.cancel()
        self.on_down(self._failure)

    def _check_heartbeat(self) -> None:
        now = self.clock.seconds()
        if now - self.last_received_at >= SILENCE_TIMEOUT_S:
            self.drop(failed(Code.CONNECTION_SILENT))
            return
        self._timer = self.clock.callLater(
            HEARTBEAT_INTERVAL_S, self._check_heartbeat
        )
        if (
            self.heartbeat
            and now - self._last_sent_at >= HEARTBEAT_INTERVAL_S / 2
        ):
            self.send(self.heartbeat())
