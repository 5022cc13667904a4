"""Entries that share the work, from registrations that may expire."""

from collections.abc import Mapping
from typing import Generic, TypeVar

import msgspec

__all__ = ["SHARE_GRACE_S", "Registrations"]

# If an entry's registration expired in an outage and the entry is alive, it is
# registered again within about 2 s of the service's return. For that time it
# keeps its place on the ring of owners.
_REREGISTRATION_S = 2.0
# An entry that the service refuses continues to serve after its registration
# has expired. It is counted for this much longer: shares that are too small for
# a while cost little, but shares that add up to more than the whole limit do
# harm.
SHARE_GRACE_S = 30.0

Row = TypeVar("Row")


class _Missing(msgspec.Struct, Generic[Row]):
    """A registration that has disappeared.

    Attributes:
      since: time when it was first missing, in seconds.
    """

    row: Row
    since: float


class Registrations(Generic[Row]):
    """Tracks the registered entries, and for a grace period the missing ones.

    A registration disappears when its entry leaves or dies, but also when the
    service was unavailable, or unreachable for that entry, for longer than a
    lease lasts. Entries divide limits by the number of entries. Together they
    would exceed a limit if they did not count one that continues to serve.
    """

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._missing: dict[str, _Missing[Row]] = {}

    def next_change_at(self, now: float) -> float:
        """Returns when the next grace period of a missing entry ends."""
        ends = (
            missing.since + for_s
            for missing in self._missing.values()
            for for_s in (_REREGISTRATION_S, SHARE_GRACE_S)
        )
        return min((end for end in ends if end > now), default=float("inf"))

    @property
    def missing(self) -> list[str]:
        """The keys of missing registrations that have not been dropped yet."""
        return sorted(self._missing)

    def put(self, key: str, row: Row) -> None:
        """Adds or replaces a registration.

        Each machine has one key, so this replaces the machine's previous entry.
        """
        self._rows[key] = row
        self._missing.pop(key, None)

    def remove(self, key: str, now: float) -> None:
        """Records that a registration has disappeared."""
        row = self._rows.pop(key, None)
        if row is not None:
            self._missing[key] = _Missing(row, now)

    def replace(self, rows: Mapping[str, Row], now: float) -> None:
        """Replaces all registrations by the current ones."""
        for key in set(self._rows) - set(rows):
            self.remove(key, now)
        for key, row in rows.items():
            self.put(key, row)

    def expire(self, now: float) -> None:
        """Drops registrations that are missing beyond the grace period."""
        self._missing = {
            key: missing
            for key, missing in self._missing.items()
            if now < missing.since + SHARE_GRACE_S
        }

    def members(self, now: float) -> dict[str, Row]:
        """Returns the entries that may be owners, by their keys."""
        return {**self._missing_for(_REREGISTRATION_S, now), **self._rows}

    def sharing(self, now: float) -> dict[str, Row]:
        """Returns the entries that limits are divided among, by their keys."""
        return {**self._missing_for(SHARE_GRACE_S, now), **self._rows}

    def _missing_for(self, seconds: float, now: float) -> dict[str, Row]:
        return {
            key: missing.row
            for key, missing in self._missing.items()
            if now < missing.since + seconds
        }
