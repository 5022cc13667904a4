"""A key-value store in memory, with the faults that the real one shows."""

from collections import Counter
from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from magnolialug.carrier.progress import Progress
from magnolialug.platform.kv import (
    VALUE_LIMIT,
    Changes,
    KvEntry,
    Page,
    Snapshot,
    Swap,
)
from magnolialug.result import Code, Failure, failed

__all__ = ["KvFaults", "KvStore"]


class KvFaults(msgspec.Struct):
    """What is wrong with the service at the moment.

    Attributes:
      down: calls fail and have no effect.
      refusing: calls are refused and nothing is done.
      unreachable: no connection can be made.
      lose_answers: how many further writes take effect unanswered.
      lose_catch_ups: how many further calls that ask for changes, and do not
        wait for any, are never answered.
      deaf_watches: watches stay open and report nothing.
      reads_left: read calls until the ration is used up, None for no ration.
      writes_left: the same for write calls.
    """

    down: bool = False
    refusing: bool = False
    unreachable: bool = False
    lose_answers: int = 0
    lose_catch_ups: int = 0
    deaf_watches: bool = False
    reads_left: int | None = None
    writes_left: int | None = None


class _Watcher(msgspec.Struct):
    key: str
    on_change: Callable[[KvEntry], None]
    on_end: Callable[[Failure], None]


class KvStore:
    """Implements Kv; calls counts what the platform would count.

    Attributes:
      page_size: most entries of a page.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.faults = KvFaults()
        self.calls: Counter[str] = Counter()
        self.revision = 0
        self.page_size = 500
        self._rows: dict[str, KvEntry] = {}
        self._last_lease = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_of: dict[str, int] = {}
        self._watchers: list[_Watcher] = []
        self._history: list[KvEntry] = []
        self._forgotten = 0
        self._cuts = 0
        self._waiting: list[tuple[Deferred, IDelayedCall]] = []

    async def get(self, key: str) -> KvEntry | Failure | None:
        """Returns a key's entry, None if the key is absent."""
        self._expire()
        return self._refusal("read") or self._rows.get(key)

    async def scan(self, prefix: str) -> list[KvEntry] | Failure:
        """Returns the entries of all keys with a prefix."""
        self._expire()
        refusal = self._refusal("read")
        if refusal:
            return refusal
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys]

    async def snapshot(
        self, prefix: str, stale: bool = False
    ) -> Snapshot | Failure:
        """Returns the entries under a prefix."""
        rows = await self.scan(prefix)
        if isinstance(rows, Failure):
            return rows
        return Snapshot(tuple(rows), self.revision)

    async def page(
        self,
        prefix: str,
        after: str = "",
        stale: bool = False,
        progress: Progress | None = None,
        slack_s: float | None = None,
    ) -> Page | Failure:
        """Returns the entries under a prefix that follow a key."""
        rows = await self.scan(prefix)
        if isinstance(rows, Failure):
            return rows
        rows = [row for row in rows if row.key > after]
        page = tuple(rows[: self.page_size])
        return Page(page, self.revision, len(rows) > len(page))

    async def newest_revision(self) -> int | Failure:
        """Returns the newest revision."""
        self._expire()
        return self._refusal("revision") or self.revision

    async def changes(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        progress: Progress | None = None,
        slack_s: float | None = None,
    ) -> Changes | Failure:
        """Waits for changes under a prefix after a revision."""
        self._expire()
        refusal = self._refusal("watch")
        if refusal:
            return refusal
        if wait_s == 0 and self.faults.lose_catch_ups > 0:
            self.faults.lose_catch_ups -= 1
            await Deferred()
        until = self.clock.seconds() + wait_s
        while True:
            if after < self._forgotten:
                return failed(Code.KV_HISTORY_GONE, field="after", value=after)
            found = self._since(prefix, after)
            if found or self.clock.seconds() >= until:
                return Changes(found, self.revision)
            cut = self._cuts
            ends = [end for _, end in self._leases.values()]
            await self._next_change(min([until, *ends]))
            self._expire()
            if self._cuts > cut:
                return failed(Code.KV_TIMEOUT, "the service restarted")

    def forget(self) -> None:
        """Drops the history; those who ask from before it get a failure."""
        self._history.clear()
        self._forgotten = self.revision
        self._wake()

    async def put_if(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> Swap | Failure:
        """Writes a value if the key is still at a revision, 0 for absent."""
        self._expire()
        refusal = self._refusal("write")
        if refusal:
            return refusal
        if len(value) > VALUE_LIMIT:
            return failed(Code.KV_ERROR, "value over a megabyte", key)
        found = self._rows.get(key)
        if (found.revision if found else 0) != revision:
            return self._answer(Swap(False, found))
        if lease and lease not in self._leases:
            return failed(Code.KV_LEASE_GONE, field="lease", value=lease)
        return self._answer(Swap(True, None, self._write(key, value, lease)))

    async def delete(self, key: str) -> bool | Failure:
        """Removes a key."""
        refusal = self._refusal("write")
        if refusal:
            return refusal
        return self._answer(self._remove(key))

    async def grant(self, ttl_s: float) -> int | Failure:
        """Returns a new lease."""
        refusal = self._refusal("write")
        if refusal:
            return refusal
        self._last_lease += 1
        lease = self._last_lease
        self._leases[lease] = (ttl_s, self.clock.seconds() + ttl_s)
        return lease

    async def keep(self, lease: int) -> float | Failure:
        """Renews a lease; returns its time to live, 0 if it has run out."""
        self._expire()
        refusal = self._refusal("write")
        if refusal:
            return refusal
        if lease not in self._leases:
            return 0.0
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, self.clock.seconds() + ttl_s)
        return ttl_s

    async def revoke(self, lease: int) -> bool | Failure:
        """Ends a lease and removes its keys; false if it had ended."""
        refusal = self._refusal("write")
        if refusal:
            return refusal
        return self._answer(self._end_lease(lease))

    def watch(
        self,
        key: str,
        after: int,
        on_change: Callable[[KvEntry], None],
        on_end: Callable[[Failure], None],
    ) -> Callable[[], None]:
        """Reports changes after a revision until stop is called."""
        self.calls["watch"] += 1
        watcher = _Watcher(key, on_change, on_end)
        self._watchers.append(watcher)
        row = self._rows.get(key)
        if row and row.revision > after:
            self.clock.callLater(0, on_change, row)
        return lambda: (
            watcher in self._watchers and self._watchers.remove(watcher)
        )

    def lose_watches(self) -> None:
        """Never answers the watches that wait now; they stay open."""
        waiting, self._waiting = self._waiting, []
        for _, timer in waiting:
            timer.cancel()

    def end_watches(self) -> None:
        """Ends every watch, as a restart of the service does."""
        self._cuts += 1
        self._wake()
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            watcher.on_end(failed(Code.KV_ERROR, "the service restarted"))

    def _refusal(self, call: str) -> Failure | None:
        if self.faults.unreachable:
            return failed(Code.KV_UNREACHABLE)
        self.calls[call] += 1
        if self.faults.refusing or self._over_ration(call):
            return failed(Code.KV_REFUSED)
        return failed(Code.KV_TIMEOUT) if self.faults.down else None

    def _over_ration(self, call: str) -> bool:
        if call == "revision":
            return False
        faults = self.faults
        name = "writes_left" if call == "write" else "reads_left"
        left = getattr(faults, name)
        if left is None:
            return False
        setattr(faults, name, max(0, left - 1))
        return left <= 0

    def _answer(self, result):
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return failed(Code.KV_TIMEOUT, "the answer was lost")
        return result

    def _write(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        row = self._rows[key] = KvEntry(key, value, self.revision)
        self._lease_of.pop(key, None)
        if lease:
            self._lease_of[key] = lease
        self._record(row)
        for watcher in list(self._watchers):
            if watcher.key == key and not self.faults.deaf_watches:
                self.clock.callLater(0, watcher.on_change, row)
        return self.revision

    def _remove(self, key: str) -> bool:
        if self._rows.pop(key, None) is None:
            return False
        self._lease_of.pop(key, None)
        self.revision += 1
        self._record(KvEntry(key, None, self.revision))
        return True

    def _record(self, row: KvEntry) -> None:
        self._history.append(row)
        if not self.faults.deaf_watches:
            self._wake()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for fut, timer in waiting:
            if timer.active():
                timer.cancel()
            self.clock.callLater(0, fut.callback, None)

    def _since(self, prefix: str, after: int) -> tuple[KvEntry, ...]:
        if self.faults.deaf_watches:
            return ()
        return tuple(
            row
            for row in self._history
            if row.revision > after and row.key.startswith(prefix)
        )

    def _next_change(self, until: float) -> Deferred:
        fut: Deferred = Deferred()

        def over() -> None:
            self._waiting.remove((fut, timer))
            fut.callback(None)

        left = max(0.0, until - self.clock.seconds())
        timer = self.clock.callLater(left, over)
        self._waiting.append((fut, timer))
        return fut

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, n in self._lease_of.items() if n == lease]:
            self._remove(key)
        return True

    def _expire(self) -> None:
        now = self.clock.seconds()
        for lease in [n for n, (_, end) in self._leases.items() if end <= now]:
            self._end_lease(lease)
