"""What the stores keep: by worth, by time of last use, or by the future."""

import bisect
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from magnolialug.measure.fakes import TOKEN_BYTES, Store
from magnolialug.measure.workload import Req, Workload
from magnolialug.policy.eviction import (
    ReturnIntervals,
    SpaceRequest,
    chance_from_intervals,
    choose_victims,
)
from magnolialug.policy.storedblock import BlockMeta, StoredBlock, Tier

__all__ = ["Keeper"]

_SAMPLE = 32


class Keeper:
    """Exports after service and makes room in memory, then on disk.

    Args:
      way: "worth" for the programs' decision, "lru" for the baselines,
        "future" for the bound.
    """

    def __init__(self, way: str, workload: Workload, random: Random):
        self._victims: Callable = {
            "worth": self._by_worth,
            "lru": self._by_use,
            "future": self._by_future,
        }[way]
        self._random = random
        self._gaps = ReturnIntervals()
        self._weights = ""
        self._chance = chance_from_intervals(
            self._gaps, lambda weights: weights == self._weights
        )
        self._seen: dict[str, float] = {}
        self._visits: dict[str, list[float]] = {}
        for req in workload.reqs:
            self._visits.setdefault(req.root, []).append(req.at)

    def read(self, store: Store, row: StoredBlock, now: float) -> None:
        """Notes a use."""
        store.touch(row, msgspec.structs.replace(row.meta, used_at=now))

    def keep(
        self, store: Store, req: Req, root: str, now: float, rate: float
    ) -> None:
        """Keeps a prompt's cache if it is worth the room."""
        future = self._victims == self._by_future
        if store.down or (future and self._next_use(root, now) == float("inf")):
            return
        self._weights = root.partition("@")[2]
        keys = (req.shape.name, f"{req.team}/{req.shape.name}", req.root)
        last = self._seen.get(req.root)
        self._gaps.record_visit(keys, None if last is None else now - last)
        self._seen[req.root] = now
        size = req.tokens * TOKEN_BYTES
        meta = BlockMeta(
            kind=keys[1],
            root=req.root,
            weights=self._weights,
            work_s=req.tokens / rate,
            used_at=now,
        )
        room = SpaceRequest(size, meta, now)
        for tier in (Tier.MEMORY, Tier.DISK):
            if self._free(store, tier, room, root):
                store.put(root, size, tier, meta)
                return

    def _free(
        self, store: Store, tier: Tier, room: SpaceRequest, root: str
    ) -> bool:
        old = store.find(root)
        mine = old.length if old and old.tier is tier else 0
        lack = room.size - mine - (store.room[tier] - store.used[tier])
        if lack <= 0:
            return True
        wanted = SpaceRequest(lack, room.meta, room.now)
        victims = self._victims(store, tier, wanted, root)
        for victim in victims:
            if tier is Tier.MEMORY:
                self._demote(store, victim, room.now)
            else:
                store.remove(victim.block)
        return bool(victims)

    def _demote(self, store: Store, victim: StoredBlock, now: float) -> None:
        room = SpaceRequest(victim.length, victim.meta, now)
        if self._free(store, Tier.DISK, room, victim.block):
            store.move(victim.block, Tier.DISK)
            store.transfer(Tier.DISK, victim.length)
        else:
            store.remove(victim.block)

    def _by_worth(
        self, store: Store, tier: Tier, room: SpaceRequest, root: str
    ) -> list[StoredBlock]:
        sample = store.tiers[tier].sample(self._random, _SAMPLE)
        rows = [row for row in sample if row.block != root]
        return choose_victims(rows, room, self._chance)

    def _by_use(
        self, store: Store, tier: Tier, room: SpaceRequest, root: str
    ) -> list[StoredBlock]:
        rows = store.tiers[tier].rows.values()
        return _until((r for r in rows if r.block != root), room.size)

    def _by_future(
        self, store: Store, tier: Tier, room: SpaceRequest, root: str
    ) -> list[StoredBlock]:
        rows = [
            (self._next_use(row.block, room.now), row)
            for row in store.tiers[tier].rows.values()
            if row.block != root
        ]
        mine = self._next_use(room.meta.root, room.now)
        later = [pair for pair in rows if pair[0] > mine]
        later.sort(key=lambda pair: -pair[0])
        return _until((row for _, row in later), room.size)

    def _next_use(self, root: str, now: float) -> float:
        times = self._visits[root.partition("@")[0]]
        place = bisect.bisect(times, now)
        return times[place] if place < len(times) else float("inf")


def _until(rows: Iterable[StoredBlock], size: int) -> list[StoredBlock]:
    chosen = []
    freed = 0
    for row in rows:
        if freed >= size:
            return chosen
        chosen.append(row)
        freed += row.length
    return chosen if freed >= size else []
