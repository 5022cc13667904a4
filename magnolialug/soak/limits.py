"""Request rates that endpoints limit, and what reaches them."""

from collections import deque
from collections.abc import Callable

import msgspec

__all__ = ["LimitChecks"]

# The bounds that the platform sets: from this long after an endpoint first
# names a limit, it gets in any window no more than half as much again as the
# limit allows, and five more.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_EXCESS = 1.5
_EXTRA = 5
# A machine that has passed on an answer with the limit keeps it by then.
_TOLD_S = 0.5


class _Limit(msgspec.Struct):
    """The limit of one endpoint.

    Attributes:
      rates: since when which rate has held, the newest last.
      told: since when machines have known of it.
      arrivals: when which machine's request arrived, for one window.
    """

    named_at: float
    rates: list[tuple[float, float]]
    told: dict[str, float] = {}
    arrivals: deque[tuple[float, str]] = msgspec.field(default_factory=deque)


class LimitChecks:
    """Notes limits and judges each arrival.

    Args:
      clock: returns the time in seconds.
      touched: tells whether a machine has been calm since a time.
      broken: is told promise, detail and request of what must not be.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        touched: Callable[[str, float], bool],
        broken: Callable[[str, str, str], None],
    ):
        self._clock = clock
        self._touched = touched
        self._broken = broken
        self._limits: dict[str, _Limit] = {}

    def name(self, instance: str, rate: float) -> None:
        """Notes that an endpoint names a limit from now on."""
        now = self._clock()
        limit = self._limits.setdefault(instance, _Limit(now, []))
        limit.rates.append((now, rate))

    def end(self, instance: str) -> None:
        """Notes that an endpoint names no limit any more."""
        self._limits.pop(instance, None)

    def answered(self, instance: str, machine: str) -> None:
        """Notes that a machine has passed on an answer of an endpoint."""
        limit = self._limits.get(instance)
        if limit is not None:
            limit.told.setdefault(machine, self._clock())

    def arrived(self, instance: str, request: str, machine: str) -> None:
        """Judges a request that an endpoint gets."""
        limit = self._limits.get(instance)
        if limit is None:
            return
        now = self._clock()
        limit.arrivals.append((now, machine))
        since = now - _WINDOW_S
        while limit.arrivals[0][0] <= since:
            limit.arrivals.popleft()
        if now < limit.named_at + _CONTACT_S:
            return
        count = sum(
            limit.told.get(name, now) <= now - _TOLD_S
            and self._touched(name, since)
            for _, name in limit.arrivals
        )
        rate = _highest(limit.rates, since - _CONTACT_S)
        if count > _EXCESS * _WINDOW_S * rate + _EXTRA:
            detail = f"{instance}, {rate} a second: {count} in 4 s"
            self._broken("LIMIT", detail, request)


def _highest(rates: list[tuple[float, float]], since: float) -> float:
    """Returns the highest rate that has held at any time since then."""
    ends = [at for at, _ in rates[1:]] + [float("inf")]
    return max(
        rate for (_, rate), end in zip(rates, ends, strict=True) if end > since
    )
