"""Consistent-hash ring that assigns an owner to each endpoint."""

from collections.abc import Callable, Mapping

import msgspec

from magnolialug.carrier.pool import Address
from magnolialug.policy.ring import Ring

__all__ = ["FIRST", "OwnerRing"]

# Entries that may own a task, the later ones when those before do not answer.
# With three, and a quarter of the entries dead, one task in sixty-four has no
# owner until their leases expire.
FIRST = 3
# An owner that has not answered is left out until it answers a probe, so that
# requests do not wait for it. Pauses between probes double.
_FIRST_PROBE_S = 0.5
_LONGEST_PROBE_S = 4.0


class _Missing(msgspec.Struct):
    """An entry that does not answer."""

    probe_at: float
    pause_s: float = _FIRST_PROBE_S


class OwnerRing:
    """Assigns the same owner to a task at every entry.

    The ring holds the registered entries. While two entries disagree on them,
    or one cannot reach an owner, an endpoint has two owners that each know a
    part of its load. Estimates get worse then, and nothing else.

    Args:
      me: this entry's own address.
    """

    def __init__(self, me: Address, clock: Callable[[], float]):
        self.me = me
        self._clock = clock
        self._ring = Ring([_name(me)])
        self._addresses = {_name(me): me}
        self._missing: dict[Address, _Missing] = {}
        self._owners: dict[str, tuple[Address, ...]] = {}

    def entries(self, weights: Mapping[Address, float]) -> bool:
        """Takes the registered entries, with the cores that each has.

        Returns:
          whether that changed anything.
        """
        weights = {self.me: weights.get(self.me, 1.0), **weights}
        addresses = {_name(address): address for address in weights}
        ring = Ring(
            addresses,
            {name: weights[address] for name, address in addresses.items()},
        )
        if ring == self._ring:
            return False
        self._ring = ring
        self._addresses = addresses
        self._owners.clear()
        for gone in set(self._missing) - set(weights):
            del self._missing[gone]
        return True

    @property
    def others(self) -> list[Address]:
        """All other registered entries."""
        return [a for a in self._addresses.values() if a != self.me]

    def owner(self, task: str) -> Address:
        """Returns the entry that keeps the ledger of an endpoint or store."""
        first = self.first(task)
        there = (row for row in first if row not in self._missing)
        return next(there, first[0])

    def rank(self, task: str) -> int:
        """Returns this entry's place among the first for a task.

        It is FIRST for one that is not among them.
        """
        first = self.first(task)
        return first.index(self.me) if self.me in first else FIRST

    def first(self, task: str) -> tuple[Address, ...]:
        """Returns the entries that take a task, the first choice first."""
        found = self._owners.get(task)
        if found is None:
            names = self._ring.candidates(task, FIRST)
            found = tuple(self._addresses[name] for name in names)
            self._owners[task] = found
        return found

    def missed(self, address: Address) -> None:
        """Records that an entry has not answered."""
        probe_at = self._clock() + _FIRST_PROBE_S
        self._missing.setdefault(address, _Missing(probe_at))

    def heard(self, address: Address) -> None:
        """Records that an entry answers."""
        self._missing.pop(address, None)

    def due(self) -> list[Address]:
        """Returns entries that do not answer and are to be probed now."""
        now = self._clock()
        due = [a for a, row in self._missing.items() if now >= row.probe_at]
        for address in due:
            row = self._missing[address]
            row.pause_s = min(_LONGEST_PROBE_S, 2 * row.pause_s)
            row.probe_at = now + row.pause_s
        return due


def _name(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
