"""The other entries, and this one's own registration among them."""

from collections.abc import Callable, Sequence
from random import Random

import msgspec
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.entry.follower import Take
from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.cachenews import keeps
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep

__all__ = ["ENTRIES_PREFIX", "EntryBook", "EntryRow"]

ENTRIES_PREFIX = "magnolialug/entries/"
# A dead entry is known to be gone this much later. Nothing depends on it but
# shares of the retry budget and of connections, which leave room.
_TTL_S = 9.0
_RENEWALS = 3


class EntryRow(msgspec.Struct, frozen=True):
    """An entry's registration."""

    host: str
    port: int
    zone: str


class EntryBook(Take):
    """Registers this entry under a lease and knows the others.

    Args:
      vm: the name of this machine.
      on_count: is told how many entries there are when that changes.
    """

    def __init__(
        self,
        kv: Kv,
        vm: str,
        row: EntryRow,
        clock: IReactorTime,
        random: Random,
        on_count: Callable[[int], None],
    ):
        self.others: tuple[Address, ...] = ()
        self._kv = kv
        self._key = ENTRIES_PREFIX + vm
        self._row = row
        self._clock = clock
        self._random = random
        self._on_count = on_count
        self._rows: dict[str, EntryRow] = {}
        self._kept: dict[str, bool] = {}
        self._task: Deferred | None = None
        self._lease = 0

    def start(self) -> None:
        """Begins to register this entry."""
        self._task = ensureDeferred(self._run())
        self._task.addErrback(lambda reason: reason.trap(CancelledError))

    def keeps(self, store: str) -> bool:
        """Whether this entry polls a store of cache parts for the others."""
        if store not in self._kept:
            me = (self._row.host, self._row.port)
            self._kept[store] = keeps(me, self.others, store)
        return self._kept[store]

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
        self.others = tuple(
            (row.host, row.port)
            for key, row in sorted(self._rows.items())
            if key != self._key
        )
        self._kept.clear()
        self._on_count(len(self.others) + 1)

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
        found = await self._kv.get(self._key)
        if isinstance(found, Failure):
            return found
        revision = found.revision if found is not None else 0
        value = msgspec.json.encode(self._row)
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
