"""Moves cache blocks between an engine and the stores."""

import itertools
from collections.abc import Callable, Mapping

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.events import Event, emit
from magnolialug.ids import BlockId, EndpointId, StoreId
from magnolialug.policy.blocks import BLOCK_TOKENS, block_digest
from magnolialug.policy.eviction import (
    ReturnChance,
    SpaceRequest,
    choose_victims,
)
from magnolialug.policy.linkestimator import LinkEstimator
from magnolialug.policy.ring import Ring
from magnolialug.policy.storedblock import BlockMeta, StoredBlock, Tier
from magnolialug.result import Code, Failure
from magnolialug.sidecar.engine import Engine
from magnolialug.sidecar.store import Store

__all__ = ["Mover", "Moved"]

_SAMPLE = 32

Pays = Callable[[int, int, float], bool]


class Moved(msgspec.Struct):
    """How many blocks a step moved, and over which bytes."""

    blocks: int = 0
    size: int = 0
    tier: Tier | None = None


class Mover:
    """Imports what a store holds and exports what is worth keeping.

    Args:
      stores: every store by id; a prompt's root decides which one is used,
        so all sidecars look in the same place without talking.
      rates: the links' configured rates, bytes a second.
      wall: wall-clock seconds, since blocks outlive processes.

    Attributes:
      chance_of: the chance that a block's prompt returns in time.
    """

    def __init__(
        self,
        engine: Engine,
        stores: Mapping[StoreId, Store],
        rates: dict[Tier, float],
        clock: IReactorTime,
        wall: Callable[[], float],
    ):
        self.chance_of: ReturnChance = lambda meta, idle_s: meta.chance
        self._engine = engine
        self._stores = stores
        self._clock = clock
        self._wall = wall
        self._links = LinkEstimator(rates)
        self._ring = Ring(EndpointId(name) for name in stores)

    def _store_of(self, root: str) -> Store | None:
        names = self._ring.candidates(root, 1)
        return self._stores[StoreId(names[0])] if names else None

    async def bring(
        self, root: str, chain: list[BlockId], held: int, pays: Pays
    ) -> Moved:
        """Imports the blocks that follow those held, if that pays."""
        moved = Moved()
        store = self._store_of(root)
        if store is None or held >= len(chain):
            return moved
        found = await store.lookup(chain[held:])
        if isinstance(found, Failure):
            return moved
        wanted = (found.get(block) for block in chain[held:])
        rows = list(itertools.takewhile(lambda row: row is not None, wanted))
        if not rows or not self._worth_reading(root, rows, pays):
            return moved
        for stored in rows:
            if not await self._import(store, stored):
                break
            moved.blocks += 1
            moved.size += stored.length
            moved.tier = stored.tier
        emit(
            Event.BLOCKS_IMPORTED,
            root=root,
            blocks=moved.blocks,
            size=moved.size,
        )
        return moved

    def _worth_reading(
        self, root: str, rows: list[StoredBlock], pays: Pays
    ) -> bool:
        now = self._clock.seconds()
        size = sum(row.length for row in rows)
        read_s = self._links.expected_read_s(rows[-1].tier, size, now)
        if pays(len(rows) * BLOCK_TOKENS, size, read_s):
            return True
        emit(Event.IMPORT_DECLINED, root=root, size=size, read_s=read_s)
        return False

    async def _import(self, store: Store, stored: StoredBlock) -> bool:
        """Reads, verifies and imports one block.

        A block can be evicted or written anew between lookup and read, and a
        read can be cut short. One would notice an engine that answers from
        cache it was never given. The read names the generation, and length
        and digest are checked before the engine sees a byte.
        """
        started = self._clock.seconds()
        data = await store.read(stored)
        now = self._clock.seconds()
        self._links.observe(stored.tier, stored.length, now - started, now)
        if isinstance(data, Failure):
            emit(Event.BLOCK_REJECTED, block=stored.block, why=data.reason)
            return False
        whole = len(data) == stored.length
        if not whole or block_digest(data) != stored.digest:
            emit(Event.BLOCK_REJECTED, block=stored.block, why="digest")
            return False
        result = await self._engine.import_block(stored.block, data)
        return not isinstance(result, Failure)

    async def keep(
        self, root: str, chain: list[BlockId], meta: BlockMeta
    ) -> Moved:
        """Exports the blocks that the store lacks; stored tells how far."""
        moved = Moved()
        store = self._store_of(root)
        if store is None or not chain:
            return moved
        found = await store.lookup(chain)
        if isinstance(found, Failure):
            return moved
        for block in chain:
            if block not in found:
                size = await self._export(store, block, meta)
                if size is None:
                    break
                moved.size += size
            moved.blocks += 1
        if moved.size:
            emit(
                Event.BLOCKS_EXPORTED,
                root=root,
                blocks=moved.blocks,
                size=moved.size,
            )
        return moved

    async def _export(
        self, store: Store, block: BlockId, meta: BlockMeta
    ) -> int | None:
        data = await self._engine.export_block(block)
        if isinstance(data, Failure):
            return None
        for tier in (Tier.MEMORY, Tier.DISK):
            generation = await store.stage(block, data, tier)
            if isinstance(generation, Failure):
                if generation.code is not Code.STORE_FULL:
                    return None
                if not await self._make_room(store, tier, len(data), meta):
                    continue
                generation = await store.stage(block, data, tier)
            if isinstance(generation, Failure):
                continue
            sealed = await store.seal(
                block, generation, len(data), block_digest(data), meta
            )
            return None if isinstance(sealed, Failure) else len(data)
        return None

    async def _make_room(
        self, store: Store, tier: Tier, size: int, meta: BlockMeta
    ) -> bool:
        sample = await store.sample(tier, _SAMPLE)
        if isinstance(sample, Failure):
            return False
        room = SpaceRequest(size, meta, self._wall())
        victims = choose_victims(sample, room, self.chance_of)
        if not victims:
            emit(Event.EXPORT_DECLINED, tier=tier.value, size=size)
        for victim in victims:
            await self._give_up(store, victim)
        return bool(victims)

    async def _give_up(self, store: Store, victim: StoredBlock) -> None:
        """Moves a block from memory to disk, or frees it for good."""
        if victim.tier is Tier.MEMORY:
            moved = await store.move(victim, Tier.DISK)
            if not isinstance(moved, Failure):
                return
            size = victim.length
            if moved.code is Code.STORE_FULL and await self._make_room(
                store, Tier.DISK, size, victim.meta
            ):
                await store.move(victim, Tier.DISK)
                return
        emit(Event.BLOCK_EVICTED, block=victim.block, tier=victim.tier.value)
        await store.remove(victim.block, victim.generation)
