"""Datagrams between entries, one message in each, over one socket."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import DatagramProtocol

from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit
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

    Args:
      me: this entry's own address; messages to it do not use the socket.
    """

    def __init__(self, me: Address, clock: IReactorTime):
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
            handler = self._handlers[type(message)]
            self._clock.callLater(0, handler, message, to)
        elif self.open:
            self.transport.write(self._encode(message), to)

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        """Passes a message to its handler; drops one too long or malformed."""
        if len(data) > _MAX_DATAGRAM_BYTES:
            return
        try:
            message = self._decode(data)
        except msgspec.MsgspecError as exc:
            emit(Event.REPORT_REFUSED, peer=addr[0], reason=str(exc))
            return
        self._handlers[type(message)](message, addr)
