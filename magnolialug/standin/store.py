"""A store VM: staged and sealed blocks in memory and on disk."""

from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime
from twisted.web.server import Request

from magnolialug.ids import BlockId
from magnolialug.policy.blocks import block_digest
from magnolialug.policy.storedblock import BlockMeta, StoredBlock, Tier
from magnolialug.result import Code, Failure, failed
from magnolialug.standin.web import Face, query
from magnolialug.timing import sleep

__all__ = ["StoreSpec", "StoreStandin", "store_face"]


class StoreSpec(msgspec.Struct, frozen=True):
    """Room in bytes and link rates in bytes a second, by tier."""

    room: dict[Tier, int]
    rate: dict[Tier, float]


class _Staged(msgspec.Struct):
    data: bytes
    tier: Tier


class StoreStandin:
    """Implements Store directly.

    Attributes:
      down: whether calls fail.
      truncate_reads: how many further reads return only half a block.
    """

    def __init__(self, clock: IReactorTime, spec: StoreSpec, seed: int = 0):
        self.clock = clock
        self.spec = spec
        self.down = False
        self.truncate_reads = 0
        self.read_bytes = 0
        self._random = Random(seed)
        self._generation = 0
        self._staged: dict[int, _Staged] = {}
        self._sealed: dict[BlockId, tuple[StoredBlock, bytes]] = {}
        self._used = dict.fromkeys(Tier, 0)
        self._free_at = dict.fromkeys(Tier, 0.0)

    async def lookup(
        self, ids: list[BlockId]
    ) -> dict[BlockId, StoredBlock] | Failure:
        """Returns the sealed blocks among the ids."""
        if self.down:
            return failed(Code.STORE_UNAVAILABLE)
        return {b: self._sealed[b][0] for b in ids if b in self._sealed}

    async def read(self, stored: StoredBlock) -> bytes | Failure:
        """Returns the bytes of that very generation after the link's time."""
        if self.down:
            return failed(Code.STORE_UNAVAILABLE)
        found = self._sealed.get(stored.block)
        if found is None or found[0].generation != stored.generation:
            return failed(Code.BLOCK_MISSING, value=stored.block)
        await self._link(found[0].tier, found[0].length)
        if self.down:
            return failed(Code.STORE_UNAVAILABLE)
        data = found[1]
        self.read_bytes += len(data)
        if self.truncate_reads:
            self.truncate_reads -= 1
            return data[: len(data) // 2]
        return data

    async def stage(
        self, block: BlockId, data: bytes, tier: Tier
    ) -> int | Failure:
        """Writes bytes that nobody can read yet; returns the generation."""
        if self.down:
            return failed(Code.STORE_UNAVAILABLE)
        if self._used[tier] + len(data) > self.spec.room[tier]:
            return failed(Code.STORE_FULL, field="tier", value=tier.value)
        self._used[tier] += len(data)
        self._generation += 1
        self._staged[self._generation] = _Staged(data, tier)
        return self._generation

    async def seal(
        self,
        block: BlockId,
        generation: int,
        length: int,
        digest: str,
        meta: BlockMeta,
    ) -> None | Failure:
        """Makes a staged block readable if length and digest agree."""
        staged = None if self.down else self._staged.pop(generation, None)
        if staged is None:
            return failed(Code.BLOCK_MISSING, value=block)
        data = staged.data
        if len(data) != length or block_digest(data) != digest:
            self._used[staged.tier] -= len(data)
            return failed(Code.BLOCK_DAMAGED, value=block)
        if block in self._sealed:
            self._used[staged.tier] -= len(data)
            return None
        row = StoredBlock(block, generation, length, digest, staged.tier, meta)
        self._sealed[block] = (row, data)
        return None

    async def sample(
        self, tier: Tier, count: int
    ) -> list[StoredBlock] | Failure:
        """Returns some sealed blocks, drawn at random."""
        rows = [row for row, _ in self._sealed.values() if row.tier is tier]
        return self._random.sample(rows, min(count, len(rows)))

    async def move(self, stored: StoredBlock, tier: Tier) -> None | Failure:
        """Moves that very generation to another tier."""
        found = self._sealed.get(stored.block)
        if found is None or found[0].generation != stored.generation:
            return failed(Code.BLOCK_MISSING, value=stored.block)
        row, data = found
        if self._used[tier] + row.length > self.spec.room[tier]:
            return failed(Code.STORE_FULL, field="tier", value=tier.value)
        self._used[row.tier] -= row.length
        self._used[tier] += row.length
        moved = msgspec.structs.replace(row, tier=tier)
        self._sealed[stored.block] = (moved, data)
        return None

    async def remove(self, block: BlockId, generation: int) -> None | Failure:
        """Frees that very generation."""
        found = self._sealed.get(block)
        if found and found[0].generation == generation:
            del self._sealed[block]
            self._used[found[0].tier] -= found[0].length
        return None

    def restart(self) -> None:
        """Comes back empty; generations go on, so none is used twice."""
        self._staged.clear()
        self._sealed.clear()
        self._used = dict.fromkeys(Tier, 0)

    async def _link(self, tier: Tier, length: int) -> None:
        now = self.clock.seconds()
        start = max(now, self._free_at[tier])
        self._free_at[tier] = start + length / self.spec.rate[tier]
        await sleep(self.clock, self._free_at[tier] - now)


def store_face(store: StoreStandin) -> Face:
    """Returns the HTTP resource of a store."""

    async def handle(method: str, parts: list[str], req: Request, data: bytes):
        if parts == ["lookup"]:
            rows = await store.lookup(msgspec.json.decode(data)["ids"])
            return _reply(rows, lambda rows: list(rows.values()))
        if parts == ["sample"]:
            tier = Tier(query(req, "tier"))
            return _reply(await store.sample(tier, int(query(req, "count"))))
        block = BlockId(parts[1])
        if parts[-1] in _POSTS:
            return _reply(await _POSTS[parts[-1]](store, block, data) or b"")
        return await _METHODS[method](store, block, req, data)

    return Face(handle)


async def _put(store: StoreStandin, block: BlockId, req: Request, data: bytes):
    made = await store.stage(block, data, Tier(query(req, "tier")))
    return _reply(made, lambda made: {"generation": made})


async def _get(store: StoreStandin, block: BlockId, req: Request, _: bytes):
    found = await store.lookup([block])
    if isinstance(found, Failure):
        return _reply(found)
    row = found.get(block)
    if row is None or row.generation != int(query(req, "generation")):
        return 404, b""
    return _reply(await store.read(row))


async def _delete(store: StoreStandin, block: BlockId, req: Request, _: bytes):
    generation = int(query(req, "generation"))
    return _reply(await store.remove(block, generation) or b"")


async def _seal(store: StoreStandin, block: BlockId, data: bytes):
    body = msgspec.json.decode(data)
    meta = msgspec.convert(body["meta"], BlockMeta)
    return await store.seal(
        block, body["generation"], body["length"], body["digest"], meta
    )


async def _move(store: StoreStandin, block: BlockId, data: bytes):
    body = msgspec.json.decode(data)
    found = await store.lookup([block])
    row = found.get(block) if isinstance(found, dict) else None
    if row is None or row.generation != body["generation"]:
        return failed(Code.BLOCK_MISSING, value=block)
    return await store.move(row, Tier(body["tier"]))


_POSTS = {"seal": _seal, "move": _move}
_METHODS = {"GET": _get, "PUT": _put, "DELETE": _delete}
_STATUS = {
    Code.BLOCK_MISSING: 404,
    Code.BLOCK_DAMAGED: 422,
    Code.STORE_FULL: 507,
}


def _reply(
    result: object, shape: Callable[[object], object] = lambda result: result
) -> tuple[int, object]:
    if isinstance(result, Failure):
        return _STATUS.get(result.code, 503), result.reason.encode()
    return 200, shape(result)
