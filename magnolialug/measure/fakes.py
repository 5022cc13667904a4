"""Small fakes in virtual time: clock, engine, store, links."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from random import Random

import msgspec

from magnolialug.policy.storedblock import BlockMeta, StoredBlock, Tier

__all__ = ["Engine", "Loop", "Store"]

_QUANTUM = 512
TOKEN_BYTES = 131_072


class Loop:
    """Virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list = []
        self._count = itertools.count()

    def at(self, when: float, step: Callable, *args) -> None:
        """Runs a step at a time."""
        heapq.heappush(self._events, (when, next(self._count), step, args))

    def after(self, seconds: float, step: Callable, *args) -> None:
        """Runs a step after some time."""
        self.at(self.now + seconds, step, *args)

    def run(self) -> None:
        """Runs until nothing is left."""
        while self._events:
            self.now, _, step, args = heapq.heappop(self._events)
            step(*args)


class _Prefill(msgspec.Struct, eq=False):
    left: int
    priority: int
    done: Callable


class Engine:
    """Serial prefill by priority, and a prefix cache in order of use.

    Attributes:
      filled: tokens put into the cache since the start.
      prefilled: tokens computed.
    """

    def __init__(self, loop: Loop, rate: float, cache_tokens: int):
        self.rate = rate
        self.capacity = cache_tokens
        self.filled = 0
        self.prefilled = 0
        self._loop = loop
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._held = 0
        self._queue: list[_Prefill] = []
        self._busy = False

    def cached(self, root: str) -> int:
        """Returns the cached length of a prompt."""
        return self._cache.get(root, 0)

    def insert(self, root: str, tokens: int) -> None:
        """Caches a prompt, evicting silently."""
        old = self._cache.pop(root, 0)
        self._held += tokens - old
        self.filled += max(0, tokens - old)
        self._cache[root] = tokens
        while self._held > self.capacity and len(self._cache) > 1:
            _, gone = self._cache.popitem(last=False)
            self._held -= gone

    def clear(self) -> None:
        """Empties the cache."""
        self._cache.clear()
        self._held = 0

    def waiting(self) -> dict[int, int]:
        """Returns the tokens that wait for prefill, by priority."""
        tokens: dict[int, int] = {}
        for item in self._queue:
            tokens[item.priority] = tokens.get(item.priority, 0) + item.left
        return tokens

    def prefill(self, tokens: int, priority: int, done: Callable) -> None:
        """Computes a prompt's tokens, then calls done."""
        self._queue.append(_Prefill(max(1, tokens), priority, done))
        self._next()

    def _next(self) -> None:
        if self._busy or not self._queue:
            return
        self._busy = True
        item = min(self._queue, key=lambda item: item.priority)
        part = min(_QUANTUM, item.left)
        self._loop.after(part / self.rate, self._step, item, part)

    def _step(self, item: _Prefill, part: int) -> None:
        self._busy = False
        item.left -= part
        self.prefilled += part
        if item.left <= 0:
            self._queue.remove(item)
            item.done()
        self._next()


class _TierRows:
    """The rows of one tier: in order of use, and to be drawn at random."""

    def __init__(self) -> None:
        self.rows: OrderedDict[str, StoredBlock] = OrderedDict()
        self._names: list[str] = []
        self._place: dict[str, int] = {}

    def add(self, row: StoredBlock) -> None:
        """Adds or replaces a row, as the one used last."""
        if row.block not in self._place:
            self._place[row.block] = len(self._names)
            self._names.append(row.block)
        self.rows[row.block] = row
        self.rows.move_to_end(row.block)

    def drop(self, root: str) -> None:
        """Removes a row."""
        del self.rows[root]
        place = self._place.pop(root)
        last = self._names.pop()
        if last != root:
            self._names[place] = last
            self._place[last] = place

    def sample(self, random: Random, count: int) -> list[StoredBlock]:
        """Returns some rows, drawn at random."""
        count = min(count, len(self._names))
        return [self.rows[name] for name in random.sample(self._names, count)]


class Store:
    """Prompts' caches in memory and on disk behind queueing links.

    Attributes:
      moved: bytes over the link, by tier.
      tiers: the rows of each tier.
      unqueued: reads do not wait for each other, as the bound has it.
    """

    def __init__(
        self, loop: Loop, room: dict[Tier, int], rate: dict[Tier, float]
    ):
        self.room = room
        self.rate = dict(rate)
        self.full_rate = dict(rate)
        self.moved = dict.fromkeys(Tier, 0)
        self.down = False
        self.unqueued = False
        self.tiers = {tier: _TierRows() for tier in Tier}
        self.used = dict.fromkeys(Tier, 0)
        self._free_at = dict.fromkeys(Tier, 0.0)
        self._loop = loop

    def find(self, root: str) -> StoredBlock | None:
        """Returns a prompt's row."""
        if self.down:
            return None
        for tier in self.tiers.values():
            if root in tier.rows:
                return tier.rows[root]
        return None

    def put(self, root: str, size: int, tier: Tier, meta: BlockMeta) -> None:
        """Writes a prompt's cache; only the new bytes cross the link."""
        old = self.find(root)
        fresh = size - old.length if old else size
        self.remove(root)
        row = StoredBlock(root, 0, size, "", tier, meta)
        self.tiers[tier].add(row)
        self.used[tier] += size
        self.transfer(tier, max(0, fresh))

    def touch(self, row: StoredBlock, meta: BlockMeta) -> None:
        """Notes a use of a row that is still there."""
        if row.block in self.tiers[row.tier].rows:
            fresh = msgspec.structs.replace(row, meta=meta)
            self.tiers[row.tier].add(fresh)

    def remove(self, root: str) -> None:
        """Frees a prompt's cache."""
        row = self.find(root)
        if row:
            self.tiers[row.tier].drop(root)
            self.used[row.tier] -= row.length

    def move(self, root: str, tier: Tier) -> None:
        """Moves a prompt's cache inside the store."""
        row = self.find(root)
        self.remove(root)
        self.tiers[tier].add(msgspec.structs.replace(row, tier=tier))
        self.used[tier] += row.length

    def transfer(self, tier: Tier, size: int) -> float:
        """Takes link time for bytes; returns when they are through."""
        start = self._loop.now
        if not self.unqueued:
            start = max(start, self._free_at[tier])
        self._free_at[tier] = start + size / self.rate[tier]
        self.moved[tier] += size
        return self._free_at[tier]

    def wait_s(self, tier: Tier) -> float:
        """Returns the true queue of a link."""
        if self.unqueued:
            return 0.0
        return max(0.0, self._free_at[tier] - self._loop.now)

    def lose(self) -> None:
        """Forgets everything."""
        self.tiers = {tier: _TierRows() for tier in Tier}
        self.used = dict.fromkeys(Tier, 0)
