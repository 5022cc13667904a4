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
_EVENT_TOKENS_SAMPLES = 15
_MIN_EVENT_TOKENS_SAMPLES = 4
# More was pending than read, also if the pending tokens are known badly.
_CLEARLY_MORE = 1.5
# Fewer tokens are read within the jitter of the network.
_MIN_TOKENS = 2_000
# A prompt that was read much faster than engines can had been cached.
_MAX_PLAUSIBLE_RATE = 2 * MAX_RATE_TOKENS_PER_S
# Events that arrive closer together were delayed on their way.
_MIN_PAUSE_S = 0.002
_NOTHING_KNOWN = EnginePace(0, 0, 0, 0)

# Values, each with the time when it was measured.
_Samples = deque[tuple[float, float]]


class PaceEstimator:
    """Keeps the newest measurements of one start of an engine."""

    def __init__(self) -> None:
        self._rates: _Samples = deque(maxlen=_SAMPLES)
        self._events: _Samples = deque(maxlen=_SAMPLES)
        self._event_tokens: deque[float] = deque(maxlen=_EVENT_TOKENS_SAMPLES)
        self._event_tokens_median = 0.0

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
        known = known or _NOTHING_KNOWN
        reading_s = pause_s - self._event_s(known, now)
        if pending < _MIN_TOKENS or reading_s <= 0:
            return False
        read = reading_s * known.tokens_per_s
        if 0 < _CLEARLY_MORE * read < pending:
            self._record_event_tokens(read)
        most = self._known_event_tokens or known.event_tokens
        return most > 0 and self.record_read(min(pending, most), reading_s, now)

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
                round(self._known_event_tokens),
            )
        )

    @property
    def _known_event_tokens(self) -> float:
        """Tokens that are read at most between two events, 0 if not known."""
        known = len(self._event_tokens) >= _MIN_EVENT_TOKENS_SAMPLES
        return self._event_tokens_median if known else 0.0

    def _event_s(self, known: EnginePace, now: float) -> float:
        measured_s = _median(_recent(self._events, now), now)
        return measured_s or known.event_ms / 1000 or DEFAULT_EVENT_S

    def _record_event_tokens(self, tokens: float) -> None:
        self._event_tokens.append(tokens)
        self._event_tokens_median = weighted_median(
            [(row, 1) for row in self._event_tokens]
        )


def _recent(samples: _Samples, now: float) -> list[tuple[float, float]]:
    return [row for row in samples if now - row[1] <= _SAMPLE_MAX_AGE_S]


def _median(samples: list[tuple[float, float]], now: float) -> float:
    rows = [(value, recency(now - at)) for value, at in samples]
    return weighted_median(rows) if rows else 0.0
