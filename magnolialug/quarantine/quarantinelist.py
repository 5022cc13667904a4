"""The list of quarantined requests, stored in the key-value service."""

from collections.abc import Callable, Collection, Iterable, Sequence

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.background import background
from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId, RequestDigest, ServiceName
from magnolialug.jsoninput import decode_json
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.partpattern import PartPattern
from magnolialug.policy.requestidentity import RequestIdentity
from magnolialug.quarantine.messages import Quarantined
from magnolialug.result import Code, Failure, failed
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = [
    "QUARANTINE_KEYS",
    "QuarantineList",
    "QuarantineValue",
    "read_quarantine",
]

# The name from an earlier release, so that entries of both releases read the
# same keys during a rolling upgrade.
QUARANTINE_KEYS = "magnolialug/bars/"
# Running entries already have the request in their lists. The write is for
# entries that start later, so it is not urgent.
_WRITE_RETRY_S = 1.0
# Above this number the oldest are released. A released request that still
# arrives is quarantined again after three crashes.
_MAX_QUARANTINED = 1000


class QuarantineValue(msgspec.Struct, frozen=True):
    """The value of a quarantined request's key."""

    ended: tuple[EndpointId, ...]
    pattern: PartPattern | None = None


class _Row(msgspec.Struct):
    """A quarantined request; revision is 0 until it is known to be written."""

    crashed_endpoints: tuple[EndpointId, ...]
    until: float
    revision: int = 0
    pattern: PartPattern | None = None

    @property
    def is_permanent(self) -> bool:
        return self.until == float("inf")


class QuarantineList(WatchSubscriber):
    """The quarantined requests, persisted in the key-value service.

    There they outlive the entries. Otherwise a poison request would crash
    further endpoints after each restart of the entries. A row stands for one
    request, or for all that match a pattern.

    Args:
      is_writer: returns whether this entry has to write a row.
      on_quarantined: receives the digest of each row that is newly quarantined.
    """

    def __init__(
        self,
        kv: Kv,
        clock: IReactorTime,
        is_writer: Callable[[RequestDigest], bool],
        on_quarantined: Callable[[RequestDigest], None],
    ):
        self._kv = kv
        self._clock = clock
        self._is_writer = is_writer
        self._on_quarantined = on_quarantined
        self._rows: dict[RequestDigest, _Row] = {}
        self._by_part: dict[tuple[ServiceName, str], set[RequestDigest]] = {}
        self._writing = False
        self._write_at = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def refusal(self, identity: RequestIdentity) -> Failure | None:
        """Returns the failure of a quarantined request, None for any other."""
        if not self._rows:
            return None
        row = self._rows.get(identity.digest)
        if row is not None and self._clock.seconds() < row.until:
            return _failure(row, "this request")
        for row in self._patterns_with(identity.service, identity.parts):
            if row.pattern.matches(identity):
                return _failure(row, "prompts with parts of this one")
        return None

    def notice(self, identity: RequestIdentity) -> Quarantined | None:
        """Returns the message about the pattern that a request matches."""
        for row in self._patterns_with(identity.service, identity.parts):
            if row.pattern.matches(identity):
                ended, pattern = row.crashed_endpoints, row.pattern
                return Quarantined(pattern.digest, ended, 0, pattern)
        return None

    def names_part(self, service: ServiceName, part: str) -> bool:
        """Whether a part of prompts belongs to a quarantined pattern."""
        return bool(self._by_part) and (service, part) in self._by_part

    def covers(self, pattern: PartPattern) -> bool:
        """Whether all requests that match a pattern are quarantined."""
        return any(
            row.pattern.team in ("", pattern.team)
            and set(row.pattern.parts) <= set(pattern.parts)
            for row in self._patterns_with(pattern.service, pattern.parts)
        )

    def add(self, notice: Quarantined) -> None:
        """Adds a request that another entry has quarantined."""
        now = self._clock.seconds()
        until = now + notice.for_ms / 1000 if notice.for_ms else float("inf")
        row = self._rows.get(notice.digest)
        if row is not None and row.until >= until:
            return
        ended, pattern = notice.crashed_endpoints, notice.pattern
        self._put(notice.digest, _Row(ended, until, 0, pattern))

    def release(self, digest: RequestDigest) -> None:
        """Removes a request or pattern, here and from the service."""
        row = self._rows.get(digest)
        self._release(digest)
        if row is not None and row.revision and self._is_writer(digest):
            background("quarantine release", self._delete(digest))

    def release_explained(self, endpoints: Collection[EndpointId]) -> None:
        """Removes temporary rows that only these crashes speak against."""
        explained = set(endpoints)
        for digest, row in list(self._rows.items()):
            is_temporary = not row.is_permanent and row.pattern is None
            if is_temporary and explained.issuperset(row.crashed_endpoints):
                self._release(digest)

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Replaces the persisted requests with those stored now."""
        written = {_digest_of(entry.key) for entry in entries}
        for digest, row in list(self._rows.items()):
            if row.revision and digest not in written:
                self._release(digest)
        for entry in entries:
            self.changed(entry)

    def changed(self, entry: KvEntry) -> None:
        """Applies a request that was written, or released by an operator."""
        digest = _digest_of(entry.key)
        if entry.value is None:
            self._release(digest)
            return
        value = read_quarantine(entry)
        if isinstance(value, Failure):
            emit(Event.ENTRY_REFUSED, key=entry.key, **explain(value))
            return
        row = self._rows.get(digest)
        if row is not None and row.is_permanent:
            row.revision = entry.revision
            return
        row = _Row(value.ended, float("inf"), entry.revision, value.pattern)
        self._put(digest, row)

    def tick(self, now: float) -> None:
        """Ends expired temporary quarantines and writes permanent ones."""
        if not self._rows:
            return
        for digest, row in list(self._rows.items()):
            if now >= row.until:
                self._release(digest)
        if not self._writing and now >= self._write_at:
            background("quarantine write", self._write())

    def _put(self, digest: RequestDigest, row: _Row) -> None:
        known = digest in self._rows
        self._rows[digest] = row
        for key in _part_keys(row):
            self._by_part.setdefault(key, set()).add(digest)
        if not known or row.is_permanent:
            emit(
                Event.REQUEST_QUARANTINED,
                digest=digest,
                ended=list(row.crashed_endpoints),
                permanent=row.is_permanent,
                **_pattern_fields(row.pattern),
            )
        if row.pattern is not None:
            self.release_explained(row.crashed_endpoints)
        self._on_quarantined(digest)

    def _release(self, digest: RequestDigest) -> None:
        row = self._rows.pop(digest, None)
        if row is None:
            return
        for key in _part_keys(row):
            self._by_part[key].discard(digest)
            if not self._by_part[key]:
                del self._by_part[key]
        emit(Event.REQUEST_RELEASED, digest=digest)

    def _patterns_with(
        self, service: ServiceName, parts: Iterable[str]
    ) -> list[_Row]:
        """Returns the rows whose patterns name at least one of some parts."""
        if not self._by_part:
            return []
        digests = {
            digest
            for part in parts
            for digest in self._by_part.get((service, part), ())
        }
        return [self._rows[digest] for digest in digests]

    async def _write(self) -> None:
        """Writes the permanent quarantines that this entry has to write."""
        self._writing = True
        try:
            for digest, row in list(self._rows.items()):
                if (
                    row.is_permanent
                    and not row.revision
                    and self._is_writer(digest)
                ):
                    await self._write_one(digest, row)
        finally:
            self._writing = False
            self._write_at = self._clock.seconds() + _WRITE_RETRY_S

    async def _write_one(self, digest: RequestDigest, row: _Row) -> None:
        value = msgspec.json.encode(
            QuarantineValue(row.crashed_endpoints, row.pattern)
        )
        swap = await self._kv.put_if(QUARANTINE_KEYS + digest, value, 0)
        if isinstance(swap, Failure):
            emit(Event.QUARANTINE_UNWRITTEN, digest=digest, **explain(swap))
            return
        row.revision = swap.current.revision if swap.current else swap.revision
        await self._release_oldest()

    async def _release_oldest(self) -> None:
        written = {d: r.revision for d, r in self._rows.items() if r.revision}
        if len(written) > _MAX_QUARANTINED:
            await self._delete(min(written, key=written.get))

    async def _delete(self, digest: RequestDigest) -> None:
        deleted = await self._kv.delete(QUARANTINE_KEYS + digest)
        if isinstance(deleted, Failure):
            emit(Event.QUARANTINE_UNWRITTEN, digest=digest, **explain(deleted))


def read_quarantine(entry: KvEntry) -> QuarantineValue | Failure:
    """Returns what a quarantined request's key holds."""
    return decode_json(entry.value, QuarantineValue, Code.BAD_ENTRY, entry.key)


def _failure(row: _Row, what: str) -> Failure:
    count = len(row.crashed_endpoints)
    return failed(Code.QUARANTINED, f"{count} endpoints crashed under {what}")


def _part_keys(row: _Row) -> list[tuple[ServiceName, str]]:
    if row.pattern is None:
        return []
    return [(row.pattern.service, part) for part in row.pattern.parts]


def _pattern_fields(pattern: PartPattern | None) -> dict[str, object]:
    """Returns the log fields of a pattern."""
    if pattern is None:
        return {}
    return {
        "service": pattern.service,
        "team": pattern.team,
        "parts": list(pattern.parts),
    }


def _digest_of(key: str) -> RequestDigest:
    return RequestDigest(key.removeprefix(QUARANTINE_KEYS))
