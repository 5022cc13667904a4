"""The other entries, and this one's own registration among them."""

from collections.abc import Callable, Sequence
from random import Random

import msgspec
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.registrations import Registrations
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["ENTRIES_PREFIX", "EntryBook", "EntryRow"]

ENTRIES_PREFIX = "magnolialug/entries/"
# A dead entry is known to be gone this much later.
_TTL_S = 15.0
_RENEWAL_INTERVAL_S = 3.0
# After an outage all entries renew within this time, so that their calls do
# not come at the same moment.
_RENEWAL_SPREAD_S = 0.5
_RETRY_S = 0.3
_RETRY_LIMIT_S = 2.0


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
      on_change: is told of the entries that own tasks, with the cores of
        each, and of those that shares are divided by, when there are others
        than before.
    """

    def __init__(
        self,
        kv: Kv,
        vm: str,
        row: EntryRow,
        clock: IReactorTime,
        random: Random,
        on_change: Callable[[dict[Address, float], set[Address]], None],
    ):
        self._kv = kv
        self._key = ENTRIES_PREFIX + vm
        self._row = row
        self._clock = clock
        self._random = random
        self._on_change = on_change
        self._registrations: Registrations[EntryRow] = Registrations()
        self._told: tuple[dict[Address, float], set[Address]] | None = None
        self._task: Deferred | None = None
        self._pause: IDelayedCall | None = None
        self._lease = 0
        self._uncounted = False
        self._recount_at = float("inf")

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
        rows = {
            entry.key: row
            for entry in entries
            if (row := self._read(entry)) is not None
        }
        self._registrations.replace(rows, self._clock.seconds())
        self._count()

    def changed(self, entry: KvEntry) -> None:
        """Takes one change."""
        self._uncounted = True
        row = self._read(entry) if entry.value is not None else None
        if row is not None:
            self._registrations.put(entry.key, row)
        elif entry.value is None:
            self._registrations.remove(entry.key, self._clock.seconds())

    def settled(self) -> None:
        """Learns that all changes that came together have been told."""
        if self._uncounted:
            self._count()

    def back(self, away_s: float) -> None:
        """Renews this entry's registration, which may have lapsed."""
        pause = self._pause
        if pause is not None and pause.active():
            latest_s = pause.getTime() - self._clock.seconds()
            soon_s = self._random.uniform(0.0, _RENEWAL_SPREAD_S)
            pause.reset(max(0.0, min(latest_s, soon_s)))

    def tick(self) -> None:
        """Stops counting entries that have been missing for long."""
        if self._clock.seconds() >= self._recount_at:
            self._count()

    def _count(self) -> None:
        """Tells of the entries if there are others than before."""
        self._uncounted = False
        now = self._clock.seconds()
        self._registrations.expire(now)
        self._recount_at = self._registrations.next_change_at(now)
        members = self._with_own(self._registrations.members(now))
        sharing = set(self._with_own(self._registrations.sharing(now)))
        if (members, sharing) == self._told:
            return
        self._told = (members, sharing)
        emit(
            Event.ENTRIES_COUNTED,
            sharing=len(sharing),
            owners=len(members),
            missing=self._registrations.missing,
        )
        self._on_change(members, sharing)

    def _with_own(self, rows: dict[str, EntryRow]) -> dict[Address, float]:
        """Returns the cores of entries by their addresses, with this one's."""
        rows = {**rows, self._key: self._row}
        return {(row.host, row.port): row.cores for row in rows.values()}

    def _read(self, entry: KvEntry) -> EntryRow | None:
        if not entry.key.startswith(ENTRIES_PREFIX):
            return None
        try:
            return msgspec.json.decode(entry.value, type=EntryRow)
        except msgspec.MsgspecError as exc:
            bad = failed(Code.BAD_ENTRY, str(exc), entry.key)
            emit(Event.ENTRY_REFUSED, key=entry.key, **explain(bad))
            return None

    async def _run(self) -> None:
        backoff = Backoff(_RETRY_S, _RETRY_LIMIT_S)
        while True:
            failure = await self._register()
            if failure is None:
                backoff = Backoff(_RETRY_S, _RETRY_LIMIT_S)
                await self._keep()
            else:
                emit(Event.REGISTRATION_FAILED, **explain(failure))
                await self._wait(backoff.next(self._random))

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
        """Renews the lease until it has run out."""
        backoff = Backoff(_RETRY_S, _RETRY_LIMIT_S)
        pause_s = _RENEWAL_INTERVAL_S
        while True:
            await self._wait(pause_s)
            left = await self._kv.keep(self._lease)
            if isinstance(left, Failure):
                pause_s = backoff.next(self._random)
                continue
            if left <= 0:
                return
            backoff = Backoff(_RETRY_S, _RETRY_LIMIT_S)
            pause_s = _RENEWAL_INTERVAL_S

    async def _wait(self, seconds: float) -> None:
        """Waits, but not beyond the return of the service."""
        fut: Deferred[None] = Deferred()
        self._pause = self._clock.callLater(seconds, fut.callback, None)
        try:
            await fut
        finally:
            if self._pause.active():
                self._pause.cancel()
