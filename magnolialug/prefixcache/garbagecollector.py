"""Frees parts of weights that no engine has any more."""

from collections.abc import Callable, Iterable, Sequence

from twisted.internet.defer import ensureDeferred

from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit, explain
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import CacheCalls, CacheChange
from magnolialug.policy.oldweights import EngineWeights, OldWeights
from magnolialug.policy.salt import version_of
from magnolialug.policy.storeindex import PartKey, StoreIndex
from magnolialug.prefixcache.storepollers import StorePollers
from magnolialug.result import Failure

__all__ = ["GarbageCollector"]

# A look at what the engines have costs some microseconds for each.
_LOOK_S = 0.5
# A store is asked again this much later, after a failure and for what was
# saved while it was asked before.
_AGAIN_S = 3.0
# Some forty bytes each; a store that has been filled holds a thousand.
_AT_ONCE = 300
# A call that takes longer to arrive frees nothing.
_VALID_S = 0.6


class GarbageCollector:
    """Keeps the stores that this entry indexes free of replaced parts.

    Two entries do so for each store. That needs no lease: a part that is
    freed twice is freed once, and neither frees what any engine can fetch.

    Args:
      stores: the stores of the configuration.
      engines: returns the weights of all listed engines.
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
        self._old = OldWeights()
        self._look_at = 0.0
        self._ask_at: dict[ServiceName, float] = {}

    def tick(self, now: float) -> None:
        """Looks whether some store holds what can be freed."""
        if now < self._look_at:
            return
        self._look_at = now + _LOOK_S
        self._old.update(self._engines(), now)
        for name, poll in self._stores.kept():
            if not poll.index.trusted(now) or now < self._ask_at.get(name, 0.0):
                continue
            if any(self._is_old(salt, now) for salt, _ in poll.index.parts):
                self._ask_at[name] = now + _AGAIN_S
                ensureDeferred(self._clean(name, poll.address, poll.index))

    def _is_old(self, salt: str, now: float) -> bool:
        model, version = version_of(salt)
        return 0 < version < self._old.unused_below(model, now)

    async def _clean(
        self, name: ServiceName, address: Address, index: StoreIndex
    ) -> None:
        """Lists a store and frees what is old, finished or not."""
        listed = await self._calls.list(address)
        if isinstance(listed, Failure):
            emit(Event.FREE_FAILED, store=name, **explain(listed))
            return
        if not index.is_start(listed.epoch, listed.born_ms):
            return
        now = self._clock()
        rows = [
            row
            for row in (*listed.parts, *listed.unfinished)
            if self._is_old(row.salt, now)
        ]
        while rows:
            batch, rows = rows[:_AT_ONCE], rows[_AT_ONCE:]
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
        until_s = self._clock() + _VALID_S + index.clock_s
        failure = await self._calls.free(
            address, index.epoch, int(until_s * 1000), keys
        )
        if failure is not None:
            emit(Event.FREE_FAILED, store=name, **explain(failure))
            return False
        for key in keys:
            index.removed(key)
        emit(
            Event.PARTS_FREED,
            store=name,
            parts=len(batch),
            tokens=sum(row.tokens for row in batch),
        )
        return True
