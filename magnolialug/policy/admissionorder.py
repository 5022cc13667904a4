"""Order in which waiting prompts are admitted, and which are hopeless."""

from collections import deque
from collections.abc import Iterable

import msgspec

__all__ = [
    "GrantRate",
    "Waiting",
    "admission_order",
    "is_hopeless",
    "patience_s",
]

# Callers abandon a stream after the longest of these without an event: two
# seconds, four times the target, eight times the longest pause on time. One
# that is refused before that can come back.
_LEAST_PATIENCE_S = 2.0
_TARGETS = 4.0
_PAUSES = 8.0
# The rate of grants is taken over this time, and fewer of them than that say
# nothing.
_COUNTED_S = 2.0
_TELLING = 3
# How far ahead of its time a prompt goes that takes all of an engine's memory.
# Room for a large one comes seldom; otherwise small ones would always take it.
_SIZE_S = 5.0


class Waiting(msgspec.Struct, frozen=True):
    """A prompt in an admission queue.

    Attributes:
      number: in the order of arrival.
      priority: 0 is the most urgent.
      target_at: a first event by then is in time.
      ends_at: its caller waits no longer than that.
      size: the share of an engine's memory that it takes.
      first_event_s: expected from its grant to its first event.
    """

    number: int
    priority: int
    target_at: float
    ends_at: float
    size: float = 0.0
    first_event_s: float = 0.35

    def is_late(self, now: float) -> bool:
        """Whether its first event would be late if it were granted now."""
        return now + self.first_event_s > self.target_at


class GrantRate:
    """The rate of recent grants."""

    def __init__(self) -> None:
        self._at: deque[float] = deque()

    def record_grant(self, now: float) -> None:
        """Counts a grant."""
        self._at.append(now)

    def per_s(self, now: float) -> float | None:
        """Returns the grants in a second, None if too few have been seen."""
        while self._at and now - self._at[0] >= _COUNTED_S:
            self._at.popleft()
        if len(self._at) < _TELLING:
            return None
        return len(self._at) / _COUNTED_S


def patience_s(target_s: float, gap_s: float) -> float:
    """Returns how long a caller waits for an event before it leaves."""
    return max(_LEAST_PATIENCE_S, _TARGETS * target_s, _PAUSES * gap_s)


def admission_order(waiting: Iterable[Waiting], now: float) -> list[Waiting]:
    """Returns the prompts in the order in which they are admitted.

    Prompts that can still be in time go first, the nearest target first; then
    those that will be late, by when their callers leave. Large ones go ahead of
    their time. In the order of arrival all would wait for the whole queue, and
    once it is longer than the target none would be in time.
    """

    def key(row: Waiting) -> tuple[int, bool, float]:
        late = row.is_late(now)
        due = row.ends_at if late else row.target_at - row.first_event_s
        return row.priority, late, due - _SIZE_S * row.size

    return sorted(waiting, key=key)


def is_hopeless(row: Waiting, now: float, ahead: float, per_s: float) -> bool:
    """Whether a grant will not come while the caller waits.

    Only a prompt that will be late is hopeless: one that can still be in time
    goes ahead of all others, and grants come in bursts. A caller that is
    refused now has more time left for its retry than one that waits first.

    Args:
      ahead: prompts that are admitted before.
      per_s: grants in a second.
    """
    return row.is_late(now) and now + (ahead + 1) / per_s > row.ends_at
