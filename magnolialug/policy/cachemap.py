"""Which cache parts lie whole in which store."""

import enum
from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from magnolialug.ids import ServiceName, ZoneId
from magnolialug.policy.prompt import Part

__all__ = ["CacheMap", "Miss", "PartKey", "PartPlan", "StoreBook"]

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
# Space kept free, since several entries reserve without knowing of each
# other, and a save that finds no room is lost.
_FILL_SHARE = 0.94
_HASH_BYTES = 6
# Transfers between zones take twice as long.
_OTHER_ZONE = 2.0

PartKey = tuple[str, str]


class Miss(enum.Enum):
    """Why a part is not read from a store.

    UNHEARD: a store holds it, whose last word is too old.
    SAVING: this entry has asked for it to be saved, which is not done yet.
    REPLACED: it is of weights that are being replaced, and was not whole.
    NO_ROOM: no store has it, and none has room.
    CLOSED: no store has it, and none may be written to just now.
    NEW: no store is known to have it; it is saved now.
    """

    UNHEARD = "unheard"
    SAVING = "saving"
    REPLACED = "replaced"
    NO_ROOM = "no room"
    CLOSED = "closed"
    NEW = "new"


class PartPlan(msgspec.Struct, frozen=True):
    """What to do with one part of a prompt.

    Attributes:
      fetch: the store that holds it, None if none does.
      save: the store that is to keep it, None for none.
      miss: why it is not fetched, None if it is.
    """

    fetch: ServiceName | None = None
    save: ServiceName | None = None
    miss: Miss | None = None


class StoreBook(msgspec.Struct):
    """What is believed of one store.

    Attributes:
      capacity: tokens that it can hold.
      epoch: names one start of the store, with `born_ms`; 0 before it was
        heard.
      born_ms: when it was started, by its own clock; 0 if it does not say.
      heard_at: when its last poll was sent that it answered.
      writable_from: nothing is saved before then.
      clock_s: its clock minus ours, in seconds.
      token_s: time to move one token inside a zone.
    """

    zone: ZoneId
    capacity: int
    token_s: float
    first_s: float
    epoch: int = 0
    heard_at: float = float("-inf")
    writable_from: float = 0.0
    clock_s: float | None = None
    used: int = 0
    born_ms: int = 0
    parts: dict[PartKey, int] = msgspec.field(default_factory=dict)

    def trusted(self, now: float) -> bool:
        """Whether its word still counts."""
        heard = self.epoch > 0 and self.clock_s is not None
        return heard and now - self.heard_at < TRUST_S

    def writable(self, now: float) -> bool:
        """Whether parts may be saved there."""
        return self.trusted(now) and now >= self.writable_from

    def fetch_s(self, tokens: int, zone: ZoneId) -> float:
        """Returns how long it takes to bring tokens to an engine."""
        slower = 1.0 if zone == self.zone else _OTHER_ZONE
        return self.first_s + slower * tokens * self.token_s

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
        self.used = 0
        self.writable_from = now + _QUARANTINE_S

    def lived(self) -> None:
        """Learns that a store held something when it was first heard.

        Nobody writes to a store sooner than a quarantine after its restart,
        so one that holds anything has been up for longer than that.
        """
        self.writable_from = 0.0

    def added(self, key: PartKey, tokens: int) -> None:
        """Takes the word that a part is whole."""
        self.used += tokens - self.parts.get(key, 0)
        self.parts[key] = tokens

    def removed(self, key: PartKey) -> None:
        """Takes the word that a part is gone."""
        self.used -= self.parts.pop(key, 0)

    def has_room(self, tokens: int) -> bool:
        """Whether a part of that size is likely to find room."""
        return self.used + tokens <= self.capacity * _FILL_SHARE


class _Saving(msgspec.Struct):
    store: ServiceName
    tokens: int
    until: float


class CacheMap:
    """Beliefs about all stores, and the saves that this entry has asked for."""

    def __init__(self) -> None:
        self.books: dict[ServiceName, StoreBook] = {}
        self._saving: dict[PartKey, _Saving] = {}

    def plan(
        self,
        salt: str,
        parts: Iterable[Part],
        now: float,
        may_save: bool,
    ) -> list[PartPlan]:
        """Returns what to do with each of a prompt's shared parts."""
        plans = []
        for part in parts:
            key = (salt, part.name)
            holder = self.holder(key, now)
            if holder is not None:
                plans.append(PartPlan(fetch=holder))
            elif any(key in book.parts for book in self.books.values()):
                plans.append(PartPlan(miss=Miss.UNHEARD))
            elif self._is_saving(key, now):
                plans.append(PartPlan(miss=Miss.SAVING))
            elif not may_save:
                plans.append(PartPlan(miss=Miss.REPLACED))
            else:
                plans.append(self._save(key, part, now))
        return plans

    def _save(self, key: PartKey, part: Part, now: float) -> PartPlan:
        target = self._target(key, part, now)
        if target is not None:
            return PartPlan(save=target, miss=Miss.NEW)
        writable = any(book.writable(now) for book in self.books.values())
        return PartPlan(miss=Miss.NO_ROOM if writable else Miss.CLOSED)

    def holder(self, key: PartKey, now: float) -> ServiceName | None:
        """Returns the store to read a part from, the quickest if several."""
        best = None
        for name, book in self.books.items():
            if key not in book.parts or not book.trusted(now):
                continue
            if best is None or book.token_s < self.books[best].token_s:
                best = name
        return best

    def saving(
        self,
        salt: str,
        parts: Iterable[Part],
        plans: list[PartPlan],
        now: float,
    ) -> None:
        """Counts the saves that an attempt asks for."""
        for part, plan in zip(parts, plans, strict=True):
            if plan.save is None:
                continue
            self._saving[(salt, part.name)] = _Saving(
                plan.save, part.tokens, now + _SAVE_S
            )

    def unsaved(self, salt: str, parts: Iterable[Part]) -> None:
        """Learns that an attempt did not run, so nothing is being saved."""
        for part in parts:
            self._saving.pop((salt, part.name), None)

    def heard(self, key: PartKey) -> None:
        """Learns that a part has been saved."""
        self._saving.pop(key, None)

    def tick(self, now: float) -> None:
        """Forgets saves that were never reported."""
        over = [key for key, row in self._saving.items() if row.until <= now]
        for key in over:
            del self._saving[key]

    def _is_saving(self, key: PartKey, now: float) -> bool:
        row = self._saving.get(key)
        return row is not None and row.until > now

    def _target(
        self, key: PartKey, part: Part, now: float
    ) -> ServiceName | None:
        """Returns the store for a part, the same at all entries.

        Larger stores get more parts: the draw of each is raised to the power
        of one over its capacity, as in weighted rendezvous hashing.
        """
        reserved = self._reserved()

        def fits(name: ServiceName, book: StoreBook) -> bool:
            tokens = part.tokens + reserved.get(name, 0)
            return book.writable(now) and book.has_room(tokens)

        names = [name for name, book in self.books.items() if fits(name, book)]
        return max(
            names,
            key=lambda name: (
                _draw(key, name) ** (1 / self.books[name].capacity)
            ),
            default=None,
        )

    def _reserved(self) -> dict[ServiceName, int]:
        reserved: dict[ServiceName, int] = {}
        for row in self._saving.values():
            reserved[row.store] = reserved.get(row.store, 0) + row.tokens
        return reserved


def _draw(key: PartKey, store: ServiceName) -> float:
    data = f"{key[0]}\0{key[1]}\0{store}".encode()
    digest = blake2b(data, digest_size=_HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 1) / (256**_HASH_BYTES + 1)
