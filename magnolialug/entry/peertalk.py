"""Datagrams between entries: one socket, one message each."""

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
    CrashReport,
    Quarantined,
    RequestCompleted,
)

__all__ = ["Message", "PeerTalk"]

_BYTES = 8192

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
)


class PeerTalk(DatagramProtocol):
    """Sends messages to other entries, and takes theirs.

    Datagrams get lost and overtake each other, and nothing is repeated here:
    who sends sees to it that a lost message is made good by a later one.

    Args:
      me: this entry's own address; what is sent there takes no socket.
    """

    def __init__(self, me: Address, clock: IReactorTime):
        self._me = me
        self._clock = clock
        self._takers: dict[type, Callable[[Any, Address], None]] = {}
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Message).decode

    @property
    def open(self) -> bool:
        """Whether there is a socket."""
        return self.transport is not None

    def takes(self, form: type, take: Callable[[Any, Address], None]) -> None:
        """Names who takes messages of a type, and from whom they come."""
        self._takers[form] = take

    def send(self, message: Message, to: Address) -> None:
        """Sends a message to one entry."""
        if to == self._me:
            take = self._takers[type(message)]
            self._clock.callLater(0, take, message, to)
        elif self.open:
            self.transport.write(self._encode(message), to)

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        """Takes another entry's message."""
        if len(data) > _BYTES:
            return
        try:
            message = self._decode(data)
        except msgspec.MsgspecError as exc:
            emit(Event.REPORT_REFUSED, peer=addr[0], reason=str(exc))
            return
        self._takers[type(message)](message, addr)
