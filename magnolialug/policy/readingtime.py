"""How long an engine reads before a new prompt's turn."""

from collections.abc import Sequence

__all__ = ["PRIORITIES", "reading_s"]

PRIORITIES = 10
# What is ranked behind a prompt is still read a little, between its chunks,
# and each running request makes every step longer.
_BEHIND_SHARE = 0.25
_RUNNING_S = 0.005


def reading_s(
    reading: Sequence[float], running: int, priority: int, rate: float
) -> float:
    """Returns the expected time until a new prompt is read.

    Args:
      reading: prompt tokens still to be read, by priority, 0 first.
      running: requests under way.
      rate: prompt tokens that the engine reads in a second.
    """
    ahead = sum(reading[: priority + 1])
    behind = sum(reading[priority + 1 :])
    return (ahead + _BEHIND_SHARE * behind) / rate + running * _RUNNING_S
