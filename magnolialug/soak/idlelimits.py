"""The operator's limit of idle connections, and callers that rely on it."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["IdleLimits", "change_idle_limit"]

FIRST_S = 15.0
# Callers reuse connections that have been idle for this share of the limit.
_RELIABLE_SHARE = 0.8
# A machine may go by the limit before for this long.
_APPLY_S = 2.5
_LOWERED_S = (3.0, 4.0)
# Callers are idle for this long before the limit is lowered, so that it is
# lowered under idle connections.
_IDLE_S = 5.5
_LOW_FOR_S = 1.0
_SETTLE_S = 1.5
# One way between callers and machines, so that requests cross closes.
_FAR_S = 0.08


class IdleLimits:
    """The limits that configurations have named, the newest last.

    Args:
      clock: returns seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._rows = [(float("-inf"), FIRST_S)]

    @property
    def newest_s(self) -> float:
        """The limit of the newest configuration."""
        return self._rows[-1][1]

    @property
    def reliable_s(self) -> float:
        """How long a connection that is opened now may be idle and reused."""
        since = self._clock() - _APPLY_S
        ends = [at for at, _ in self._rows[1:]] + [float("inf")]
        rows = zip(self._rows, ends, strict=True)
        lowest = min(limit for (_, limit), end in rows if end > since)
        return _RELIABLE_SHARE * lowest

    def name(self, limit_s: float) -> None:
        """Notes the limit of a configuration that is written now."""
        self._rows.append((self._clock(), limit_s))


def change_idle_limit(soak: "Soak") -> None:
    """The operator lowers the limit under idle connections, and raises it."""
    if soak.now < soak.idle_limit_changing_until:
        return
    low_at = soak.now + _IDLE_S
    soak.idle_limit_changing_until = low_at + _LOW_FOR_S + _SETTLE_S
    for client in soak.clients:
        if soak.random.random() < 0.5:
            client.idle_until = low_at + soak.random.uniform(0.0, _LOW_FOR_S)
    for front in soak.fronts:
        front.proxy.delay_s = _FAR_S
    lowered_s = soak.random.choice(_LOWERED_S)
    soak.later(_IDLE_S, soak.world.set_idle_limit, lowered_s)
    soak.later(_IDLE_S + _LOW_FOR_S, _raise, soak)


def _raise(soak: "Soak") -> None:
    soak.world.set_idle_limit(FIRST_S)
    for front in soak.fronts:
        front.proxy.delay_s = 0.0
