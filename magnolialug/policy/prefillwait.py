"""Estimates how long a new prompt waits for prefill at an engine."""

from collections.abc import Sequence

__all__ = ["PRIORITY_LEVELS", "prefill_wait_s"]

PRIORITY_LEVELS = 10
# Prompts of lower priority are still prefilled a little, between the chunks of
# this one, and each running request makes every step longer.
_LOWER_PRIORITY_SHARE = 0.25
_PER_RUNNING_S = 0.005


def prefill_wait_s(
    pending_prefill: Sequence[float], running: int, priority: int, rate: float
) -> float:
    """Returns the expected wait of a new prompt for prefill, in seconds.

    Args:
      pending_prefill: prompt tokens still to be prefilled, by priority, 0
        first.
      running: requests in progress.
      rate: prompt tokens that the engine prefills per second.
    """
    ahead = sum(pending_prefill[: priority + 1])
    lower = sum(pending_prefill[priority + 1 :])
    return (
        ahead + _LOWER_PRIORITY_SHARE * lower
    ) / rate + running * _PER_RUNNING_S
