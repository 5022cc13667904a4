"""Estimates read times from stores, and compares reading with recomputing."""

import msgspec

from magnolialug.policy.placement import Weights
from magnolialug.policy.storedblock import Tier

__all__ = ["LinkEstimator", "import_is_cheaper"]


_RECENT_READS = 4
_RECENT_READS_S = 120.0


class _Read(msgspec.Struct, frozen=True):
    at: float
    slowness: float


class LinkEstimator(msgspec.Struct):
    """Estimates read times from configured rates and recent reads.

    A read can be late for two reasons. A queue in front of it gets shorter by
    one second each second. An average of past reads would stay high after a
    burst: no read would be worthwhile any more, and without reads nothing
    would show that the link is free again. A slow link stays slow: then even
    the fastest of the recent reads is slow, and the estimate uses its
    slowness while these reads are recent.

    Attributes:
      rate: bytes per second, by tier.
      wait_s: what the last read took beyond its transfer time, by tier.
      at: when the last read ended, by tier.
      recent: slowness of the recent reads, by tier: measured time over the
        time at the configured rate.
    """

    rate: dict[Tier, float]
    wait_s: dict[Tier, float] = {}
    at: dict[Tier, float] = {}
    recent: dict[Tier, list[_Read]] = {}

    def observe(self, tier: Tier, size: int, took_s: float, now: float) -> None:
        """Records a read that ended now."""
        ideal_s = size / self.rate[tier]
        reads = self.recent.setdefault(tier, [])
        reads.append(_Read(now, max(1.0, took_s / ideal_s)))
        del reads[:-_RECENT_READS]
        slow_s = ideal_s * self._slowness(tier, now)
        self.wait_s[tier] = max(0.0, took_s - slow_s)
        self.at[tier] = now

    def expected_read_s(self, tier: Tier, size: int, now: float) -> float:
        """Returns the expected time of a read, in seconds."""
        since = now - self.at.get(tier, now)
        wait_s = max(0.0, self.wait_s.get(tier, 0.0) - since)
        ideal_s = size / self.rate[tier]
        return wait_s + ideal_s * self._slowness(tier, now)

    def _slowness(self, tier: Tier, now: float) -> float:
        reads = self.recent.get(tier, [])
        fresh = [r.slowness for r in reads if now - r.at < _RECENT_READS_S]
        return min(fresh) if len(fresh) == _RECENT_READS else 1.0


def import_is_cheaper(
    tokens: int,
    size: int,
    link_s: float,
    prefill_rate: float,
    weights: Weights,
) -> bool:
    """Whether reading cache from a store costs less than recomputing it.

    Args:
      tokens: prompt tokens whose prefill the read would save.
      size: bytes to read.
      link_s: expected time of the read, in seconds.
      prefill_rate: prompt tokens per second.
      weights: the operators' weights of the cost terms.
    """
    read = weights.ttft * link_s + weights.link * size / 1e9
    compute = weights.ttft * tokens / prefill_rate
    compute += weights.recompute * tokens / 1e3
    return read < compute
