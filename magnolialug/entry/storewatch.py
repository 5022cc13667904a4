"""Follows what the stores of cache parts hold."""

from collections.abc import Callable
from random import Random

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.config.routing import CacheStore, Routing
from magnolialug.events import Event, emit, explain
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import CacheCalls, CacheEvents
from magnolialug.policy.cachemap import CacheMap, StoreBook
from magnolialug.policy.salt import version_of
from magnolialug.result import Failure
from magnolialug.timing import sleep

__all__ = ["StoreWatch"]

# Calls that wait less than 0.2 s are charged for. Just before an answer the
# store's last word is two waits and a pause old, which must stay well within
# the time for which it counts.
_WAIT_S = 0.5
# Events gather for this long between calls: one call brings about ten.
_PACE_S = 0.2
_AGAIN_S = 0.3


class StoreWatch:
    """One task for each store, that polls it and keeps its book.

    Args:
      newest: returns the newest version of a model that is known of.
    """

    def __init__(
        self,
        cache: CacheMap,
        calls: CacheCalls,
        clock: IReactorTime,
        random: Random,
        newest: Callable[[str], int],
    ):
        self.addresses: dict[ServiceName, str] = {}
        self._cache = cache
        self._calls = calls
        self._clock = clock
        self._random = random
        self._newest = newest
        self._tasks: dict[ServiceName, Deferred] = {}

    def configure(self, routing: Routing) -> None:
        """Takes the stores of a configuration."""
        stores = {
            name: service.store
            for name, service in routing.services.items()
            if service.store is not None
        }
        token_bytes = max(
            (
                service.engine.token_bytes
                for service in routing.services.values()
                if service.engine is not None
            ),
            default=0,
        )
        for gone in set(self._tasks) - set(stores):
            self._drop(gone)
        for name, store in stores.items():
            address = f"{store.address[0]}:{store.address[1]}"
            if self.addresses.get(name) != address:
                self._drop(name)
            if name not in self._tasks:
                self._follow(name, store, address, token_bytes)

    def stop(self) -> None:
        """Ends all tasks."""
        for name in list(self._tasks):
            self._drop(name)

    def _follow(
        self, name: ServiceName, store: CacheStore, address: str, size: int
    ) -> None:
        bytes_per_s = store.link_mbps * 1e6 / 8
        book = StoreBook(
            zone=store.zone,
            capacity=store.capacity_tokens,
            token_s=size / bytes_per_s if bytes_per_s else 0.0,
            first_s=store.first_s,
        )
        self._cache.books[name] = book
        self.addresses[name] = address
        task = ensureDeferred(self._poll(name, store, book))
        task.addErrback(lambda reason: reason.trap(CancelledError))
        self._tasks[name] = task

    def _drop(self, name: ServiceName) -> None:
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
        self._cache.books.pop(name, None)
        self.addresses.pop(name, None)

    async def _poll(
        self, name: ServiceName, store: CacheStore, book: StoreBook
    ) -> None:
        since = 0
        heard = False
        while True:
            asked = self._clock.seconds()
            found = await self._calls.events(store.address, since, _WAIT_S)
            if isinstance(found, Failure):
                if heard:
                    emit(Event.STORE_LOST, store=name, **explain(found))
                heard = False
                pause = self._random.uniform(0.5 * _AGAIN_S, 1.5 * _AGAIN_S)
                await sleep(self._clock, pause)
                continue
            if not heard:
                emit(Event.STORE_HEARD, store=name, epoch=found.epoch)
            heard = True
            if found.epoch != book.epoch:
                fresh = book.epoch == 0
                book.restarted(found.epoch, self._clock.seconds())
                since = await self._catch_up(name, store, book, found, since)
                if fresh and book.parts:
                    book.lived()
            else:
                since = self._take(book, found)
            book.heard_at = asked
            if found.clock_ms:
                book.clock_s = found.clock_ms / 1000 - self._clock.seconds()
            await sleep(self._clock, _PACE_S)

    async def _catch_up(
        self,
        name: ServiceName,
        store: CacheStore,
        book: StoreBook,
        found: CacheEvents,
        since: int,
    ) -> int:
        """Reads what a store holds that has been heard for the first time."""
        if since == 0 and not found.gap:
            return self._take(book, found)
        listed = await self._calls.list(store.address)
        if isinstance(listed, Failure) or listed.epoch != book.epoch:
            book.epoch = 0
            return 0
        for part in listed.parts:
            book.added((part.salt, part.part), part.tokens)
        emit(Event.STORE_LISTED, store=name, parts=len(listed.parts))
        return listed.next

    def _take(self, book: StoreBook, found: CacheEvents) -> int:
        for change in found.changes:
            key = (change.salt, change.part)
            if change.whole and not self._closed(change.salt):
                book.added(key, change.tokens)
                self._cache.heard(key)
            elif not change.whole:
                book.removed(key)
        return found.next

    def _closed(self, salt: str) -> bool:
        """Whether parts under a salt are not believed any more.

        An engine can take new weights while it reads a part, and saves it
        under the salt of the old ones. So of a version that is being
        replaced only those parts are believed that were whole before.
        """
        model, version = version_of(salt)
        return version < self._newest(model)
