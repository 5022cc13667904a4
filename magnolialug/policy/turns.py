"""Which waiting prompt goes to an engine next, and which waits in vain."""

from collections.abc import Iterable

import msgspec

__all__ = ["Waiting", "in_turn", "patience_s"]

# Callers abandon a stream after the longest of these without an event: two
# seconds, four times the target, eight times the longest pause on time. One
# that is refused before that can come back.
_LEAST_PATIENCE_S = 2.0
_TARGETS = 4.0
_PAUSES = 8.0
# How far ahead of its time a prompt goes that takes all of an engine's memory.
# Room for a large one comes seldom, and small ones took it as soon as it came:
# the largest tenth of the long prompts earned 0.30 of its worth on a day on
# which all of them earned 0.65. Worst class of three sets of heavy days: 0.55,
# 0.49, 0.64 with nothing, 0.61, 0.54, 0.72 with this and nobody overtaking.
_SIZE_S = 5.0


class Waiting(msgspec.Struct, frozen=True):
    """A prompt that waits for room.

    Attributes:
      number: in the order of arrival.
      priority: 0 is the most urgent.
      target_at: a first event by then is in time.
      ends_at: its caller waits no longer than that.
      size: the share of an engine's memory that it takes.
    """

    number: int
    priority: int
    target_at: float
    ends_at: float
    size: float = 0.0


def patience_s(target_s: float, gap_s: float) -> float:
    """Returns how long a caller waits for an event before it leaves."""
    return max(_LEAST_PATIENCE_S, _TARGETS * target_s, _PAUSES * gap_s)


def in_turn(
    waiting: Iterable[Waiting], now: float, first_event_s: float
) -> list[Waiting]:
    """Returns the prompts in the order in which they may go.

    Who can still be in time goes first, the nearest target first; then those
    who will be late, the one first whose caller leaves first; large ones ahead
    of their time. In the order of
    arrival everybody would wait as long as the queue is, and as soon as that
    is longer than the target nobody would be in time.

    Args:
      first_event_s: expected from a prompt's turn to its first event.
    """

    def key(row: Waiting) -> tuple[int, bool, float]:
        late = now + first_event_s > row.target_at
        due = row.ends_at if late else row.target_at
        return row.priority, late, due - _SIZE_S * row.size

    return sorted(waiting, key=key)
