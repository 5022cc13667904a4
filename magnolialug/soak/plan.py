"""Which faults a soak draws from, and when they begin."""

from collections.abc import Sequence
from random import Random

from magnolialug.soak.faults import FAULTS

__all__ = ["kinds_of", "plan"]

_GAP_S = 0.7
_SERIES = 3
# The first seed that draws from each of the later kinds.
_FIRST_SEEDS: dict[int, tuple[str, ...]] = {
    1000: (
        "restart_endpoint",
        "restart_part_store",
        "foreign_entries",
        "harmful_request",
    ),
    3000: ("evacuate_zone",),
    4000: ("leave_unannounced",),
    10_000: ("limit_endpoint",),
    11_000: ("store_loses_catch_ups",),
    12_000: ("break_off_streams",),
    13_000: ("release_software",),
    14_000: ("harmful_part", "flood_machine"),
    15_000: ("silence_endpoints", "change_idle_limit"),
    16_000: ("announce_leaving", "ask_for_rest"),
    18_000: (
        "wave_of_long_prompts",
        "slow_engine",
        "slow_spells",
        "restart_several",
    ),
    19_000: ("unreadable_entries",),
}


def kinds_of(seed: int) -> tuple[str, ...]:
    """Returns the kinds of fault that a seed draws from.

    Seeds below a thousand have been played and recorded with the first kinds;
    with more to draw from each would play another run, and a fault that one
    has found would go unwatched. For the same reason kinds keep their names:
    they are drawn in the order of these.
    """
    left_out = {
        name
        for first_seed, names in _FIRST_SEEDS.items()
        if seed < first_seed
        for name in names
    }
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
