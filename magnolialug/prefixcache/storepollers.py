"""Runs a poller for each store that this entry indexes."""

from collections.abc import Callable, Iterator
from random import Random

from twisted.internet.interfaces import IReactorTime

from magnolialug.config.routing import CacheStore, Routing
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.policy.storeindex import StoreIndex
from magnolialug.policy.storemap import StoreMap, StoreTraits
from magnolialug.prefixcache.storepoller import StorePoller
from magnolialug.supervisedtask import SupervisedTask

__all__ = ["StorePollers"]


class StorePollers:
    """The configured stores, with a polling task for each indexed one.

    Attributes:
      pollers: of all configured stores.
      tasks: the polling tasks, by store.

    Args:
      stores: receives the stores of each configuration.
      newest_version: returns the newest known version of a model.
      is_owner: returns whether this entry owns a store.
    """

    def __init__(
        self,
        stores: StoreMap,
        calls: CacheCalls,
        clock: IReactorTime,
        random: Random,
        newest_version: Callable[[str], int],
        is_owner: Callable[[ServiceName], bool],
    ):
        self.pollers: dict[ServiceName, StorePoller] = {}
        self._stores = stores
        self._calls = calls
        self._clock = clock
        self._random = random
        self._newest_version = newest_version
        self._is_owner = is_owner
        self.tasks: dict[ServiceName, SupervisedTask] = {}

    def index(self, name: ServiceName) -> StoreIndex | None:
        """Returns a store's index for an entry that queries it."""
        poller = self.pollers.get(name)
        if poller is None:
            return None
        poller.record_query()
        return poller.index

    def indexed(self) -> Iterator[tuple[ServiceName, StorePoller]]:
        """Yields the stores that this entry indexes."""
        for name, poller in self.pollers.items():
            if poller.indexed:
                yield name, poller

    def configure(self, routing: Routing) -> None:
        """Replaces the stores with those of a configuration."""
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
        for removed in set(self.pollers) - set(stores):
            self._drop(removed)
        for name, store in stores.items():
            poller = self.pollers.get(name)
            if poller is not None and poller.address != store.address:
                self._drop(name)
            if name not in self.pollers:
                self.pollers[name] = self._new_poller(name, store)

    def tick(self, now: float) -> None:
        """Starts and stops polling as this entry's indexed stores change."""
        for name, poller in self.pollers.items():
            if not poller.indexed:
                self._stop_polling(name)
            elif name not in self.tasks:
                task = SupervisedTask(f"store {name}", poller.run, self._clock)
                self.tasks[name] = task
                task.start()
            poller.index.tick(now)

    def stop(self) -> None:
        """Stops all polling."""
        for name in list(self.pollers):
            self._drop(name)

    def _new_poller(self, name: ServiceName, store: CacheStore) -> StorePoller:
        return StorePoller(
            name,
            store.address,
            StoreIndex(store.zone, store.capacity_tokens),
            self._calls,
            self._clock,
            self._random,
            self._newest_version,
            lambda: self._is_owner(name),
        )

    def _stop_polling(self, name: ServiceName) -> None:
        task = self.tasks.pop(name, None)
        if task is not None:
            task.stop()

    def _drop(self, name: ServiceName) -> None:
        self._stop_polling(name)
        del self.pollers[name]


def _traits(store: CacheStore, token_bytes: int) -> StoreTraits:
    bytes_per_s = store.link_mbps * 1e6 / 8
    return StoreTraits(
        address=f"{store.address[0]}:{store.address[1]}",
        zone=store.zone,
        capacity=store.capacity_tokens,
        per_token_s=token_bytes / bytes_per_s if bytes_per_s else 0.0,
        latency_s=store.first_s,
    )
