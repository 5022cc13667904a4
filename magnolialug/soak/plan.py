"""Which faults a soak draws from, and when they begin."""

from collections.abc import Sequence
from random import Random

from magnolialug.soak.faults import FAULTS

__all__ = ["kinds_of", "plan"]

_GAP_S = 0.7
_SERIES = 3
_FIRST_SEED_OF_ALL = 1000
_LATER_KINDS = (
    "restart_endpoint",
    "restart_part_store",
    "foreign_entries",
    "harmful_request",
)
# Drawn from this seed on.
_FIRST_SEED_OF_ZONES = 3000
_ZONE_KINDS = ("evacuate_zone",)
_FIRST_SEED_OF_LEAVING = 4000
_LEAVING_KINDS = ("leave_unannounced",)
_FIRST_SEED_OF_LIMITS = 10_000
_LIMIT_KINDS = ("limit_endpoint",)
_FIRST_SEED_OF_CATCH_UPS = 11_000
_CATCH_UP_KINDS = ("store_loses_catch_ups",)
_FIRST_SEED_OF_FRAMINGS = 12_000
_FRAMING_KINDS = ("break_off_streams",)
_FIRST_SEED_OF_RELEASES = 13_000
_RELEASE_KINDS = ("release_software",)
_FIRST_SEED_OF_PARTS = 14_000
_PART_KINDS = ("harmful_part", "flood_machine")


def kinds_of(seed: int) -> tuple[str, ...]:
    """Returns the kinds of fault that a seed draws from.

    Seeds below a thousand have been played and recorded with the first kinds;
    with more to draw from each would play another run, and a fault that one
    has found would go unwatched. For the same reason kinds keep their names:
    they are drawn in the order of these.
    """
    left_out: tuple[str, ...] = ()
    if seed < _FIRST_SEED_OF_PARTS:
        left_out += _PART_KINDS
    if seed < _FIRST_SEED_OF_RELEASES:
        left_out += _RELEASE_KINDS
    if seed < _FIRST_SEED_OF_FRAMINGS:
        left_out += _FRAMING_KINDS
    if seed < _FIRST_SEED_OF_CATCH_UPS:
        left_out += _CATCH_UP_KINDS
    if seed < _FIRST_SEED_OF_LIMITS:
        left_out += _LIMIT_KINDS
    if seed < _FIRST_SEED_OF_LEAVING:
        left_out += _LEAVING_KINDS
    if seed < _FIRST_SEED_OF_ZONES:
        left_out += _ZONE_KINDS
    if seed < _FIRST_SEED_OF_ALL:
        left_out += _LATER_KINDS
    return tuple(name for name in FAULTS if name not in left_out)


def plan(
    random: Random, seconds: float, only: Sequence[str] = ()
) -> list[tuple[float, str]]:
    """Returns when which fault begins; some come in series, many overlap.

    Args:
      only: the kinds to choose from, none for all.
    """
    at = 0.5
    rows = []
    names = sorted(only or FAULTS)
    while at < seconds:
        name = random.choice(names)
        repeats = random.randint(2, _SERIES) if random.random() < 0.3 else 1
        for number in range(repeats):
            rows.append((at + number * random.uniform(0.3, 1.5), name))
        at += random.expovariate(1 / _GAP_S)
    return sorted(row for row in rows if row[0] < seconds)
