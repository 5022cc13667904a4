"""The requests that go to no endpoint, as they are told and as they last."""

from collections.abc import Callable, Sequence

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.bars.messages import Bar
from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId, RequestDigest
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.result import Code, Failure, failed
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["BARS_PREFIX", "BarBook", "BarValue"]

BARS_PREFIX = "magnolialug/bars/"
# A bar that could not be written is tried again after this long. All entries
# that live have been told; the write is for those that start later.
_WRITE_AGAIN_S = 1.0
# With more, the oldest are lifted. A request that no endpoint bears is rare,
# and one that still comes is barred anew after three ends.
_MOST_BARS = 1000


class BarValue(msgspec.Struct, frozen=True):
    """What the key-value service keeps of a bar, for its operators."""

    ended: tuple[EndpointId, ...]


class _Row(msgspec.Struct):
    """A bar; revision 0 while it is not known to be written."""

    ended: tuple[EndpointId, ...]
    until: float
    revision: int = 0

    @property
    def lasts(self) -> bool:
        return self.until == float("inf")


class BarBook(WatchSubscriber):
    """Keeps the bars in the key-value service, where they outlive entries.

    A bar that only lived in entries would be gone with them, and the request
    would end three endpoints more after each restart.

    Args:
      writes: tells whether this entry is the one to write a request's bar.
      on_bar: is told of each request that is newly barred or held.
    """

    def __init__(
        self,
        kv: Kv,
        clock: IReactorTime,
        writes: Callable[[RequestDigest], bool],
        on_bar: Callable[[RequestDigest], None],
    ):
        self._kv = kv
        self._clock = clock
        self._writes = writes
        self._on_bar = on_bar
        self._rows: dict[RequestDigest, _Row] = {}
        self._writing = False
        self._write_at = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def refusal(self, digest: RequestDigest) -> Failure | None:
        """Returns why a request may go to no endpoint, None if it may."""
        row = self._rows.get(digest) if self._rows else None
        if row is None or self._clock.seconds() >= row.until:
            return None
        reason = f"{len(row.ended)} endpoints ended under this request"
        return failed(Code.BARRED, reason)

    def told(self, bar: Bar) -> None:
        """Takes another entry's word."""
        now = self._clock.seconds()
        until = now + bar.for_ms / 1000 if bar.for_ms else float("inf")
        row = self._rows.get(bar.digest)
        if row is not None and row.until >= until:
            return
        self._put(bar.digest, _Row(bar.ended, until))

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Takes all bars as they are written now."""
        written = {_digest_of(entry.key) for entry in entries}
        for digest, row in list(self._rows.items()):
            if row.revision and digest not in written:
                self._lift(digest)
        for entry in entries:
            self.changed(entry)

    def changed(self, entry: KvEntry) -> None:
        """Takes one bar that was written, or removed by an operator."""
        digest = _digest_of(entry.key)
        if entry.value is None:
            self._lift(digest)
            return
        try:
            value = msgspec.json.decode(entry.value, type=BarValue)
        except msgspec.MsgspecError as exc:
            bad = failed(Code.BAD_ENTRY, str(exc), entry.key)
            emit(Event.ENTRY_REFUSED, key=entry.key, **explain(bad))
            return
        row = self._rows.get(digest)
        if row is not None and row.lasts:
            row.revision = entry.revision
            return
        self._put(digest, _Row(value.ended, float("inf"), entry.revision))

    def tick(self, now: float) -> None:
        """Forgets what was held long enough, and writes what is to last."""
        if not self._rows:
            return
        for digest, row in list(self._rows.items()):
            if now >= row.until:
                self._lift(digest)
        if not self._writing and now >= self._write_at:
            ensureDeferred(self._write())

    def _put(self, digest: RequestDigest, row: _Row) -> None:
        known = digest in self._rows
        self._rows[digest] = row
        if not known or row.lasts:
            emit(
                Event.REQUEST_BARRED,
                digest=digest,
                ended=list(row.ended),
                lasts=row.lasts,
            )
        self._on_bar(digest)

    def _lift(self, digest: RequestDigest) -> None:
        if self._rows.pop(digest, None) is not None:
            emit(Event.BAR_LIFTED, digest=digest)

    async def _write(self) -> None:
        """Writes the bars that are this entry's to write."""
        self._writing = True
        try:
            for digest, row in list(self._rows.items()):
                if row.lasts and not row.revision and self._writes(digest):
                    await self._write_one(digest, row)
        finally:
            self._writing = False
            self._write_at = self._clock.seconds() + _WRITE_AGAIN_S

    async def _write_one(self, digest: RequestDigest, row: _Row) -> None:
        value = msgspec.json.encode(BarValue(row.ended))
        swap = await self._kv.put_if(BARS_PREFIX + digest, value, 0)
        if isinstance(swap, Failure):
            emit(Event.BAR_UNWRITTEN, digest=digest, **explain(swap))
            return
        row.revision = swap.current.revision if swap.current else swap.revision
        await self._lift_oldest()

    async def _lift_oldest(self) -> None:
        written = {d: r.revision for d, r in self._rows.items() if r.revision}
        if len(written) > _MOST_BARS:
            oldest = min(written, key=written.get)
            await self._kv.delete(BARS_PREFIX + oldest)


def _digest_of(key: str) -> RequestDigest:
    return RequestDigest(key.removeprefix(BARS_PREFIX))
