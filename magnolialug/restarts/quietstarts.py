"""Of which starts an entry need not tell the others."""

from magnolialug.ids import EndpointId
from magnolialug.policy.startreport import Evidence, lifetime_s

__all__ = ["QuietStarts"]

# Longer than the registry keeps an ended start, so that an entry tells of each
# start once.
_ANNOUNCED_S = 10.0


class QuietStarts:
    """Starts of which an entry has told the others, or was told by one."""

    def __init__(self) -> None:
        self._until: dict[tuple[EndpointId, Evidence], float] = {}

    def is_quiet(
        self, start: EndpointId, evidence: Evidence, now: float
    ) -> bool:
        """Whether the others need not be told."""
        return now < self._until.get((start, evidence), float("-inf"))

    def record_announced(
        self, start: EndpointId, evidence: Evidence, now: float
    ) -> None:
        """Records that this entry tells the others."""
        self._extend((start, evidence), now + _ANNOUNCED_S, now)

    def record_received(
        self, start: EndpointId, evidence: Evidence, now: float
    ) -> None:
        """Records that another entry has told this one, and so all."""
        self._extend((start, evidence), now + lifetime_s(evidence), now)

    def _extend(
        self, key: tuple[EndpointId, Evidence], until: float, now: float
    ) -> None:
        """Extends the time of one start, and drops those that are over."""
        until = max(until, self._until.get(key, until))
        self._until = {
            other: end for other, end in self._until.items() if now < end
        }
        self._until[key] = until
