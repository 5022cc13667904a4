"""Consistent-hash ring that assigns an owner to each endpoint."""

from collections.abc import Callable, Mapping

import msgspec

from magnolialug.carrier.pool import Address
from magnolialug.policy.ring import Ring

__all__ = ["OWNER_CANDIDATES", "OwnerRing"]

# Entries that may own a task; later ones take over when earlier ones do not
# answer. With three, and a quarter of the entries dead, one task in sixty-four
# has no owner until their leases expire.
OWNER_CANDIDATES = 3
# An owner that has not answered is excluded until it answers a probe, so that
# requests do not wait for it. The delay between probes doubles.
_FIRST_PROBE_DELAY_S = 0.5
_MAX_PROBE_DELAY_S = 4.0


class _Unresponsive(msgspec.Struct):
    """An entry that does not answer."""

    probe_at: float
    pause_s: float = _FIRST_PROBE_DELAY_S


class OwnerRing:
    """Assigns the same owner to a task at every entry.

    The ring holds the registered entries. While two entries have different sets
    of them, or one cannot reach an owner, an endpoint has two owners that each
    know a part of its load. This only makes load estimates less accurate.

    Args:
      me: this entry's own address.
    """

    def __init__(self, me: Address, clock: Callable[[], float]):
        self.me = me
        self._clock = clock
        self._ring = Ring([_name(me)])
        self._addresses = {_name(me): me}
        self._unresponsive: dict[Address, _Unresponsive] = {}
        self._owners: dict[str, tuple[Address, ...]] = {}

    def entries(self, weights: Mapping[Address, float]) -> bool:
        """Sets the registered entries, with the cores of each.

        Returns:
          Whether the ring has changed.
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
        for gone in set(self._unresponsive) - set(weights):
            del self._unresponsive[gone]
        return True

    @property
    def others(self) -> list[Address]:
        """All other registered entries."""
        return [a for a in self._addresses.values() if a != self.me]

    @property
    def responsive_share(self) -> float:
        """The share of the entries, this one included, that answer."""
        silent = len(self._unresponsive.keys() - {self.me})
        return 1.0 - silent / len(self._addresses)

    def owner(self, task: str) -> Address:
        """Returns the owner of an endpoint or store."""
        candidates = self.owner_candidates(task)
        responsive = (
            row for row in candidates if row not in self._unresponsive
        )
        return next(responsive, candidates[0])

    def rank(self, task: str) -> int:
        """Returns this entry's index among the candidates for a task.

        It is OWNER_CANDIDATES if this entry is not a candidate.
        """
        candidates = self.owner_candidates(task)
        return (
            candidates.index(self.me)
            if self.me in candidates
            else OWNER_CANDIDATES
        )

    def owner_candidates(self, task: str) -> tuple[Address, ...]:
        """Returns the entries that may own a task, in order of preference."""
        found = self._owners.get(task)
        if found is None:
            found = self._owners[task] = self.transient_candidates(task)
        return found

    def transient_candidates(self, task: str) -> tuple[Address, ...]:
        """Returns the same as owner_candidates, without caching it.

        For tasks that are seldom looked up twice, such as requests.
        """
        names = self._ring.candidates(task, OWNER_CANDIDATES)
        return tuple(self._addresses[name] for name in names)

    def is_responsive(self, address: Address) -> bool:
        """Whether an entry has answered lately, as far as is known."""
        return address not in self._unresponsive

    def mark_unresponsive(self, address: Address) -> None:
        """Records that an entry of the ring has not answered."""
        if _name(address) not in self._addresses:
            return
        probe_at = self._clock() + _FIRST_PROBE_DELAY_S
        self._unresponsive.setdefault(address, _Unresponsive(probe_at))

    def mark_responsive(self, address: Address) -> None:
        """Records that an entry has answered."""
        self._unresponsive.pop(address, None)

    def due_probes(self) -> list[Address]:
        """Returns unresponsive entries that are due for a probe."""
        now = self._clock()
        due = [
            a for a, row in self._unresponsive.items() if now >= row.probe_at
        ]
        for address in due:
            row = self._unresponsive[address]
            row.pause_s = min(_MAX_PROBE_DELAY_S, 2 * row.pause_s)
            row.probe_at = now + row.pause_s
        return due


def _name(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
