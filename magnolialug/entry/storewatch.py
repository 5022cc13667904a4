"""Follows what the stores of cache parts hold."""

from collections.abc import Callable
from random import Random

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.config.routing import CacheStore, Routing
from magnolialug.entry.peertalk import PeerTalk
from magnolialug.entry.storepoll import StorePoll
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.policy.cachemap import CacheMap, StoreBook
from magnolialug.policy.cachenews import CacheNews

__all__ = ["StoreWatch"]


class StoreWatch:
    """One task for each store, that keeps its book.

    Args:
      newest: returns the newest version of a model that is known of.
      keeps: tells whether this entry polls a store for the others.
      talk: brings and takes what entries were answered.
    """

    def __init__(
        self,
        cache: CacheMap,
        calls: CacheCalls,
        clock: IReactorTime,
        random: Random,
        newest: Callable[[str], int],
        keeps: Callable[[ServiceName], bool],
        talk: PeerTalk,
    ):
        self.addresses: dict[ServiceName, str] = {}
        self._cache = cache
        self._calls = calls
        self._clock = clock
        self._random = random
        self._newest = newest
        self._keeps = keeps
        self._talk = talk
        self._polls: dict[ServiceName, StorePoll] = {}
        self._tasks: dict[ServiceName, Deferred] = {}
        talk.takes(CacheNews, self._told)

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

    def address(self, name: ServiceName) -> Address | None:
        """Returns where a store is, None if it is not configured."""
        poll = self._polls.get(name)
        return poll.address if poll else None

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
        poll = StorePoll(
            name,
            store,
            book,
            self._cache,
            self._calls,
            self._clock,
            self._random,
            self._newest,
            lambda: self._keeps(name),
            self._talk.tell,
        )
        self._polls[name] = poll
        task = ensureDeferred(poll.run())
        task.addErrback(lambda reason: reason.trap(CancelledError))
        self._tasks[name] = task

    def _told(self, news: CacheNews) -> None:
        poll = self._polls.get(ServiceName(news.store))
        if poll is not None:
            poll.told(news)

    def _drop(self, name: ServiceName) -> None:
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
        self._polls.pop(name, None)
        self._cache.books.pop(name, None)
        self.addresses.pop(name, None)
