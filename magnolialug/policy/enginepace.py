"""Measured pace of one start of a model engine."""

from collections.abc import Iterable, Sequence

import msgspec

__all__ = [
    "DEFAULT_EVENT_S",
    "MAX_RATE_TOKENS_PER_S",
    "MIN_RATE_TOKENS_PER_S",
    "EnginePace",
    "bounded",
    "expected_pause_s",
    "merge_paces",
    "recency",
    "weighted_median",
]

# Assumed time between two events of a stream at an engine that reads nothing.
DEFAULT_EVENT_S = 0.05
# Bounds of what is measured or reported. An engine outside of them is not slow
# or fast but broken, which other signs tell.
MIN_RATE_TOKENS_PER_S = 5_000
MAX_RATE_TOKENS_PER_S = 120_000
_RATES = (MIN_RATE_TOKENS_PER_S, MAX_RATE_TOKENS_PER_S)
_EVENT_MS = (2, 1_000)
_EVENT_TOKENS = (256, 1 << 17)
# Latency targets are fractions of a second: what was measured earlier says
# little about the engine that a new prompt meets.
_HALF_LIFE_S = 0.25
# One entry's report counts for at most this many samples, whatever it claims.
# With the weight of the usual pace, one fresh sample of any other entry
# outweighs a false report.
_MAX_WEIGHT = 2
# More than one sample, less than two that agree.
_USUAL_WEIGHT = 1.2


class EnginePace(msgspec.Struct, frozen=True, array_like=True):
    """How fast an engine reads prompts and writes answers.

    Attributes:
      tokens_per_s: prompt tokens that it reads per second, 0 if not known.
      event_ms: time between two events of a stream while it reads nothing, 0
        if not known.
      samples: number of measurements.
      age_ms: time since the newest of them.
      event_tokens: prompt tokens that it reads at most between two events of a
        stream, 0 if not known.
    """

    tokens_per_s: int
    event_ms: int
    samples: int
    age_ms: int
    event_tokens: int = 0


def bounded(pace: EnginePace) -> EnginePace:
    """Returns a pace with each known value within its bounds."""
    return EnginePace(
        _within(pace.tokens_per_s, *_RATES),
        _within(pace.event_ms, *_EVENT_MS),
        max(0, pace.samples),
        max(0, pace.age_ms),
        _within(pace.event_tokens, *_EVENT_TOKENS),
    )


def expected_pause_s(pending_tokens: float, pace: EnginePace) -> float:
    """Returns the longest pause of a stream while prompt tokens are read.

    Where it is not known how many tokens the engine reads between two events,
    it may read all of them.

    Args:
      pending_tokens: prompt tokens that the engine has to read.
    """
    event_s = pace.event_ms / 1000 or DEFAULT_EVENT_S
    if not pace.tokens_per_s:
        return event_s
    tokens = max(0.0, pending_tokens)
    if pace.event_tokens:
        tokens = min(tokens, pace.event_tokens)
    return event_s + tokens / pace.tokens_per_s


def merge_paces(
    reports: Iterable[EnginePace], usual: EnginePace | None = None
) -> EnginePace | None:
    """Returns the pace that several entries report together.

    Each value is a median, weighted by the samples and the age of the reports,
    so that one false report moves it little.

    Args:
      usual: where the pace stands most of the time; it has the last word where
        reports are few or old.

    Returns:
      None without any report or usual pace.
    """
    rows = [(bounded(report), _weight(report)) for report in reports]
    samples = sum(row.samples for row, _ in rows)
    age_ms = min((row.age_ms for row, _ in rows), default=0)
    if usual is not None:
        rows.append((usual, _USUAL_WEIGHT))
        age_ms = age_ms if len(rows) > 1 else usual.age_ms
        samples = max(samples, usual.samples)
    if not rows:
        return None

    def median(value: str) -> int:
        known = [
            (getattr(row, value), weight)
            for row, weight in rows
            if getattr(row, value)
        ]
        return round(weighted_median(known)) if known else 0

    return EnginePace(
        median("tokens_per_s"),
        median("event_ms"),
        samples,
        age_ms,
        median("event_tokens"),
    )


def recency(age_s: float) -> float:
    """Returns the weight of a measurement of some age, 1 for a new one."""
    return 0.5 ** (max(0.0, age_s) / _HALF_LIFE_S)


def weighted_median(rows: Sequence[tuple[float, float]]) -> float:
    """Returns the value with half of the weight on each side.

    Where the weights on both sides are equal, it is the mean of the two values
    in the middle.

    Args:
      rows: values, each with its weight; at least one.
    """
    ordered = sorted(rows)
    half = sum(weight for _, weight in ordered) / 2
    passed = 0.0
    for place, (value, weight) in enumerate(ordered):
        passed += weight
        if passed > half or place == len(ordered) - 1:
            return value
        if passed == half:
            return (value + ordered[place + 1][0]) / 2
    raise ValueError("expected at least one value, found none")


def _weight(pace: EnginePace) -> float:
    return min(_MAX_WEIGHT, max(0, pace.samples)) * recency(pace.age_ms / 1000)


def _within(value: int, lowest: int, highest: int) -> int:
    return 0 if value <= 0 else min(highest, max(lowest, value))
