"""Datagrams between entries: one socket, one message each."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from magnolialug.entry.entrybook import EntryBook
from magnolialug.events import Event, emit
from magnolialug.policy.cachenews import CacheNews
from magnolialug.policy.sharedload import LoadReport

__all__ = ["PeerTalk"]

_BYTES = 8192


class PeerTalk(DatagramProtocol):
    """Sends messages to all other entries, and takes theirs.

    Datagrams get lost and overtake each other, and nothing is repeated here:
    who sends sees to it that a lost message is made good by a later one.
    """

    def __init__(self, book: EntryBook):
        self._book = book
        self._takers: dict[type, Callable[[Any], None]] = {}
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(LoadReport | CacheNews).decode

    @property
    def open(self) -> bool:
        """Whether there is a socket."""
        return self.transport is not None

    def takes(self, form: type, take: Callable[[Any], None]) -> None:
        """Names who takes messages of a type."""
        self._takers[form] = take

    def tell(self, message: LoadReport | CacheNews) -> int:
        """Sends a message to all other entries; returns the bytes sent."""
        if not self.open:
            return 0
        data = self._encode(message)
        others = self._book.others
        for address in others:
            self.transport.write(data, address)
        return len(data) * len(others)

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes another entry's message."""
        if len(data) > _BYTES:
            return
        try:
            message = self._decode(data)
        except msgspec.MsgspecError as exc:
            emit(Event.REPORT_REFUSED, peer=addr[0], reason=str(exc))
            return
        self._takers[type(message)](message)
