"""Slot limits of an endpoint by the priority of a request."""

__all__ = ["fetch_ahead", "in_time", "slot_free", "usable_slots"]

_RESERVED_DIVISOR = 8
_FETCH_AHEAD_DIVISOR = 2


def slot_free(running: int, slots: int, priority: int) -> bool:
    """Whether a request may start.

    Long drafts would otherwise occupy every slot for their whole response, and
    a short check would wait for one of them to end. So a share of the slots is
    reserved for the most urgent kinds.

    Args:
      running: number of slots in use.
      slots: total number of slots.
      priority: 0 for the most urgent kinds.
    """
    return running < usable_slots(slots, priority)


def fetch_ahead(running: int, fetching: int, slots: int, priority: int) -> bool:
    """Whether another request's cache may be fetched.

    A slot is a place in the endpoint's batch. Requests that occupied a slot
    while their cache came over a slow link kept the endpoint idle, and under
    overload the fleet's capacity was lost to waiting. So the cache is fetched
    before a slot is taken, for a few requests more than there are free slots.

    Args:
      running: number of slots in use.
      fetching: requests whose cache is being fetched or has been fetched.
      slots: total number of slots.
      priority: 0 for the most urgent kinds.
    """
    ahead = max(1, slots // _FETCH_AHEAD_DIVISOR)
    return running + fetching < usable_slots(slots, priority) + ahead


def in_time(
    now: float, deadline: float, tokens_before: int, rate: float
) -> bool:
    """Whether a first token can still arrive by its deadline.

    Under overload, a request that starts just before its deadline gets its
    first token after it: the work is wasted, and the next request is delayed
    even more.

    Args:
      now: seconds on the clock of the deadline.
      deadline: latest time of the first token.
      tokens_before: prompt tokens to prefill before the first token, the
        request's own included.
      rate: prompt tokens per second.
    """
    return now + tokens_before / rate <= deadline


def usable_slots(slots: int, priority: int) -> int:
    """Returns the number of slots that requests of a priority may use."""
    return slots - (slots // _RESERVED_DIVISOR if priority > 0 else 0)
