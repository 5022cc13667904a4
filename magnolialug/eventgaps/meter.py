"""Measures the pauses between the events that one caller gets."""

from collections.abc import Callable

from magnolialug.eventgaps.eventcounter import EventCounter

__all__ = ["GapMeter"]


class GapMeter:
    """Follows one answer over all of its attempts.

    Time in which the caller does not read belongs to no pause.

    Attributes:
      events: how many events the caller has.
      first_at: when it got the first, None before that.
      longest_s: the longest pause between two events.
      longest_after: the number of the event before that pause, from 1.
      reader_paused_s: for how long the caller did not read.

    Args:
      clock: returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self.events = 0
        self.first_at: float | None = None
        self.longest_s = 0.0
        self.longest_after = 0
        self.reader_paused_s = 0.0
        self._clock = clock
        self._counter = EventCounter()
        self._last_at = 0.0
        self._reader_paused_since: float | None = None
        self._reader_paused_in_gap_s = 0.0

    def record(self, data: bytes) -> None:
        """Counts the events in a piece that the caller's connection got."""
        ended = self._counter.feed(data)
        if not ended:
            return
        now = self._clock()
        self._end_gap(now)
        if self.first_at is None:
            self.first_at = now
        self.events += ended
        self._last_at = now
        self._reader_paused_in_gap_s = 0.0

    def pause(self) -> None:
        """Records that the caller does not read."""
        if self._reader_paused_since is None:
            self._reader_paused_since = self._clock()

    def resume(self) -> None:
        """Records that the caller reads again."""
        self._add_reader_pause(self._clock())
        self._reader_paused_since = None

    def break_off(self) -> None:
        """Counts the pause under way, which no event will end."""
        self._end_gap(self._clock())

    def _end_gap(self, now: float) -> None:
        self._add_reader_pause(now)
        if not self.events:
            return
        gap_s = now - self._last_at - self._reader_paused_in_gap_s
        if gap_s > self.longest_s:
            self.longest_s = gap_s
            self.longest_after = self.events

    def _add_reader_pause(self, now: float) -> None:
        """Counts the time since which the caller does not read, if any."""
        if self._reader_paused_since is None:
            return
        paused_s = now - self._reader_paused_since
        self.reader_paused_s += paused_s
        self._reader_paused_in_gap_s += paused_s
        self._reader_paused_since = now
