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
    """Makes one engine much slower for several moments."""
    usual = [engine for engine in engines if engine.spell == 1.0]
    if not usual:
        return
    engine = random.choice(usual)
    at = 0.0
    for _ in range(random.randint(*_SPELLS)):
        later(at, setattr, engine, "spell", _SPELL)
        later(at + _SPELL_S, setattr, engine, "spell", 1.0)
        at += _SPELL_S + random.uniform(*_BETWEEN_S)
