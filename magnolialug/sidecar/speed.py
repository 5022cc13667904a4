"""What a sidecar learns of its endpoint's speed."""

import msgspec

__all__ = ["Speed"]

_WEIGHT = 0.2
_LEAST_TOKENS = 256


class Speed(msgspec.Struct):
    """Moving averages over the runs so far.

    Attributes:
      prefill_rate: prompt tokens a second.
      run_s: how long a run holds its slot, in seconds.
    """

    prefill_rate: float
    run_s: float = 1.0

    def prefilled(self, tokens: int, seconds: float) -> None:
        """Learns from one prefill that was long enough to tell."""
        if tokens < _LEAST_TOKENS or seconds <= 0:
            return
        rate = tokens / seconds
        self.prefill_rate += _WEIGHT * (rate - self.prefill_rate)

    def ran(self, seconds: float) -> None:
        """Learns from one run."""
        self.run_s += _WEIGHT * (seconds - self.run_s)
