"""Last known state of one store of cache parts."""

import enum

import msgspec

from magnolialug.ids import EndpointId, ZoneId

__all__ = ["PartKey", "PartStatus", "StoreIndex"]

# New requests use a store's last reported state for this long. Polls are
# answered within 0.5 s, so two missed polls exceed it; a dead store costs each
# request that is sent to it some hundred milliseconds.
STATUS_VALID_S = 1.6
# A fetch may end this long after the store's last reply. It begins when the
# engine admits the request; in a burst that is a few seconds after placement.
# A prompt whose fetch is not allowed any more is prefilled, which adds to the
# load of the burst.
_FETCH_VALID_S = 1.6
# A store that crashes and restarts empty can hold a partially written copy of
# a part that it held completely before. So after the first contact with a
# store, or the first one after its restart, nothing is written to it until all
# fetches that rely on its earlier state have ended.
_WRITE_DELAY_S = 2.2
# A save that the store has not reported by then is taken as lost. Prefill of a
# long prompt takes 0.2 s, and requests queue at engines for a second or two.
_SAVE_TIMEOUT_S = 4.0
# The rest of the capacity stays free: a save that finds no room is lost, and
# two entries that index the same store reserve space independently.
_MAX_FILL_SHARE = 0.94

PartKey = tuple[str, str]


class PartStatus(enum.Enum):
    """What a store's owner reports of one part.

    HELD: the store holds it completely.
    NO_CONTACT: the store held it at its last reply, which is too old.
    SAVING: an engine has been asked to save it, and has not finished.
    ROOM: it may be saved there.
    FULL: there is no room for it.
    NOT_WRITABLE: the store may not be written to at present.
    """

    HELD = "held"
    NO_CONTACT = "store unheard"
    SAVING = "saving"
    ROOM = "room"
    FULL = "no room"
    NOT_WRITABLE = "closed"


class _PendingSave(msgspec.Struct):
    tokens: int
    until: float
    reader: EndpointId


class StoreIndex(msgspec.Struct):
    """Last known contents of a store, and the saves that are pending.

    Attributes:
      capacity: tokens that it can hold.
      epoch: identifies one start of the store, with `born_ms`; 0 before the
        first contact.
      born_ms: when the store started, by its own clock; 0 if not known.
      last_contact_at: when the last poll that it answered was sent.
      writable_from: nothing is saved before then.
      clock_offset_s: its clock minus the local clock, in seconds.
      used: tokens in use.
    """

    zone: ZoneId
    capacity: int
    epoch: int = 0
    last_contact_at: float = float("-inf")
    writable_from: float = 0.0
    clock_offset_s: float | None = None
    used: int = 0
    born_ms: int = 0
    parts: dict[PartKey, int] = msgspec.field(default_factory=dict)
    pending_saves: dict[PartKey, _PendingSave] = msgspec.field(
        default_factory=dict
    )

    def is_fresh(self, now: float) -> bool:
        """Whether the last reported state is recent enough to be used."""
        has_replied = self.epoch > 0 and self.clock_offset_s is not None
        return has_replied and now - self.last_contact_at < STATUS_VALID_S

    def status(self, key: PartKey, tokens: int, now: float) -> PartStatus:
        """Returns the status of a part for a new request."""
        is_fresh = self.is_fresh(now)
        if key in self.parts:
            return PartStatus.HELD if is_fresh else PartStatus.NO_CONTACT
        if key in self.pending_saves:
            return PartStatus.SAVING
        if not is_fresh or now < self.writable_from:
            return PartStatus.NOT_WRITABLE
        return PartStatus.ROOM if self._has_room(tokens) else PartStatus.FULL

    def fetch_until_ms(self) -> int:
        """Returns the deadline of fetches in ms, on the store's clock.

        An engine fetches when it admits a request, which can be seconds after
        placement. By then the store may have crashed, restarted and been
        written to again. No entry writes to it within _WRITE_DELAY_S after
        its restart, and the restart came after its last reply. So a fetch
        that ends before then finds old parts complete or not at all.
        """
        return int(
            (self.last_contact_at + _FETCH_VALID_S + self.clock_offset_s) * 1000
        )

    def clock_ms(self, now: float) -> int:
        """Returns the time on the store's clock, 0 if not known."""
        if self.clock_offset_s is None:
            return 0
        return int((now + self.clock_offset_s) * 1000)

    def is_same_start(self, epoch: int, born_ms: int) -> bool:
        """Whether the last known state is from this start of the store."""
        if epoch != self.epoch:
            return False
        return not born_ms or not self.born_ms or born_ms == self.born_ms

    def reset(self, epoch: int, born_ms: int, now: float) -> None:
        """Drops the contents of an earlier start and delays writes."""
        self.epoch = epoch
        self.born_ms = born_ms
        self.parts.clear()
        self.pending_saves.clear()
        self.used = 0
        self.writable_from = now + _WRITE_DELAY_S

    def allow_writes(self) -> None:
        """Ends the write delay of a store that was not empty at first contact.

        No entry writes to a store within _WRITE_DELAY_S after its restart, so
        a store that holds anything has been up for longer than that.
        """
        self.writable_from = 0.0

    def add_save(
        self, key: PartKey, tokens: int, reader: EndpointId, now: float
    ) -> None:
        """Records a save that a request asks its engine for."""
        self.pending_saves[key] = _PendingSave(
            tokens, now + _SAVE_TIMEOUT_S, reader
        )

    def cancel_save(self, key: PartKey, reader: EndpointId) -> None:
        """Drops the pending save of a request that did not run.

        Otherwise, until the save times out, no other request would be asked
        to save the part, and requests with the part would prefer that engine.
        """
        saving = self.pending_saves.get(key)
        if saving is not None and saving.reader == reader:
            del self.pending_saves[key]

    def reader(self, key: PartKey) -> EndpointId:
        """Returns the engine that prefills and saves a part, "" for none.

        Until the save ends, requests with the same part are placed there and
        find it in the engine's cache.
        """
        saving = self.pending_saves.get(key)
        return saving.reader if saving else EndpointId("")

    def add_part(self, key: PartKey, tokens: int) -> None:
        """Records that the store holds a part completely."""
        self.pending_saves.pop(key, None)
        self.used += tokens - self.parts.get(key, 0)
        self.parts[key] = tokens

    def remove_part(self, key: PartKey) -> None:
        """Records that the store does not hold a part any more."""
        self.used -= self.parts.pop(key, 0)

    def tick(self, now: float) -> None:
        """Drops pending saves that have timed out."""
        expired = [
            key for key, row in self.pending_saves.items() if row.until <= now
        ]
        for key in expired:
            del self.pending_saves[key]

    def _has_room(self, tokens: int) -> bool:
        """Whether a part of that size is likely to fit."""
        reserved = sum(row.tokens for row in self.pending_saves.values())
        return self.used + reserved + tokens <= self.capacity * _MAX_FILL_SHARE
