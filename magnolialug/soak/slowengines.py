"""Engines that become slower, for good or in spells."""

from collections.abc import Callable, Sequence
from random import Random

from magnolialug.standin.modelserver import ModelServerStandin

__all__ = ["slow_for_good", "slow_in_spells"]

_FOR_GOOD = 1.3
# The share of engines that may be slower for good.
_MOST_SLOW = 1 / 3
_SPELL = 2.5
_SPELL_S = 0.6
_BETWEEN_S = (0.3, 1.5)
_SPELLS = (2, 5)


def slow_for_good(
    random: Random, engines: Sequence[ModelServerStandin]
) -> None:
    """Makes one engine slower, unless a third are already."""
    usual = [engine for engine in engines if engine.pace == 1.0]
    slow = len(engines) - len(usual)
    if usual and slow + 1 <= _MOST_SLOW * len(engines):
        random.choice(usual).pace = _FOR_GOOD


def slow_in_spells(
    random: Random,
    engines: Sequence[ModelServerStandin],
    later: Callable[..., None],
) -> None:
    """Makes one engine much slower for several moments.

    An engine that has spells to come is not chosen again.
    """
    usual = [engine for engine in engines if not engine.in_spells]
    if not usual:
        return
    engine = random.choice(usual)
    engine.in_spells = True
    at = end = 0.0
    for _ in range(random.randint(*_SPELLS)):
        later(at, setattr, engine, "spell", _SPELL)
        end = at + _SPELL_S
        later(end, setattr, engine, "spell", 1.0)
        at = end + random.uniform(*_BETWEEN_S)
    later(end, setattr, engine, "in_spells", False)
