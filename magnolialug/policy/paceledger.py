"""Pace of one start of an engine, as all entries measure it together."""

import math

import msgspec

from magnolialug.policy.enginepace import EnginePace, bounded, merge_paces

__all__ = ["PaceLedger"]

# After eight half-lives a report weighs nothing.
_REPORT_MAX_AGE_S = 2.0
# Fewer samples say more about their own prompts than about the engine.
_MIN_SAMPLES = 3
# Ages are whole milliseconds, and datagrams take unequally long.
_SAME_SAMPLE_S = 0.01
# How far a report moves the usual pace: this share of the difference, which
# counts up to a factor. An engine that is slow for a moment is much slower.
_USUAL_SMOOTHING = 0.05
_MAX_STEP = math.log(1.35)
# The usual pace learns from one entry this often, so that none can set it.
_LEARN_INTERVAL_S = 0.5
# An engine counts as slow if prompts take over half as long again. Hysteresis
# keeps one at the limit from being reported again and again.
_SLOW_FACTOR = 1.6
_BACK_FACTOR = 1.25
# Placements and admissions within this time use the same merged pace.
_MERGE_INTERVAL_S = 0.02
_VALUES = ("tokens_per_s", "event_ms", "event_tokens")


class _Report(msgspec.Struct):
    """An entry's newest report.

    Attributes:
      measured_at: when the newest of its samples was taken.
      learned_at: when the usual pace learned from this entry.
    """

    pace: EnginePace
    measured_at: float
    learned_at: float = float("-inf")


class PaceLedger:
    """Merges the paces that entries report.

    Attributes:
      usual: where the pace stands most of the time, None if not known yet.
    """

    def __init__(self) -> None:
        self.usual: EnginePace | None = None
        self._usual_at = float("-inf")
        self._learned = 0
        self._reports: dict[str, _Report] = {}
        self._merged: EnginePace | None = None
        self._merged_at = float("-inf")
        self._slow = False

    def record(self, entry: str, pace: EnginePace, now: float) -> None:
        """Records an entry's pace, if it has newer samples than before."""
        pace = bounded(pace)
        measured_at = now - pace.age_ms / 1000
        if not pace.samples or now - measured_at > _REPORT_MAX_AGE_S:
            return
        before = self._reports.get(entry)
        if before and measured_at <= before.measured_at + _SAME_SAMPLE_S:
            return
        learned_at = before.learned_at if before else float("-inf")
        report = _Report(pace, measured_at, learned_at)
        self._reports[entry] = report
        self._usual_at = max(self._usual_at, measured_at)
        if self.usual is None:
            self._begin(now)
        elif now - learned_at >= _LEARN_INTERVAL_S:
            report.learned_at = now
            self._learn(pace)

    def pace(self, now: float) -> EnginePace | None:
        """Returns the merged pace, None with too few samples so far."""
        if self.usual is None:
            return None
        if now - self._merged_at >= _MERGE_INTERVAL_S:
            usual = msgspec.structs.replace(
                self.usual, age_ms=_ms(now - self._usual_at)
            )
            self._merged = merge_paces(self._aged(now), usual)
            self._merged_at = now
        return self._merged

    def drop_expired(self, now: float) -> None:
        """Drops reports that weigh nothing any more."""
        for entry, report in list(self._reports.items()):
            if now - report.measured_at > _REPORT_MAX_AGE_S:
                del self._reports[entry]

    def take_change(self, now: float) -> bool | None:
        """Returns whether the engine has become slow, or is no longer.

        Returns:
          None if neither since the last call.
        """
        pace = self.pace(now)
        if pace is None or not pace.tokens_per_s:
            return None
        factor = self.usual.tokens_per_s / pace.tokens_per_s
        slow = factor > (_BACK_FACTOR if self._slow else _SLOW_FACTOR)
        if slow == self._slow:
            return None
        self._slow = slow
        return slow

    def _begin(self, now: float) -> None:
        """Sets the usual pace once there are enough samples."""
        if sum(row.pace.samples for row in self._reports.values()) < (
            _MIN_SAMPLES
        ):
            return
        self._learned = len(self._reports)
        self.usual = merge_paces(self._aged(now))

    def _learn(self, pace: EnginePace) -> None:
        self._learned += 1
        share = max(_USUAL_SMOOTHING, 1 / self._learned)
        self.usual = msgspec.structs.replace(
            self.usual,
            samples=self._learned,
            **{
                value: _step(
                    getattr(self.usual, value), getattr(pace, value), share
                )
                for value in _VALUES
            },
        )

    def _aged(self, now: float) -> list[EnginePace]:
        return [
            msgspec.structs.replace(row.pace, age_ms=_ms(now - row.measured_at))
            for row in self._reports.values()
        ]


def _step(usual: int, newest: int, share: float) -> int:
    """Returns a usual value after a new one; 0 stands for unknown."""
    if not usual or not newest:
        return usual or newest
    step = math.log(newest / usual)
    step = max(-_MAX_STEP, min(_MAX_STEP, step))
    return round(usual * math.exp(share * step))


def _ms(seconds: float) -> int:
    return round(max(0.0, seconds) * 1000)
