"""The stores of the configuration, and a poller for each that is owned."""

from collections.abc import Callable, Iterator
from random import Random

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.config.routing import CacheStore, Routing
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.policy.storeindex import StoreIndex
from magnolialug.policy.storemap import StoreMap, StoreTraits
from magnolialug.prefixcache.storepoller import StorePoller

__all__ = ["StorePollers"]


class StorePollers:
    """One task for each store that this entry indexes.

    Args:
      stores: is told of the stores of each configuration.
      newest: returns the newest version of a model that is known of.
      owns: tells whether this entry owns a store.
    """

    def __init__(
        self,
        stores: StoreMap,
        calls: CacheCalls,
        clock: IReactorTime,
        random: Random,
        newest: Callable[[str], int],
        owns: Callable[[ServiceName], bool],
    ):
        self.polls: dict[ServiceName, StorePoller] = {}
        self._stores = stores
        self._calls = calls
        self._clock = clock
        self._random = random
        self._newest = newest
        self._owns = owns
        self._tasks: dict[ServiceName, Deferred] = {}

    def index(self, name: ServiceName) -> StoreIndex | None:
        """Returns a store's index for an entry that asks about it."""
        poll = self.polls.get(name)
        if poll is None:
            return None
        poll.asked()
        return poll.index

    def kept(self) -> Iterator[tuple[ServiceName, StorePoller]]:
        """Yields the stores that this entry indexes."""
        for name, poll in self.polls.items():
            if poll.kept:
                yield name, poll

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
        self._stores.configure(
            {
                name: _traits(store, token_bytes)
                for name, store in stores.items()
            }
        )
        for gone in set(self.polls) - set(stores):
            self._drop(gone)
        for name, store in stores.items():
            poll = self.polls.get(name)
            if poll is not None and poll.address != store.address:
                self._drop(name)
            if name not in self.polls:
                self.polls[name] = self._poll(name, store)

    def tick(self, now: float) -> None:
        """Polls the stores that this entry indexes, and no others."""
        for name, poll in self.polls.items():
            if not poll.kept:
                self._rest(name)
            elif name not in self._tasks:
                task = ensureDeferred(poll.run())
                task.addErrback(lambda reason: reason.trap(CancelledError))
                self._tasks[name] = task
            poll.index.tick(now)

    def stop(self) -> None:
        """Ends all tasks."""
        for name in list(self.polls):
            self._drop(name)

    def _poll(self, name: ServiceName, store: CacheStore) -> StorePoller:
        return StorePoller(
            name,
            store.address,
            StoreIndex(store.zone, store.capacity_tokens),
            self._calls,
            self._clock,
            self._random,
            self._newest,
            lambda: self._owns(name),
        )

    def _rest(self, name: ServiceName) -> None:
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def _drop(self, name: ServiceName) -> None:
        self._rest(name)
        del self.polls[name]


def _traits(store: CacheStore, token_bytes: int) -> StoreTraits:
    bytes_per_s = store.link_mbps * 1e6 / 8
    return StoreTraits(
        address=f"{store.address[0]}:{store.address[1]}",
        zone=store.zone,
        capacity=store.capacity_tokens,
        token_s=token_bytes / bytes_per_s if bytes_per_s else 0.0,
        first_s=store.first_s,
    )
