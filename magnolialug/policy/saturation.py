"""Detects that this entry is saturated while others are not."""

from collections.abc import Hashable

__all__ = ["Saturation"]

# Delay of the event loop from which on new connections are turned away, and the
# one below which they are accepted again. Hysteresis keeps single slow events
# from deciding, and the first word of an answer well within its target.
_BEGIN_S = 0.1
_END_S = 0.03
# Weight of the newest measurement in the moving average.
_WEIGHT = 0.3
# A process that was frozen measures seconds at once, which tell nothing of its
# load.
_MAX_DELAY_S = 0.5
# Another entry has room if its delay is below this, and was told so recently.
_LIGHT_DELAY_S = 0.05
_TOLD_S = 1.0


class Saturation:
    """Delays of the event loops of this entry and of others.

    A load balancer may send most new connections to one entry. A connection
    that is closed before its request is read costs its caller one more attempt
    at another entry; a request that is read and waits costs the answer. While
    all entries are saturated, an attempt elsewhere would only add load, so that
    nothing is turned away.

    Attributes:
      delay_s: moving average of the delay of this entry's event loop.
      is_saturated: whether that is too long.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.is_saturated = False
        self._others: dict[Hashable, tuple[float, float]] = {}

    def record(self, delay_s: float) -> None:
        """Records how much later than planned a timer fired."""
        bounded = min(max(0.0, delay_s), _MAX_DELAY_S)
        self.delay_s += _WEIGHT * (bounded - self.delay_s)
        limit = _END_S if self.is_saturated else _BEGIN_S
        self.is_saturated = self.delay_s >= limit

    def record_other(self, entry: Hashable, delay_s: float, now: float) -> None:
        """Records the delay that another entry reports."""
        self._others[entry] = delay_s, now

    def turns_away(self, now: float) -> bool:
        """Whether new connections are better served by other entries."""
        return self.is_saturated and self._others_have_room(now)

    def _others_have_room(self, now: float) -> bool:
        """Whether most of the entries heard recently have room."""
        heard = [
            delay_s
            for delay_s, at in self._others.values()
            if now - at <= _TOLD_S
        ]
        with_room = sum(delay_s < _LIGHT_DELAY_S for delay_s in heard)
        return 2 * with_room > len(heard)

    def drop_expired(self, now: float) -> None:
        """Forgets entries that were not heard for a while."""
        for entry, (_, at) in list(self._others.items()):
            if now - at > _TOLD_S:
                del self._others[entry]
