"""Registers this entry in the key-value service and follows the others."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Annotated

import msgspec
from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.entry.entrycount import EntryCount
from magnolialug.events import Event, emit, explain
from magnolialug.jsoninput import Name, decode_json
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.registrations import SHARE_GRACE_S, Registrations
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.supervisedtask import SupervisedTask
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["ENTRIES_PREFIX", "EntryMembership", "EntryRegistration"]

ENTRIES_PREFIX = "magnolialug/entries/"
# The registration of a dead entry is removed after this time.
_LEASE_TTL_S = 15.0
_RENEWAL_INTERVAL_S = 3.0
# After an outage each entry renews at a random time within this span, so that
# the calls of all entries do not arrive at the same moment.
_RENEWAL_SPREAD_S = 0.5
_RETRY_S = 0.3
_RETRY_LIMIT_S = 2.0
# More cores than any machine has.
_MAX_CORES = 4096


class EntryRegistration(msgspec.Struct, frozen=True):
    """An entry's registration.

    Attributes:
      cores: processors of the entry; an entry with more of them owns more
        tasks.
    """

    host: Name
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    zone: Name
    cores: Annotated[float, msgspec.Meta(gt=0, le=_MAX_CORES)] = 1.0


class EntryMembership(WatchSubscriber):
    """Registers this entry under a lease and tracks the other entries.

    Attributes:
      task: registers this entry.

    Args:
      vm: the name of this machine.
      count: the number of entries that was last stored.
      on_change: called when the set of entries has changed. Receives the
        entries that own tasks, with the cores of each, the entries known to
        share limits, and the number among which limits are divided.
    """

    def __init__(
        self,
        kv: Kv,
        vm: str,
        row: EntryRegistration,
        clock: IReactorTime,
        random: Random,
        count: EntryCount,
        on_change: Callable[[dict[Address, float], set[Address], int], None],
    ):
        self._kv = kv
        self._key = ENTRIES_PREFIX + vm
        self._row = row
        self._clock = clock
        self._random = random
        self._count = count
        self._on_change = on_change
        self._registrations: Registrations[EntryRegistration] = Registrations()
        self._last_reported: (
            tuple[dict[Address, float], set[Address], int] | None
        ) = None
        self._stored_until: float | None = None
        self.task = SupervisedTask("registration", self._run, clock)
        self._pause: IDelayedCall | None = None
        self._lease = 0
        self._has_changes = False
        self._recount_at = float("inf")

    def start(self) -> None:
        """Starts to register this entry."""
        self.task.start()

    async def stop(self) -> None:
        """Removes this entry's registration."""
        self.task.stop()
        lease, self._lease = self._lease, 0
        if lease:
            await self._kv.revoke(lease)

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Replaces all registrations by those in the service."""
        rows = {
            entry.key: row
            for entry in entries
            if (row := self._read(entry)) is not None
        }
        now = self._clock.seconds()
        if self._stored_until is None:
            # All registrations may have expired before the start, so the stored
            # number counts for as long as a missing registration does.
            self._stored_until = now + SHARE_GRACE_S
        self._registrations.replace(rows, now)
        self._report_members()

    def changed(self, entry: KvEntry) -> None:
        """Applies one written or removed registration."""
        self._has_changes = True
        row = self._read(entry) if entry.value is not None else None
        if row is not None:
            self._registrations.put(entry.key, row)
        elif entry.value is None:
            self._registrations.remove(entry.key, self._clock.seconds())

    def settled(self) -> None:
        """Reports the entries after a batch of changes."""
        if self._has_changes:
            self._report_members()

    def back(self, away_s: float) -> None:
        """Renews this entry's registration, which may have expired."""
        pause = self._pause
        if pause is not None and pause.active():
            latest_s = pause.getTime() - self._clock.seconds()
            soon_s = self._random.uniform(0.0, _RENEWAL_SPREAD_S)
            pause.reset(max(0.0, min(latest_s, soon_s)))

    def tick(self) -> None:
        """Drops entries whose registrations have been missing for long."""
        if self._clock.seconds() >= self._recount_at:
            self._report_members()
        if self._last_reported is not None:
            members, _, count = self._last_reported
            self._count.update(count, self._is_first_of(members))

    def _report_members(self) -> None:
        """Calls on_change if the entries differ from those last reported."""
        self._has_changes = False
        now = self._clock.seconds()
        self._registrations.expire(now)
        self._recount_at = self._registrations.next_change_at(now)
        members = self._with_own(self._registrations.members(now))
        sharing = set(self._with_own(self._registrations.sharing(now)))
        count = len(sharing)
        if self._stored_until is not None and now < self._stored_until:
            count = max(count, self._count.stored)
            self._recount_at = min(self._recount_at, self._stored_until)
        if (members, sharing, count) == self._last_reported:
            return
        self._last_reported = (members, sharing, count)
        emit(
            Event.ENTRIES_COUNTED,
            sharing=count,
            owners=len(members),
            missing=self._registrations.missing,
            stored=self._count.stored,
        )
        self._on_change(members, sharing, count)

    def _is_first_of(self, members: dict[Address, float]) -> bool:
        """Whether this entry writes the number of entries for all."""
        return (self._row.host, self._row.port) == min(members)

    def _with_own(
        self, rows: dict[str, EntryRegistration]
    ) -> dict[Address, float]:
        """Returns the cores of each entry by address, this entry included."""
        rows = {**rows, self._key: self._row}
        return {(row.host, row.port): row.cores for row in rows.values()}

    def _read(self, entry: KvEntry) -> EntryRegistration | None:
        if not entry.key.startswith(ENTRIES_PREFIX):
            return None
        found = _read_registration(entry)
        if isinstance(found, Failure):
            emit(Event.ENTRY_REFUSED, key=entry.key, **explain(found))
            return None
        return found

    async def _run(self) -> None:
        backoff = Backoff(_RETRY_S, _RETRY_LIMIT_S)
        while True:
            failure = await self._register()
            if failure is None:
                backoff = Backoff(_RETRY_S, _RETRY_LIMIT_S)
                await self._renew_lease()
            else:
                emit(Event.REGISTRATION_FAILED, **explain(failure))
                await self._wait(backoff.next(self._random))

    async def _register(self) -> Failure | None:
        lease = await self._kv.grant(_LEASE_TTL_S)
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
            return failed(Code.KV_ERROR, "another start wrote the key first")
        self._lease = lease
        return None

    async def _renew_lease(self) -> None:
        """Renews the lease until it expires."""
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
        """Waits, at most until shortly after the service answers again."""
        fut: Deferred[None] = Deferred()
        self._pause = self._clock.callLater(seconds, fut.callback, None)
        try:
            await fut
        finally:
            if self._pause.active():
                self._pause.cancel()


def _read_registration(entry: KvEntry) -> EntryRegistration | Failure:
    row = decode_json(entry.value, EntryRegistration, Code.BAD_ENTRY, entry.key)
    if isinstance(row, Failure):
        return row
    if not (isIPAddress(row.host) or isIPv6Address(row.host)):
        # A datagram to any other host raises.
        reason = "host: expected an IP address"
        return failed(Code.BAD_ENTRY, reason, entry.key, row.host)
    return row
