"""Which entries share the work, from registrations that may lapse."""

from collections.abc import Mapping
from typing import Generic, TypeVar

import msgspec

__all__ = ["Registrations"]

# An entry whose registration lapsed in an outage is registered again within
# about two seconds of the service's return, if it lives. Until then it keeps
# its place on the ring of owners.
_RETURN_S = 2.0
# An entry that the service turns away serves on after its registration has
# lapsed. It is counted for this much longer: shares that are too small for a
# while cost little, shares that add up to more than the whole do harm.
_COUNTED_S = 30.0

Row = TypeVar("Row")


class _Missing(msgspec.Struct, Generic[Row]):
    """A registration that is gone.

    Attributes:
      since: when it was missed first, in seconds.
    """

    row: Row
    since: float


class Registrations(Generic[Row]):
    """Keeps the registered entries, and for a while those that are missing.

    A registration goes missing when its entry leaves or dies, but also when
    the service was away, or out of that entry's reach, for longer than a lease
    lasts. Entries that divide a bound by the number of others would exceed it
    together while they do not count one that serves on.
    """

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._missing: dict[str, _Missing[Row]] = {}

    def next_change_at(self, now: float) -> float:
        """Returns when missing entries next count for less, in seconds."""
        ends = (
            missing.since + for_s
            for missing in self._missing.values()
            for for_s in (_RETURN_S, _COUNTED_S)
        )
        return min((end for end in ends if end > now), default=float("inf"))

    @property
    def missing(self) -> list[str]:
        """The keys of registrations that are gone and not yet forgotten."""
        return sorted(self._missing)

    def put(self, key: str, row: Row) -> None:
        """Takes a registration.

        A machine has one key, so what it ran before is over.
        """
        self._rows[key] = row
        self._missing.pop(key, None)

    def remove(self, key: str, now: float) -> None:
        """Learns that a registration is gone."""
        row = self._rows.pop(key, None)
        if row is not None:
            self._missing[key] = _Missing(row, now)

    def replace(self, rows: Mapping[str, Row], now: float) -> None:
        """Takes all registrations as they are now."""
        for key in set(self._rows) - set(rows):
            self.remove(key, now)
        for key, row in rows.items():
            self.put(key, row)

    def expire(self, now: float) -> None:
        """Forgets what has been missing for long."""
        self._missing = {
            key: missing
            for key, missing in self._missing.items()
            if now < missing.since + _COUNTED_S
        }

    def members(self, now: float) -> dict[str, Row]:
        """Returns the entries that own tasks, by their keys."""
        return {**self._missing_for(_RETURN_S, now), **self._rows}

    def sharing(self, now: float) -> dict[str, Row]:
        """Returns the entries that shares are divided by, by their keys."""
        return {**self._missing_for(_COUNTED_S, now), **self._rows}

    def _missing_for(self, seconds: float, now: float) -> dict[str, Row]:
        return {
            key: missing.row
            for key, missing in self._missing.items()
            if now < missing.since + seconds
        }
