"""Frees cached parts of weights that no engine serves any more."""

from collections.abc import Callable, Iterable, Sequence

from magnolialug.background import background
from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit, explain
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import CacheCalls, CacheChange
from magnolialug.policy.cachenamespace import model_and_version
from magnolialug.policy.oldweights import EngineWeights, OldWeights
from magnolialug.policy.storeindex import PartKey, StoreIndex
from magnolialug.prefixcache.storepollers import StorePollers
from magnolialug.result import Failure

__all__ = ["GarbageCollector"]

# A scan of the engines' weights costs some microseconds per engine.
_SCAN_INTERVAL_S = 0.5
# Time between two cleanups of a store, which repeat after a failure and for
# parts that were saved during the previous cleanup.
_CLEAN_INTERVAL_S = 3.0
# Parts per call, at some forty bytes each; a full store holds a thousand.
_BATCH_PARTS = 300
# A call that takes longer than this to arrive frees nothing.
_CALL_VALID_S = 0.6


class GarbageCollector:
    """Frees parts of replaced weights in the stores that this entry indexes.

    Two entries do so for each store. They need no lease: freeing a part twice
    has no further effect, and neither frees a part that an engine can still
    fetch.

    Args:
      stores: the stores of the configuration.
      engines: returns the weights of all registered engines.
    """

    def __init__(
        self,
        stores: StorePollers,
        calls: CacheCalls,
        clock: Callable[[], float],
        engines: Callable[[], Iterable[EngineWeights]],
    ):
        self._stores = stores
        self._calls = calls
        self._clock = clock
        self._engines = engines
        self._old_weights = OldWeights()
        self._next_scan_at = 0.0
        self._next_clean_at: dict[ServiceName, float] = {}

    def tick(self, now: float) -> None:
        """Starts the cleanup of stores that hold parts to be freed."""
        if now < self._next_scan_at:
            return
        self._next_scan_at = now + _SCAN_INTERVAL_S
        self._old_weights.update(self._engines(), now)
        for name, poller in self._stores.indexed():
            if not poller.index.is_fresh(now) or now < self._next_clean_at.get(
                name, 0.0
            ):
                continue
            if any(
                self._is_unused(cache_namespace, now)
                for cache_namespace, _ in poller.index.parts
            ):
                self._next_clean_at[name] = now + _CLEAN_INTERVAL_S
                background(
                    "store cleanup",
                    self._clean(name, poller.address, poller.index),
                )

    def _is_unused(self, cache_namespace: str, now: float) -> bool:
        model, version = model_and_version(cache_namespace)
        return 0 < version < self._old_weights.unused_below(model, now)

    async def _clean(
        self, name: ServiceName, address: Address, index: StoreIndex
    ) -> None:
        """Lists a store and frees unused parts, complete or unfinished."""
        listed = await self._calls.list(address)
        if isinstance(listed, Failure):
            emit(Event.FREE_FAILED, store=name, **explain(listed))
            return
        if not index.is_same_start(listed.epoch, listed.born_ms):
            return
        now = self._clock()
        rows = [
            row
            for row in (*listed.parts, *listed.unfinished)
            if self._is_unused(row.salt, now)
        ]
        while rows:
            batch, rows = rows[:_BATCH_PARTS], rows[_BATCH_PARTS:]
            if not await self._free(name, address, index, batch):
                return

    async def _free(
        self,
        name: ServiceName,
        address: Address,
        index: StoreIndex,
        batch: Sequence[CacheChange],
    ) -> bool:
        keys: list[PartKey] = [(row.salt, row.part) for row in batch]
        until_s = self._clock() + _CALL_VALID_S + index.clock_offset_s
        failure = await self._calls.free(
            address, index.epoch, int(until_s * 1000), keys
        )
        if failure is not None:
            emit(Event.FREE_FAILED, store=name, **explain(failure))
            return False
        for key in keys:
            index.remove_part(key)
        emit(
            Event.PARTS_FREED,
            store=name,
            parts=len(batch),
            tokens=sum(row.tokens for row in batch),
        )
        return True
