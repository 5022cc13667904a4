"""Whether a streamed answer was on time, and what made it late."""

import enum

__all__ = ["Lateness", "are_gaps_in_time", "lateness"]


class Lateness(enum.Enum):
    """What made an answer late."""

    ON_TIME = ""
    FIRST_EVENT = "first_event"
    GAP = "gap"
    BOTH = "both"


def are_gaps_in_time(longest_gap_s: float, gap_s: float) -> bool:
    """Whether the longest pause of an answer is within its route's bound.

    Args:
      gap_s: of the route, 0 if it names none.
    """
    return not gap_s or longest_gap_s <= gap_s


def lateness(
    first_s: float, longest_gap_s: float, target_s: float, gap_s: float
) -> Lateness:
    """Returns what made an answer late, if anything did.

    Args:
      first_s: from the request to its first event.
      target_s: of the route, for the first event.
      gap_s: of the route, for a pause; 0 if it names none.
    """
    first_late = first_s > target_s
    gap_late = not are_gaps_in_time(longest_gap_s, gap_s)
    if first_late and gap_late:
        return Lateness.BOTH
    if first_late:
        return Lateness.FIRST_EVENT
    return Lateness.GAP if gap_late else Lateness.ON_TIME
