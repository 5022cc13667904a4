"""Connects store indexes, garbage collection and queries to other entries."""

from collections.abc import Callable, Iterable
from random import Random

from twisted.internet.interfaces import IReactorTime

from magnolialug.config.routing import Routing
from magnolialug.owners.wiring import Messenger, Ownership
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.policy.oldweights import EngineWeights
from magnolialug.policy.storemap import StoreMap
from magnolialug.prefixcache.garbagecollector import GarbageCollector
from magnolialug.prefixcache.indexservice import StoreIndexService
from magnolialug.prefixcache.messages import (
    PartQuery,
    PartReply,
    SaveCancelled,
    SaveNotice,
)
from magnolialug.prefixcache.queryclient import PartQueryClient
from magnolialug.prefixcache.storepollers import StorePollers

__all__ = ["PrefixCache"]

# Entries that index a store: its owner and a backup.
_OWNERS_PER_STORE = 2


class PrefixCache:
    """Indexes some stores and queries other entries about the rest.

    Attributes:
      store_map: the stores of the current configuration.
      store_pollers: the pollers of the stores that this entry indexes.
      queries: queries the owners of stores.
      collector: frees parts of replaced weights.

    Args:
      newest_version: returns the newest known version of a model.
      engines: returns the weights of all registered engines.
    """

    def __init__(
        self,
        owners: Ownership,
        calls: CacheCalls,
        newest_version: Callable[[str], int],
        engines: Callable[[], Iterable[EngineWeights]],
        messenger: Messenger,
        clock: IReactorTime,
        random: Random,
    ):
        self.store_map = StoreMap()
        self.store_pollers = StorePollers(
            self.store_map,
            calls,
            clock,
            random,
            newest_version,
            lambda store: owners.ring.rank(store) < _OWNERS_PER_STORE,
        )
        self.queries = PartQueryClient(
            owners.ring,
            self.store_map,
            owners.pending_queries,
            messenger.send,
            clock.seconds,
        )
        self.collector = GarbageCollector(
            self.store_pollers, calls, clock.seconds, engines
        )
        service = StoreIndexService(self.store_pollers.index, clock.seconds)
        messenger.register_handler(
            PartQuery,
            lambda query, owner: messenger.send(service.reply(query), owner),
        )
        messenger.register_handler(
            SaveNotice, lambda save, _: service.save(save)
        )
        messenger.register_handler(
            SaveCancelled, lambda cancel, _: service.cancel_save(cancel)
        )
        messenger.register_handler(PartReply, owners.pending_queries.on_reply)

    def configure(self, routing: Routing) -> None:
        """Replaces the stores with those of a configuration."""
        self.store_pollers.configure(routing)

    def tick(self, now: float) -> None:
        """Updates which stores are polled, and frees unused parts."""
        self.store_pollers.tick(now)
        self.collector.tick(now)

    def stop(self) -> None:
        """Stops polling all stores."""
        self.store_pollers.stop()
