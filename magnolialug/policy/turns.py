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


class Waiting(msgspec.Struct, frozen=True):
    """A prompt that waits for room.

    Attributes:
      number: in the order of arrival.
      priority: 0 is the most urgent.
      target_at: a first event by then is in time.
      ends_at: its caller waits no longer than that.
    """

    number: int
    priority: int
    target_at: float
    ends_at: float


def patience_s(target_s: float, gap_s: float) -> float:
    """Returns how long a caller waits for an event before it leaves."""
    return max(_LEAST_PATIENCE_S, _TARGETS * target_s, _PAUSES * gap_s)


def in_turn(
    waiting: Iterable[Waiting], now: float, first_event_s: float
) -> list[Waiting]:
    """Returns the prompts in the order in which they may go.

    Who can still be in time goes first, the nearest target first; then those
    who will be late, the one first whose caller leaves first. In the order of
    arrival everybody would wait as long as the queue is, and as soon as that
    is longer than the target nobody would be in time.

    Args:
      first_event_s: expected from a prompt's turn to its first event.
    """

    def key(row: Waiting) -> tuple[int, bool, float]:
        late = now + first_event_s > row.target_at
        return row.priority, late, row.ends_at if late else row.target_at

    return sorted(waiting, key=key)
