"""Cost of running a prompt on one engine."""

from magnolialug.policy.engineload import EngineLoad

__all__ = ["engine_cost_s"]

# Transfers queue on the links of engines and stores, so they take longer than
# the link rates suggest.
_FETCH_QUEUE_FACTOR = 2.0
# The prompt's first engine on the ring wins a tie, so that entries without
# knowledge of each other still send returning prompts to the same engine.
_RANK_PENALTY_S = 0.004
# Weight of the prefill time beyond the caller's own wait: prefill delays all
# prompts that come after it too.
_PREFILL_WEIGHT = 1.0
# Below this free share of memory, running prompts are preempted and prefilled
# again. A prompt that would leave no free memory costs as much as a queue of
# 0.6 s.
_MIN_FREE_SHARE = 0.15
_LOW_MEMORY_PENALTY_S = 4.0


def engine_cost_s(
    load: EngineLoad,
    priority: int,
    tokens: int,
    unread: int,
    fetch_s: float,
    rank: int,
) -> float:
    """Returns the expected time to the first event plus penalties, in seconds.

    Args:
      tokens: tokens of the engine's memory that the request will take.
      unread: prompt tokens that the engine would have to prefill.
      fetch_s: time to fetch the other prompt tokens over idle links.
      rank: the engine's place among the prompt's engines on the ring.
    """
    first_s = load.first_event_s(priority, unread)
    reading_s = _PREFILL_WEIGHT * unread / load.rate
    missing = max(0.0, _MIN_FREE_SHARE - load.room(tokens))
    moving_s = _FETCH_QUEUE_FACTOR * fetch_s
    return (
        first_s
        + reading_s
        + moving_s
        + rank * _RANK_PENALTY_S
        + _LOW_MEMORY_PENALTY_S * missing
    )
