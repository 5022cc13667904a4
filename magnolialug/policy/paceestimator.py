"""Estimates an engine's pace from one entry's own streams."""

from collections import deque

from magnolialug.policy.enginepace import (
    DEFAULT_EVENT_S,
    MAX_RATE_TOKENS_PER_S,
    EnginePace,
    bounded,
    recency,
    weighted_median,
)

__all__ = ["PaceEstimator"]

# Samples of each kind that are kept, and for how long.
_SAMPLES = 8
_SAMPLE_MAX_AGE_S = 2.0
# How many prompt tokens fit between two events is set by the engine's batches
# and not by its pace, so these samples count until there are newer ones. Fewer
# could all be from one moment in which the engine was slow.
_FIT_SAMPLES = 15
_MIN_FIT_SAMPLES = 4
# More was pending than read, also if the pending tokens are known badly.
_CLEARLY_MORE = 1.5
# Fewer tokens are read within the jitter of the network.
_MIN_TOKENS = 2_000
# A prompt that was read much faster than engines can had been cached.
_MAX_PLAUSIBLE_RATE = 2 * MAX_RATE_TOKENS_PER_S
# Events that arrive closer together were delayed on their way.
_MIN_PAUSE_S = 0.002


class PaceEstimator:
    """Keeps the newest measurements of one start of an engine."""

    def __init__(self) -> None:
        self._rates: _Samples = deque(maxlen=_SAMPLES)
        self._events: _Samples = deque(maxlen=_SAMPLES)
        self._fits: deque[float] = deque(maxlen=_FIT_SAMPLES)
        self._event_tokens = 0.0

    def record_read(self, tokens: float, took_s: float, now: float) -> bool:
        """Records how long the engine took to read a number of tokens.

        Returns:
          whether that is a measurement.
        """
        if tokens < _MIN_TOKENS or tokens >= _MAX_PLAUSIBLE_RATE * took_s:
            return False
        self._rates.append((tokens / took_s, now))
        return True

    def record_pause(
        self,
        pause_s: float,
        pending: float,
        known: EnginePace | None,
        now: float,
    ) -> bool:
        """Records the time between two events of a stream.

        Args:
          pending: prompt tokens that the engine had to read meanwhile.
          known: the pace that all entries have measured, None for none.

        Returns:
          whether that is a measurement.
        """
        if pause_s < _MIN_PAUSE_S:
            return False
        if not pending:
            self._events.append((pause_s, now))
            return True
        reading_s = pause_s - self._event_s(now)
        if pending < _MIN_TOKENS or reading_s <= 0:
            return False
        read = reading_s * (known.tokens_per_s if known else 0)
        if 0 < _CLEARLY_MORE * read < pending:
            self._record_fit(read)
        fitting = self._fitting or (known.event_tokens if known else 0)
        if not fitting:
            return False
        return self.record_read(min(pending, fitting), reading_s, now)

    def pace(self, now: float) -> EnginePace | None:
        """Returns the pace by recent measurements, None if there are none."""
        rates = _recent(self._rates, now)
        events = _recent(self._events, now)
        if not rates and not events:
            return None
        newest_at = max(at for _, at in (*rates, *events))
        return bounded(
            EnginePace(
                round(_median(rates, now)),
                round(_median(events, now) * 1000),
                len(rates) + len(events),
                round(max(0.0, now - newest_at) * 1000),
                round(self._fitting),
            )
        )

    @property
    def _fitting(self) -> float:
        """Tokens that are read between two events, 0 if not known."""
        known = len(self._fits) >= _MIN_FIT_SAMPLES
        return self._event_tokens if known else 0.0

    def _event_s(self, now: float) -> float:
        return _median(_recent(self._events, now), now) or DEFAULT_EVENT_S

    def _record_fit(self, tokens: float) -> None:
        self._fits.append(tokens)
        self._event_tokens = weighted_median([(fit, 1) for fit in self._fits])


_Samples = deque[tuple[float, float]]


def _recent(samples: _Samples, now: float) -> list[tuple[float, float]]:
    return [row for row in samples if now - row[1] <= _SAMPLE_MAX_AGE_S]


def _median(samples: list[tuple[float, float]], now: float) -> float:
    rows = [(value, recency(now - at)) for value, at in samples]
    return weighted_median(rows) if rows else 0.0
