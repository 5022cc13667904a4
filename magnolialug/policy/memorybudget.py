"""Counts what a process holds for callers, and decides what there is room for.

Whoever holds something has a charge, and sets it to what it holds now. A charge
that is set again replaces its former size, so that no way out counts twice.
"""

import msgspec

__all__ = [
    "DEFAULT_MEMORY_MB",
    "SMALL_BYTES",
    "Charge",
    "MemoryBudget",
    "budget_bytes",
]

# Of an endpoint's VM; entries and sidecars are told otherwise by a flag.
DEFAULT_MEMORY_MB = 232.0

# Share of a process's memory for callers. The rest is for the program, for what
# it knows of the platform, and for the gaps that an allocator leaves.
_CALLERS_SHARE = 0.45
# What the program and its knowledge of the platform take before any caller.
_OWN_BYTES = 75 * 1024 * 1024
_LEAST_BYTES = 8 * 1024 * 1024
# Requests up to this size are ordinary. Larger ones leave them some room.
SMALL_BYTES = 64 * 1024
_LARGE_SHARE = 0.75
# Share for answers that are read ahead of their callers, of all and of one. The
# rest is for requests.
_AHEAD_SHARE = 0.5
_LONE_AHEAD_SHARE = 0.125


def budget_bytes(memory_mb: float) -> int:
    """Returns how much of a process's memory callers may take."""
    memory = int(memory_mb * 1024 * 1024)
    share = min(int(memory * _CALLERS_SHARE), memory - _OWN_BYTES)
    return max(share, _LEAST_BYTES)


class Charge(msgspec.Struct, eq=False):
    """What one holder holds.

    Attributes:
      large: whether it counts among the large ones.
    """

    size: int = 0
    large: bool = False


class MemoryBudget:
    """The sum of all charges, and its limit.

    Attributes:
      limit_bytes: the most that all charges should be.
      held_bytes: what they are.
      large_bytes: what the large ones among them are.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.large_bytes = 0

    def set(self, charge: Charge, size: int) -> None:
        """Records what a holder holds now."""
        grown = size - charge.size
        if charge.large:
            self.large_bytes += grown
        elif size > SMALL_BYTES:
            charge.large = True
            self.large_bytes += size
        charge.size = size
        self.held_bytes += grown

    def release(self, charge: Charge) -> None:
        """Records that a holder holds nothing any more."""
        self.set(charge, 0)
        charge.large = False

    def excess(self, charge: Charge, size: int) -> int:
        """Returns how many bytes are missing for a charge to have a size.

        The only large charge is let through if it is within the limit by
        itself, or no process could serve the largest request.
        """
        grown = size - charge.size
        missing = self.held_bytes + grown - self.limit_bytes
        if size <= SMALL_BYTES:
            return max(0, missing)
        if not self._other_large_bytes(charge):
            return 0
        return max(0, missing, self._large_excess(charge, size))

    def has_room_ahead(self, charge: Charge) -> bool:
        """Whether more may be held of what its holder is not ready for."""
        return (
            self.held_bytes < self.limit_bytes * _AHEAD_SHARE
            and charge.size < self.limit_bytes * _LONE_AHEAD_SHARE
        )

    def lacks_large_room(self, charge: Charge, size: int) -> bool:
        """Whether the large charges leave no room for one of a size."""
        return self._large_excess(charge, size) > 0

    def _other_large_bytes(self, charge: Charge) -> int:
        return self.large_bytes - (charge.size if charge.large else 0)

    def _large_excess(self, charge: Charge, size: int) -> int:
        large_limit = int(self.limit_bytes * _LARGE_SHARE)
        return self._other_large_bytes(charge) + size - large_limit
