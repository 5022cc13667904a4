"""The number of entries, kept in the key-value service without a lease."""

from collections.abc import Sequence
from typing import Annotated

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.background import background
from magnolialug.events import Event, emit, explain
from magnolialug.jsoninput import decode_json
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.result import Code, Failure
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["COUNT_KEY", "EntryCount", "EntryCountValue"]

COUNT_KEY = "magnolialug/entry-count"
# A number is written after it has not changed for this long, so that a fleet
# that starts writes once. A failed write is repeated after this time.
_SETTLE_S = 5.0
# A number that keeps changing is written after this time.
_MAX_DELAY_S = 15.0
# Limits are divided by the number, so a wrong one must not be huge.
_MAX_ENTRIES = 100_000


class EntryCountValue(msgspec.Struct, frozen=True):
    """The value of the key."""

    entries: Annotated[int, msgspec.Meta(ge=1, le=_MAX_ENTRIES)]


class EntryCount(WatchSubscriber):
    """Reads the number of entries that was last written, and writes it.

    Registrations expire while the service is unavailable, and their entries
    continue to serve. An entry that starts then finds no registration, and only
    this number tells it that it shares limits with others.

    Attributes:
      stored: the number in the service, 0 if there is none.
    """

    def __init__(self, kv: Kv, clock: IReactorTime):
        self.stored = 0
        self._kv = kv
        self._clock = clock
        self._revision = 0
        self._entries = 0
        self._since = self._differs_since = clock.seconds()
        self._is_writing = False

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Replaces the number by the one in the service."""
        self.stored = self._revision = 0
        for entry in entries:
            self.changed(entry)

    def changed(self, entry: KvEntry) -> None:
        """Applies a written or removed number."""
        if entry.key != COUNT_KEY:
            return
        self._revision = 0 if entry.value is None else entry.revision
        self.stored = 0 if entry.value is None else _read(entry)

    def update(self, entries: int, is_writer: bool) -> None:
        """Writes the number if it has differed from the stored one for long.

        Args:
          entries: the number of entries that share limits now.
          is_writer: whether this entry writes it for all.
        """
        now = self._clock.seconds()
        if entries != self._entries:
            self._entries, self._since = entries, now
        if entries == self.stored:
            self._differs_since = now
        is_due = (
            now - self._since >= _SETTLE_S
            or now - self._differs_since >= _MAX_DELAY_S
        )
        if is_writer and is_due and entries != self.stored:
            self._since = self._differs_since = now
            if not self._is_writing:
                background("entry count", self._write(entries))

    async def _write(self, entries: int) -> None:
        self._is_writing = True
        value = msgspec.json.encode(EntryCountValue(entries))
        try:
            swap = await self._kv.put_if(COUNT_KEY, value, self._revision)
        finally:
            self._is_writing = False
        if isinstance(swap, Failure):
            emit(Event.COUNT_UNWRITTEN, entries=entries, **explain(swap))


def _read(entry: KvEntry) -> int:
    """Returns the number of an entry, 0 if it is malformed."""
    found = decode_json(entry.value, EntryCountValue, Code.BAD_ENTRY, entry.key)
    if isinstance(found, Failure):
        emit(Event.ENTRY_REFUSED, key=entry.key, **explain(found))
        return 0
    return found.entries
