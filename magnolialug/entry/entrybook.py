"""The other entries, and this one's own registration among them."""

from collections.abc import Callable, Sequence
from random import Random

import msgspec
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["ENTRIES_PREFIX", "EntryBook", "EntryRow"]

ENTRIES_PREFIX = "magnolialug/entries/"
# A dead entry is known to be gone this much later. Nothing depends on it but
# shares of the retry budget and of connections, which leave room.
_TTL_S = 9.0
_RENEWALS = 3


class EntryRow(msgspec.Struct, frozen=True):
    """An entry's registration.

    Attributes:
      cores: processors that it has; a larger one takes more for the others.
    """

    host: str
    port: int
    zone: str
    cores: float = 1.0


class EntryBook(WatchSubscriber):
    """Registers this entry under a lease and knows the others.

    Args:
      vm: the name of this machine.
      on_change: is told of all entries, with the cores of each, when there
        are others than before.
    """

    def __init__(
        self,
        kv: Kv,
        vm: str,
        row: EntryRow,
        clock: IReactorTime,
        random: Random,
        on_change: Callable[[dict[Address, float]], None],
    ):
        self._kv = kv
        self._key = ENTRIES_PREFIX + vm
        self._row = row
        self._clock = clock
        self._random = random
        self._on_change = on_change
        self._rows: dict[str, EntryRow] = {}
        self._task: Deferred | None = None
        self._lease = 0
        self._uncounted = False

    def start(self) -> None:
        """Begins to register this entry."""
        self._task = ensureDeferred(self._run())
        self._task.addErrback(lambda reason: reason.trap(CancelledError))

    async def stop(self) -> None:
        """Takes this entry out."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        lease, self._lease = self._lease, 0
        if lease:
            await self._kv.revoke(lease)

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Takes all entries as they are now."""
        self._rows.clear()
        for entry in entries:
            self._put(entry)
        self._count()

    def changed(self, entry: KvEntry) -> None:
        """Takes one change."""
        self._put(entry)
        self._uncounted = True

    def settled(self) -> None:
        """Learns that all changes that came together have been told."""
        if self._uncounted:
            self._count()

    def _put(self, entry: KvEntry) -> None:
        if not entry.key.startswith(ENTRIES_PREFIX):
            return
        if entry.value is None:
            self._rows.pop(entry.key, None)
            return
        try:
            row = msgspec.json.decode(entry.value, type=EntryRow)
        except msgspec.MsgspecError as exc:
            bad = failed(Code.BAD_ENTRY, str(exc), entry.key)
            emit(Event.ENTRY_REFUSED, key=entry.key, **explain(bad))
            return
        self._rows[entry.key] = row

    def _count(self) -> None:
        self._uncounted = False
        rows = {self._key: self._row, **self._rows}
        cores = {(row.host, row.port): row.cores for row in rows.values()}
        self._on_change(cores)

    async def _run(self) -> None:
        backoff = Backoff(base_s=0.3, limit_s=2.0)
        while True:
            failure = await self._register()
            if failure is None:
                backoff = Backoff(base_s=0.3, limit_s=2.0)
                await self._keep()
            else:
                emit(Event.REGISTRATION_FAILED, **explain(failure))
                await sleep(self._clock, backoff.next(self._random))

    async def _register(self) -> Failure | None:
        lease = await self._kv.grant(_TTL_S)
        if isinstance(lease, Failure):
            return lease
        value = msgspec.json.encode(self._row)
        swap = await self._kv.put_if(self._key, value, 0, lease)
        if not isinstance(swap, Failure) and swap.current is not None:
            revision = swap.current.revision
            swap = await self._kv.put_if(self._key, value, revision, lease)
        if isinstance(swap, Failure):
            return swap
        if not swap.won:
            return failed(Code.KV_ERROR, "an earlier start wrote at once")
        self._lease = lease
        return None

    async def _keep(self) -> None:
        while True:
            await sleep(self._clock, _TTL_S / _RENEWALS)
            left = await self._kv.keep(self._lease)
            if not isinstance(left, Failure) and left <= 0:
                return
