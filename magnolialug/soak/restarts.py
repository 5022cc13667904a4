"""Endpoints that end and start again at once, several at a time."""

from collections.abc import Callable, Sequence
from random import Random

from magnolialug.soak.slot import Slot

__all__ = ["RESTARTS_S", "choose_slots", "restart_thrice"]

_SHARE = 1 / 3
_TIMES = 3
_BETWEEN_S = 1.5
# From the first restart to the last.
RESTARTS_S = (_TIMES - 1) * _BETWEEN_S


def choose_slots(random: Random, slots: Sequence[Slot]) -> list[Slot]:
    """Returns a third of the slots, but never all of a service."""
    chosen: list[Slot] = []
    for slot in random.sample(slots, len(slots)):
        others = [
            other
            for other in slots
            if other.service == slot.service and other not in chosen
        ]
        if len(others) > 1 and len(chosen) + 1 <= _SHARE * len(slots):
            chosen.append(slot)
    return chosen


def restart_thrice(
    slots: Sequence[Slot],
    restart: Callable[[Slot], None],
    later: Callable[..., None],
) -> None:
    """Lets endpoints start again, all at once, three times in a row.

    Args:
      restart: ends what is behind an address, and starts another there.
    """
    for number in range(_TIMES):
        for slot in slots:
            later(number * _BETWEEN_S, restart, slot)
