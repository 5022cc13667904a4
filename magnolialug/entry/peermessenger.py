"""Datagrams between entries, one message in each, over one socket."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import DatagramProtocol

from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit
from magnolialug.guard import Guard
from magnolialug.jsoninput import UNREADABLE
from magnolialug.owners.messages import (
    AdmissionReply,
    Dequeue,
    Enqueue,
    LoadQuery,
    LoadReply,
    LoadReport,
)
from magnolialug.prefixcache.messages import (
    PartQuery,
    PartReply,
    SaveCancelled,
    SaveNotice,
)
from magnolialug.quarantine.messages import (
    AnsweredPartsQuery,
    AnsweredPartsReport,
    CrashReport,
    PromptCrashReport,
    Quarantined,
    Released,
    RequestCompleted,
)
from magnolialug.restarts.messages import StartNotice
from magnolialug.streamorigins.messages import (
    OriginNotice,
    OriginQuery,
    OriginReply,
)

__all__ = ["Message", "PeerMessenger"]

_MAX_DATAGRAM_BYTES = 8192

Message = (
    LoadQuery
    | PartQuery
    | CrashReport
    | Quarantined
    | SaveCancelled
    | SaveNotice
    | RequestCompleted
    | LoadReply
    | PartReply
    | AdmissionReply
    | Dequeue
    | Enqueue
    | LoadReport
    | OriginNotice
    | OriginQuery
    | OriginReply
    | PromptCrashReport
    | Released
    | AnsweredPartsQuery
    | AnsweredPartsReport
    | StartNotice
)


class PeerMessenger(DatagramProtocol):
    """Sends messages to other entries and dispatches received ones.

    Datagrams can be lost or reordered, and this class does not retransmit. The
    sender of a message must make up for its loss by a later one.

    Attributes:
      guard: calls the handlers.

    Args:
      me: this entry's own address; messages to it do not use the socket.
    """

    def __init__(self, me: Address, clock: IReactorTime):
        self.guard = Guard(clock.seconds)
        self._me = me
        self._clock = clock
        self._handlers: dict[type, Callable[[Any, Address], None]] = {}
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Message).decode

    @property
    def open(self) -> bool:
        """Whether the socket is open."""
        return self.transport is not None

    def register_handler(
        self, message_type: type, handler: Callable[[Any, Address], None]
    ) -> None:
        """Sets the handler of a message type; it also receives the sender."""
        self._handlers[message_type] = handler

    def send(self, message: Message, to: Address) -> None:
        """Sends a message to one entry; drops it if the socket is not open."""
        if to == self._me:
            self._clock.callLater(0, self._handle, message, to)
        elif self.open:
            self._send_datagram(message, to)

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        """Passes a message to its handler; drops one too long or malformed."""
        if len(data) > _MAX_DATAGRAM_BYTES:
            return
        try:
            message = self._decode(data)
        except UNREADABLE as exc:
            emit(Event.REPORT_REFUSED, peer=addr[0], reason=str(exc))
            return
        self._handle(message, addr)

    def _handle(self, message: Message, sender: Address) -> None:
        """Calls a message's handler; what it raises ends this message only."""
        kind = type(message)
        handler = self._handlers[kind]
        exc = self.guard.call(kind.__name__, handler, message, sender)
        if exc is not None:
            reason = f"{kind.__name__}: {type(exc).__name__}: {exc}"
            emit(Event.REPORT_REFUSED, peer=sender[0], reason=reason)

    def _send_datagram(self, message: Message, to: Address) -> None:
        try:
            data = self._encode(message)
        except (OverflowError, *UNREADABLE) as exc:
            self._log_unsent(message, str(exc))
            return
        if len(data) > _MAX_DATAGRAM_BYTES:
            self._log_unsent(message, f"{len(data)} bytes")
            return
        self.transport.write(data, to)

    def _log_unsent(self, message: Message, reason: str) -> None:
        kind = type(message).__name__
        emit(Event.REPORT_UNSENT, message=kind, reason=reason)
