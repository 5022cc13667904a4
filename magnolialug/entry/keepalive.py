"""How long callers' connections stay open between requests."""

from collections.abc import Callable

import msgspec

from magnolialug.entry.graceperiod import GracePeriod

__all__ = ["IdleTerms", "KeepAlive"]

# A caller measures its idle time from the arrival of the answer, and its next
# request is in transit for a while. The gateway closes this much later.
_IDLE_SLACK_S = 0.5
# Expired connections are found by a periodic pass, up to this much later.
_PASS_MARGIN_S = 0.05


class IdleTerms(msgspec.Struct, frozen=True):
    """The idle time of one connection, unchanged by later configurations.

    Attributes:
      limit_s: the operator's limit when the terms were made.
      stop_s: what of it a planned stop can still keep.
    """

    limit_s: float
    stop_s: float

    @property
    def announced_s(self) -> int:
        """The whole seconds that an answer names, 0 if it can name none."""
        return int(self.stop_s)


class KeepAlive:
    """Decides how long connections may be idle, and what answers say of it.

    Args:
      limit_s: returns the operator's current limit in seconds.
      grace: the planned stop.
    """

    def __init__(self, limit_s: Callable[[], float], grace: GracePeriod):
        self._limit_s = limit_s
        self._grace = grace

    @property
    def stopping(self) -> bool:
        """Whether answers close their connections for a planned stop."""
        return self._grace.begun

    def terms(self) -> IdleTerms:
        """Returns what a connection can rely on from now on."""
        limit_s = self._limit_s()
        left_s = self._grace.left_s - _IDLE_SLACK_S - _PASS_MARGIN_S
        return IdleTerms(limit_s, max(0.0, min(limit_s, left_s)))

    def expiry(self) -> Callable[[IdleTerms], float]:
        """Returns a function that tells after how many seconds to close.

        A raised limit applies to terms that were made before. A planned stop
        keeps what answers have named.
        """
        if self.stopping:
            return lambda terms: terms.stop_s + _IDLE_SLACK_S
        limit_s = self._limit_s()
        return lambda terms: max(terms.limit_s, limit_s) + _IDLE_SLACK_S
