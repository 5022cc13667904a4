"""What it costs to have a prompt answered by one engine."""

from magnolialug.policy.engineload import EngineLoad

__all__ = ["engine_cost_s"]

# Transfers queue on the links of engines and stores, so they take longer than
# the links' rates say.
_FETCH_QUEUE = 2.0
# A prompt's first engine on the ring wins a tie, so that entries which know
# nothing of each other still send returning prompts to the same engine.
_RANK_S = 0.004
# Tokens that one prompt has read keep the engine from all that come after it,
# so they cost more than their own caller's wait.
_READ_AGAIN = 1.0
# Below this free share of memory running prompts are preempted and read again;
# a prompt that would leave none costs as much as a queue of 0.6 s.
_ROOM = 0.15
_ROOM_S = 4.0


def engine_cost_s(
    load: EngineLoad,
    priority: int,
    tokens: int,
    unread: int,
    fetch_s: float,
    rank: int,
) -> float:
    """Returns the expected seconds to the first event, and what else counts.

    Args:
      tokens: that the request will take of the engine's memory.
      unread: prompt tokens that the engine would have to read.
      fetch_s: time to bring the others over idle links.
      rank: the engine's place among the prompt's engines on the ring.
    """
    first_s = load.first_event_s(priority, unread)
    reading_s = _READ_AGAIN * unread / load.rate
    missing = max(0.0, _ROOM - load.room(tokens))
    moving_s = _FETCH_QUEUE * fetch_s
    return first_s + reading_s + moving_s + rank * _RANK_S + _ROOM_S * missing
