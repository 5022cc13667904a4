"""One framed connection between two processes, with heartbeats."""

from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver

from magnolialug.result import Code, Failure, failed
from magnolialug.wire import messages
from magnolialug.wire.messages import Message

__all__ = ["FRAME_LIMIT", "HEARTBEAT_S", "SILENCE_S", "Link"]

FRAME_LIMIT = 4 * 1024 * 1024
HEARTBEAT_S = 1.0
SILENCE_S = 3.5


class Link(Int32StringReceiver):
    """Sends and receives typed messages and notices a silent peer.

    A connection can go silent for good while new ones work, because
    something between the two ends lost track of it. Nothing is reported to
    the socket then; what one notices is that no frame arrives. So both ends
    send at least every HEARTBEAT_S, and whoever hears nothing for SILENCE_S
    drops the connection, which makes its owner open another.

    Attributes:
      on_message: called with each message; set by the owner.
      on_up: called once when connected.
      on_down: called once with the failure that ended the connection.
      heartbeat: makes the message to send when idle.
    """

    MAX_LENGTH = FRAME_LIMIT

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.on_message: Callable[[Message], None] = lambda msg: None
        self.on_up: Callable[[], None] = lambda: None
        self.on_down: Callable[[Failure], None] = lambda failure: None
        self.heartbeat: Callable[[], Message] | None = None
        self.up = False
        self._cause: Failure | None = None
        self.heard_at = 0.0
        self._said = 0.0
        self._timer = None

    def connectionMade(self) -> None:
        """Starts the heartbeat."""
        self.up = True
        self.heard_at = self._said = self.clock.seconds()
        self._timer = self.clock.callLater(HEARTBEAT_S, self._tick)
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay:
            set_no_delay(True)
        self.on_up()

    def send(self, msg: Message) -> None:
        """Writes one message; does nothing once the connection is down."""
        if not self.up:
            return
        self._said = self.clock.seconds()
        self.sendString(messages.encode(msg))

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes, which may be a part of a frame."""
        self.heard_at = self.clock.seconds()
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        """Hands one decoded message to the owner."""
        try:
            msg = messages.decode(string)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self.drop(failed(Code.FRAME_ILL_TYPED, str(exc)))
            return
        if self.up:
            self.on_message(msg)

    def lengthLimitExceeded(self, length: int) -> None:
        """Ends this connection only, with a numbered failure."""
        self.drop(failed(Code.FRAME_TOO_LARGE, field="length", value=length))

    def drop(self, cause: Failure) -> None:
        """Closes the connection at once for a stated cause."""
        self._cause = self._cause or cause
        abort = getattr(self.transport, "abortConnection", None)
        if abort:
            abort()
        else:
            self.transport.loseConnection()
        self._ended()

    def close(self) -> None:
        """Closes the connection after what was written has been sent."""
        if self.transport:
            self.transport.loseConnection()

    def connectionLost(self, reason=connectionDone) -> None:
        """Reports the end to the owner, once."""
        super().connectionLost(reason)
        self._cause = self._cause or failed(
            Code.CONNECTION_CLOSED, reason.getErrorMessage()
        )
        self._ended()

    def _ended(self) -> None:
        if not self.up:
            return
        self.up = False
        if self._timer and self._timer.active():
            self._timer.cancel()
        self.on_down(self._cause)

    def _tick(self) -> None:
        now = self.clock.seconds()
        if now - self.heard_at >= SILENCE_S:
            self.drop(failed(Code.CONNECTION_SILENT))
            return
        self._timer = self.clock.callLater(HEARTBEAT_S, self._tick)
        if self.heartbeat and now - self._said >= HEARTBEAT_S / 2:
            self.send(self.heartbeat())
