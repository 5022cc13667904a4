"""Wires store indexes, garbage collection and queries to other entries."""

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

# Entries that index a store: its owner and a stand-in.
_OWNERS = 2


class PrefixCache:
    """Indexes some stores, and queries other entries about the rest.

    Attributes:
      map: the stores of the configuration in force.

    Args:
      newest: returns the newest version of a model that is known of.
      engines: returns the weights of all listed engines.
    """

    def __init__(
        self,
        owners: Ownership,
        calls: CacheCalls,
        newest: Callable[[str], int],
        engines: Callable[[], Iterable[EngineWeights]],
        talk: Messenger,
        clock: IReactorTime,
        random: Random,
    ):
        self.map = StoreMap()
        self.watch = StorePollers(
            self.map,
            calls,
            clock,
            random,
            newest,
            lambda store: owners.ring.rank(store) < _OWNERS,
        )
        self.queries = PartQueryClient(
            owners.ring, self.map, owners.pending_queries, talk.send
        )
        self.collector = GarbageCollector(
            self.watch, calls, clock.seconds, engines
        )
        service = StoreIndexService(self.watch.index, clock.seconds)
        talk.register_handler(
            PartQuery, lambda ask, owner: talk.send(service.ask(ask), owner)
        )
        talk.register_handler(SaveNotice, lambda save, _: service.save(save))
        talk.register_handler(
            SaveCancelled, lambda cancel, _: service.cancel_save(cancel)
        )
        talk.register_handler(PartReply, owners.pending_queries.on_reply)

    def configure(self, routing: Routing) -> None:
        """Takes the stores of a configuration."""
        self.watch.configure(routing)

    def tick(self, now: float) -> None:
        """Follows the stores that are this entry's, and frees old parts."""
        self.watch.tick(now)
        self.collector.tick(now)

    def stop(self) -> None:
        """Follows no store any more."""
        self.watch.stop()
