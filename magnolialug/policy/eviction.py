"""Decides which cache blocks to evict.

The value of a block is its chance of return times the work saved, per byte.
"""

import bisect
import itertools
import math
from collections.abc import Callable, Iterable

import msgspec

from magnolialug.policy.storedblock import BlockMeta, StoredBlock

__all__ = [
    "ReturnChance",
    "ReturnIntervals",
    "SpaceRequest",
    "chance_from_intervals",
    "choose_victims",
    "block_value",
    "value_per_byte",
]

_BUCKETS_PER_OCTAVE = 4
_BUCKETS = 24 * _BUCKETS_PER_OCTAVE
_DEFAULT_HORIZON_S = 3600.0
_HORIZON_SHARE = 0.25
_MAX_KEYS = 2000
_PRIOR_WEIGHT = 4.0
_PRIOR_CHANCE = 0.3


class _History(msgspec.Struct):
    visits: int = 0
    returns: list[int] = msgspec.field(default_factory=lambda: [0] * _BUCKETS)


def _bucket(gap_s: float) -> int:
    return min(
        _BUCKETS - 1, int(_BUCKETS_PER_OCTAVE * math.log2(max(1.0, gap_s)))
    )


class ReturnIntervals:
    """Histograms of the intervals between visits, per prompt, team and kind.

    A prompt with two visits gives little evidence. So its own intervals are
    weighted against those of its team and kind, and these against a fixed
    prior.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, _History] = {}

    def record_visit(self, keys: Iterable[str], gap_s: float | None) -> None:
        """Records a visit under each key; gap_s is None for the first."""
        for key in keys:
            history = self._by_key.pop(key, None) or _History()
            self._by_key[key] = history
            if len(self._by_key) > _MAX_KEYS:
                del self._by_key[next(iter(self._by_key))]
            history.visits += 1
            if gap_s is not None:
                history.returns[_bucket(gap_s)] += 1

    def chance(
        self, keys: Iterable[str], idle_s: float, horizon_s: float
    ) -> float:
        """Returns the chance of a visit within a horizon.

        Args:
          keys: from the most general key to that of the prompt itself.
          idle_s: time since the last visit.
          horizon_s: how far ahead to look, in seconds.
        """
        estimate = _PRIOR_CHANCE
        for key in keys:
            history = self._by_key.get(key)
            if history is None:
                continue
            first = _bucket(idle_s + 1)
            last = _bucket(idle_s + horizon_s)
            soon = sum(history.returns[first : last + 1])
            gone = sum(history.returns[:first])
            at_risk = max(soon, history.visits - gone)
            estimate = (soon + _PRIOR_WEIGHT * estimate) / (
                at_risk + _PRIOR_WEIGHT
            )
        return estimate

    def has_history(self, key: str) -> bool:
        """Whether any visit was recorded under a key."""
        return key in self._by_key

    def horizon_s(self, key: str) -> float:
        """Returns the horizon for the chance of a return, in seconds.

        Of all prompts, the one just used returns last. So when not all
        prompts fit, those that are due soon have to be preferred to the
        newest one. Only a horizon well below the usual interval separates
        them.
        """
        history = self._by_key.get(key)
        seen = sum(history.returns) if history else 0
        if not seen:
            return _DEFAULT_HORIZON_S
        passed = list(itertools.accumulate(history.returns))
        bucket = bisect.bisect_left(passed, seen / 2)
        return _HORIZON_SHARE * 2.0 ** (bucket / _BUCKETS_PER_OCTAVE)


class SpaceRequest(msgspec.Struct, frozen=True):
    """Space wanted for a block: its bytes, its metadata, wall-clock time."""

    size: int
    meta: BlockMeta
    now: float


ReturnChance = Callable[[BlockMeta, float], float]


def value_per_byte(chance: float, work_s: float, size: int) -> float:
    """Returns the value density of a block: seconds saved per byte."""
    return chance * work_s / max(1, size)


def block_value(
    meta: BlockMeta, size: int, now: float, chance_of: ReturnChance
) -> float:
    """Returns the value of a stored block now, in seconds saved per byte.

    Args:
      meta: the metadata from its writer.
      size: its bytes.
      now: wall-clock time in seconds.
      chance_of: returns the chance of a return, given the time since the
        last use.
    """
    idle_s = max(0.0, now - meta.used_at)
    return value_per_byte(chance_of(meta, idle_s), meta.work_s, size)


def chance_from_intervals(
    gaps: ReturnIntervals, is_current: Callable[[str], bool]
) -> ReturnChance:
    """Returns a function for the chance that a block's prompt returns soon.

    The function uses the intervals recorded here, or the chance given by the
    block's writer if no visit of its kind was recorded. No new request may use
    cache of weights that are not current, so the chance of such a block is 0;
    otherwise stores full of such blocks would accept nothing new after a
    change of weights.

    Args:
      gaps: the recorded intervals.
      is_current: whether new requests use a block's weights.
    """

    def chance_of(meta: BlockMeta, idle_s: float) -> float:
        if meta.weights and not is_current(meta.weights):
            return 0.0
        _, _, kind = meta.kind.partition("/")
        if not gaps.has_history(kind):
            return meta.chance
        keys = (kind, meta.kind, meta.root)
        return gaps.chance(keys, idle_s, gaps.horizon_s(kind))

    return chance_of


def choose_victims(
    sample: Iterable[StoredBlock], room: SpaceRequest, chance_of: ReturnChance
) -> list[StoredBlock]:
    """Returns the least valuable blocks to evict for the space, or none.

    Only blocks of less value than the new one are evicted.
    """
    needed_value = block_value(room.meta, room.size, room.now, chance_of)
    ranked = sorted(
        (block_value(row.meta, row.length, room.now, chance_of), row.block, row)
        for row in sample
    )
    victims = []
    freed = 0
    for value, _, row in ranked:
        if freed >= room.size or value >= needed_value:
            break
        victims.append(row)
        freed += row.length
    return victims if freed >= room.size else []
