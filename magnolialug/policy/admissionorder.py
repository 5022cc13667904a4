"""Admission order of waiting prompts, and which cannot meet their deadline."""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

__all__ = [
    "GrantRate",
    "WaitingPrompt",
    "admission_order",
    "cannot_meet_deadline",
    "caller_timeout_s",
]

# Callers abandon a stream after the longest of these times without an event:
# 2 s, four times the route's target, eight times its longest allowed gap
# between events. A caller that is refused earlier can retry.
_MIN_CALLER_TIMEOUT_S = 2.0
_TIMEOUT_TARGETS = 4.0
_TIMEOUT_GAPS = 8.0
# The grant rate is measured over this window. With fewer grants than
# _MIN_GRANTS in it, the rate is unknown.
_RATE_WINDOW_S = 2.0
_MIN_GRANTS = 3
# How much earlier than its due time a prompt is ordered if it takes all of an
# engine's memory; smaller prompts in proportion. Enough free memory for a large
# prompt is rare, and small prompts would otherwise always take it first.
_SIZE_LEAD_S = 5.0


class WaitingPrompt(msgspec.Struct, frozen=True):
    """A prompt in an admission queue.

    Attributes:
      number: position in the order of arrival.
      priority: 0 is the most urgent.
      target_at: latest time of a first event that is in time, in seconds.
      ends_at: time at which its caller stops waiting, in seconds.
      size: the share of an engine's memory that it takes.
      first_event_s: expected time from its admission to its first event.
    """

    number: int
    priority: int
    target_at: float
    ends_at: float
    size: float = 0.0
    first_event_s: float = 0.35

    def is_late(self, now: float) -> bool:
        """Whether its first event would be late if it were admitted now."""
        return now + self.first_event_s > self.target_at


class GrantRate:
    """The rate of recent admissions to one engine."""

    def __init__(self) -> None:
        self._at: deque[float] = deque()

    def record_grant(self, now: float) -> None:
        """Records an admission."""
        self._at.append(now)

    def per_s(self, now: float) -> float | None:
        """Returns the grants per second, None with too few in the window."""
        while self._at and now - self._at[0] >= _RATE_WINDOW_S:
            self._at.popleft()
        if len(self._at) < _MIN_GRANTS:
            return None
        return len(self._at) / _RATE_WINDOW_S


def caller_timeout_s(target_s: float, gap_s: float) -> float:
    """Returns how long a caller waits for an event before it disconnects."""
    return max(
        _MIN_CALLER_TIMEOUT_S,
        _TIMEOUT_TARGETS * target_s,
        _TIMEOUT_GAPS * gap_s,
    )


def admission_order(
    waiting: Iterable[WaitingPrompt],
    now: float,
    leads_s: Mapping[int, float] | None = None,
) -> list[WaitingPrompt]:
    """Returns the prompts in the order in which they are admitted.

    Prompts that can still be in time go first, the nearest target first; then
    those that will be late, by the time at which their callers disconnect.
    Large prompts are ordered earlier than their due time. In order of arrival
    every prompt would wait for the whole queue, and once the queue is longer
    than the target none would be in time.

    Args:
      leads_s: how much earlier some prompts are ordered, by their number. A
        lead changes neither the priority nor whether a prompt is late.
    """
    leads_s = leads_s or {}

    def key(row: WaitingPrompt) -> tuple[int, bool, float]:
        late = row.is_late(now)
        due = row.ends_at if late else row.target_at - row.first_event_s
        due -= leads_s.get(row.number, 0.0)
        return row.priority, late, due - _SIZE_LEAD_S * row.size

    return sorted(waiting, key=key)


def cannot_meet_deadline(
    row: WaitingPrompt, now: float, ahead: float, per_s: float
) -> bool:
    """Whether the prompt will not be admitted before its caller disconnects.

    Only a prompt that will be late can be refused for this: one that can still
    be in time goes ahead of all late ones, and grants come in bursts. A caller
    that is refused at once has more time left for a retry.

    Args:
      ahead: prompts that are admitted before this one.
      per_s: grants per second.
    """
    return row.is_late(now) and now + (ahead + 1) / per_s > row.ends_at
