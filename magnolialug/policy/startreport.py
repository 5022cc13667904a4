"""Reports of other entries that a start of an endpoint has ended."""

import enum

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["Evidence", "ReportedEnd", "StartReport", "lifetime_s"]

# A contact shortly before a report's moment counts as later: the report's way
# and a late event loop make its moment appear later than it was.
_CONTACT_MARGIN_S = 0.1
# Bounds what false reports can do: they close a start for at most this share
# of the time, and its own entry's requests show that it is alive in the rest.
_MAX_CLOSED_S = 4.0
_PERIOD_S = 10.0


class Evidence(enum.Enum):
    """From what an entry knows that a start has ended.

    REPLACED: another start has refused a request at its address.
    REFUSED: its address refuses connections.
    """

    REPLACED = "replaced"
    REFUSED = "refused"


_LIFETIMES_S = {
    # The registry drops an ended start after three heartbeats of 1.2 s.
    Evidence.REPLACED: 4.0,
    # An endpoint that starts again under its id is listed with its first
    # heartbeat, and may serve before.
    Evidence.REFUSED: 0.8,
}


def lifetime_s(evidence: Evidence) -> float:
    """Returns how long a report holds if nothing speaks against it."""
    return _LIFETIMES_S[evidence]


class StartReport(msgspec.Struct, frozen=True, array_like=True):
    """One start of an endpoint that an entry has found to have ended.

    Attributes:
      born_ms: when it was started, 0 if not known.
      successor: the endpoint that has its address now, "" if not known.
    """

    endpoint: EndpointId
    born_ms: int
    address: tuple[str, int]
    evidence: Evidence
    successor: EndpointId = EndpointId("")


class ReportedEnd:
    """Whether other entries' reports close one start of an endpoint."""

    def __init__(self) -> None:
        self._until = float("-inf")
        self._alive_at = float("-inf")
        self._period_began = float("-inf")

    def holds(self, now: float) -> bool:
        """Whether the start is taken for ended."""
        return now < self._until

    def record(self, evidence: Evidence, seen_at: float, now: float) -> bool:
        """Records a report; returns whether it changes anything.

        Args:
          seen_at: when the reporting entry found it.
        """
        if self._alive_at >= seen_at - _CONTACT_MARGIN_S:
            return False
        if now - self._period_began >= _PERIOD_S:
            self._period_began = now
        until = min(
            seen_at + lifetime_s(evidence), self._period_began + _MAX_CLOSED_S
        )
        if until <= max(now, self._until):
            return False
        self._until = until
        return True

    def record_alive(self, now: float) -> bool:
        """Records a contact or a listing; returns whether it ends a report."""
        ends_report = self.holds(now)
        self._alive_at = now
        self._until = float("-inf")
        return ends_report
