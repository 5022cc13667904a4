"""What is believed of one store of cache parts."""

import enum

import msgspec

from magnolialug.ids import EndpointId, ZoneId

__all__ = ["PartKey", "PartStatus", "StoreIndex"]

# A store's word counts for this long for new requests. Polls are answered
# within 0.5 s, so two missed ones end it; a dead store costs each request
# that is sent to it some hundred milliseconds.
TRUST_S = 1.6
# A fetch may end this long after the store's last word. It begins when its
# engine admits the request; in a burst that is a few seconds after the
# choice, and a prompt that may not be fetched then is read, which makes the
# burst worse.
_FETCH_S = 1.6
# A store that dies and comes back empty can hold a part half written that it
# held whole before. So nothing is written to a store that has been heard for
# the first time, or again, until every fetch has ended that went by its word
# from before.
_QUARANTINE_S = 2.2
# A save that has not been reported by then is taken as lost. Reading a long
# dossier takes 0.2 s, and engines queue for a second or two.
_SAVE_S = 4.0
# Space kept free, since a save that finds no room is lost, and two entries
# that both answer for a store reserve without knowing of each other.
_FILL_SHARE = 0.94

PartKey = tuple[str, str]


class PartStatus(enum.Enum):
    """What a store's owner reports of one part.

    HELD: the store has it whole.
    UNHEARD: the store had it, but has not answered for too long.
    SAVING: an engine has been asked to save it, and has not finished.
    ROOM: it may be saved there.
    FULL: there is no room for it.
    CLOSED: the store may not be written to yet.
    """

    HELD = "held"
    UNHEARD = "store unheard"
    SAVING = "saving"
    ROOM = "room"
    FULL = "no room"
    CLOSED = "closed"


class _Saving(msgspec.Struct):
    tokens: int
    until: float
    reader: EndpointId


class StoreIndex(msgspec.Struct):
    """Beliefs about a store, and the saves that have been asked for.

    Attributes:
      capacity: tokens that it can hold.
      epoch: names one start of the store, with `born_ms`; 0 before it was
        heard.
      born_ms: when it was started, by its own clock; 0 if it does not say.
      heard_at: when its last poll was sent that it answered.
      writable_from: nothing is saved before then.
      clock_s: its clock minus ours, in seconds.
    """

    zone: ZoneId
    capacity: int
    epoch: int = 0
    heard_at: float = float("-inf")
    writable_from: float = 0.0
    clock_s: float | None = None
    used: int = 0
    born_ms: int = 0
    parts: dict[PartKey, int] = msgspec.field(default_factory=dict)
    savings: dict[PartKey, _Saving] = msgspec.field(default_factory=dict)

    def trusted(self, now: float) -> bool:
        """Whether its word still counts."""
        heard = self.epoch > 0 and self.clock_s is not None
        return heard and now - self.heard_at < TRUST_S

    def status(self, key: PartKey, tokens: int, now: float) -> PartStatus:
        """Returns what is to be done with a part of a new request."""
        trusted = self.trusted(now)
        if key in self.parts:
            return PartStatus.HELD if trusted else PartStatus.UNHEARD
        if key in self.savings:
            return PartStatus.SAVING
        if not trusted or now < self.writable_from:
            return PartStatus.CLOSED
        return PartStatus.ROOM if self._has_room(tokens) else PartStatus.FULL

    def fetch_until_ms(self) -> int:
        """Returns when a fetch is to be thrown away, on the store's clock.

        An engine fetches when it admits a request, which can be seconds after
        the choice was made. By then the store may have died, come back and
        be written to again. No entry writes to it sooner than a quarantine
        after its restart, and it restarted after its last answer, so a fetch
        that ends before that finds old parts whole or nothing.
        """
        return int((self.heard_at + _FETCH_S + self.clock_s) * 1000)

    def is_start(self, epoch: int, born_ms: int) -> bool:
        """Whether what is believed was heard from that start of the store."""
        if epoch != self.epoch:
            return False
        return not born_ms or not self.born_ms or born_ms == self.born_ms

    def restarted(self, epoch: int, born_ms: int, now: float) -> None:
        """Forgets all that an earlier start held."""
        self.epoch = epoch
        self.born_ms = born_ms
        self.parts.clear()
        self.savings.clear()
        self.used = 0
        self.writable_from = now + _QUARANTINE_S

    def lived(self) -> None:
        """Learns that a store held something when it was first heard.

        Nobody writes to a store sooner than a quarantine after its restart,
        so one that holds anything has been up for longer than that.
        """
        self.writable_from = 0.0

    def saving(
        self, key: PartKey, tokens: int, reader: EndpointId, now: float
    ) -> None:
        """Counts a save that a request asks its engine for."""
        self.savings[key] = _Saving(tokens, now + _SAVE_S, reader)

    def save_cancelled(self, key: PartKey, reader: EndpointId) -> None:
        """Learns that a request that was to save a part did not run.

        Until the save is given up, nobody else would be asked for it, and
        whoever brings the part would look for it at that engine.
        """
        saving = self.savings.get(key)
        if saving is not None and saving.reader == reader:
            del self.savings[key]

    def reader(self, key: PartKey) -> EndpointId:
        """Returns the engine that reads a part and will save it, "" for none.

        Whoever brings the same part meanwhile goes there, and finds it read.
        """
        saving = self.savings.get(key)
        return saving.reader if saving else EndpointId("")

    def added(self, key: PartKey, tokens: int) -> None:
        """Takes the word that a part is whole."""
        self.savings.pop(key, None)
        self.used += tokens - self.parts.get(key, 0)
        self.parts[key] = tokens

    def removed(self, key: PartKey) -> None:
        """Takes the word that a part is gone."""
        self.used -= self.parts.pop(key, 0)

    def tick(self, now: float) -> None:
        """Forgets saves that were never reported."""
        over = [key for key, row in self.savings.items() if row.until <= now]
        for key in over:
            del self.savings[key]

    def _has_room(self, tokens: int) -> bool:
        """Whether a part of that size is likely to find room."""
        reserved = sum(row.tokens for row in self.savings.values())
        return self.used + reserved + tokens <= self.capacity * _FILL_SHARE
