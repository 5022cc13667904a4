"""One entry's estimate of the load and the cache of a model engine."""

from collections.abc import Iterable

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.enginepace import (
    DEFAULT_EVENT_S,
    MAX_RATE_TOKENS_PER_S,
    MIN_RATE_TOKENS_PER_S,
    EnginePace,
)
from magnolialug.policy.paceestimator import PaceEstimator
from magnolialug.policy.partcache import PartCache
from magnolialug.policy.prefilladmission import (
    WrittenStreams,
    admits_prefill,
)
from magnolialug.policy.prefillwait import PRIORITY_LEVELS, prefill_wait_s
from magnolialug.policy.prompt import Prompt
from magnolialug.policy.sharedload import (
    EndpointState,
    WorkShare,
    shortest_gap_ms,
    sum_by_priority,
)

__all__ = ["EngineLoad", "Placed"]

# Prompt tokens that an engine is assumed to prefill per second, between the
# steps of running requests, until the first response gives a measurement.
_INITIAL_RATE_TOKENS_PER_S = 75_000.0
# Time from the end of the prefill to the first event at the caller.
_FIRST_EVENT_S = 0.09
# Weight of the newest response in the measured prefill rate.
_RATE_SMOOTHING = 0.1
# Shorter prompts are no reliable measurement of the rate.
_MIN_SAMPLE_TOKENS = 2_000
# The reported load from other entries is used for this long. Even long prompts
# are prefilled within it, so an older report says little about the queue.
_STATE_MAX_AGE_S = 0.5
# The pace that all entries have measured is used for this long without a new
# reply: an engine can be slow for a moment, and its owner may have died.
_PACE_MAX_AGE_S = 2.0


class Placed(msgspec.Struct):
    """One attempt at an engine.

    Attributes:
      unread: prompt tokens that the engine has to prefill for it.
      held: tokens of memory that it takes while it runs.
      sent_at: time when it was sent, in seconds.
      ahead_s: expected wait before its own prefill when it was sent.
      in_prefill: whether its first event has not come yet.
      gap_s: the longest pause between its events that is on time, 0 if its
        route names none.
      work: tokens that are read before its first event, 0 if that is not known
        well enough to measure the engine by it.
      event_at: when its last event arrived, None before the first and after
        its caller's reading was paused.
      event_pending: prompt tokens pending then, None if not known.
    """

    priority: int
    unread: int
    held: int
    sent_at: float
    ahead_s: float
    in_prefill: bool = True
    gap_s: float = 0.0
    work: float = 0.0
    event_at: float | None = None
    event_pending: int | None = None


class EngineLoad:
    """Load estimate of one engine, from its own requests and reports of others.

    Attributes:
      memory: capacity in tokens, shared by running requests and cached parts.
      pace: what all entries have measured of this start, None if that is not
        known or too old.
    """

    def __init__(self, memory: int, slots: int):
        self.memory = memory
        self.slots = slots
        self.pace: EnginePace | None = None
        self._pace_at = float("-inf")
        self._own_rate = _INITIAL_RATE_TOKENS_PER_S
        self._estimator = PaceEstimator()
        self._others: EndpointState | None = None
        self._others_at = float("-inf")
        self._running: dict[str, Placed] = {}
        self._parts = PartCache(memory)
        # Cached sum of all pending prefill, None after a change: each placement
        # decision needs it several times.
        self._total_pending_prefill: tuple[int, ...] | None = None

    @property
    def running(self) -> int:
        """Number of this entry's attempts in progress."""
        return len(self._running)

    @property
    def rate(self) -> float:
        """Prefill rate in tokens per second, as this entry's prompts tell.

        Engines are compared by it. The measured rate follows moments in which
        an engine is slow, and these are over before the next prompt is read.
        """
        return self._own_rate

    @property
    def measured_rate(self) -> float:
        """Prefill rate that all entries measure, else this entry's own."""
        measured = self.pace.tokens_per_s if self.pace else 0
        return measured or self._own_rate

    @property
    def event_s(self) -> float:
        """Time between two events of a stream while nothing is read."""
        measured_ms = self.pace.event_ms if self.pace else 0
        return measured_ms / 1000 or DEFAULT_EVENT_S

    def leading(self, salt: str, prompt: Prompt) -> int:
        """Returns how many leading parts of a prompt this entry sent there."""
        return self._parts.leading(salt, prompt.shared)

    def record_others(self, state: EndpointState, now: float) -> None:
        """Records the engine's load from the other entries."""
        self._others = state
        self._others_at = now
        self._total_pending_prefill = None

    def record_pace(self, pace: EnginePace | None, now: float) -> None:
        """Records the pace that all entries have measured."""
        if pace is not None:
            self.pace = pace
            self._pace_at = now

    def tick(self, now: float) -> None:
        """Drops what other entries have reported once it is too old."""
        if self.pace and now - self._pace_at > _PACE_MAX_AGE_S:
            self.pace = None
        if self._others and now - self._others_at > _STATE_MAX_AGE_S:
            self._others = None
            self._total_pending_prefill = None

    def ahead_s(self, priority: int) -> float:
        """Returns the expected wait before a new prompt's prefill starts."""
        pending_prefill = self._all_pending_prefill()
        running = len(self._running)
        if self._others is not None:
            running += self._others.running
        return prefill_wait_s(pending_prefill, running, priority, self.rate)

    def admits_prefill(self, unread: int) -> bool:
        """Whether a long prompt keeps the pauses of the engine's streams."""
        pending = sum(self._all_pending_prefill())
        return admits_prefill(
            self._streams(), pending, unread, self.measured_rate
        )

    def _streams(self) -> WrittenStreams:
        rows = self._running.values()
        written = _written(rows)
        gaps_ms = [_ms(placed.gap_s) for placed in rows]
        if self._others is not None:
            written += self._others.writing
            gaps_ms.append(self._others.gap_ms)
        return WrittenStreams(written, shortest_gap_ms(gaps_ms) / 1000)

    def room(self, tokens: int) -> float:
        """Returns the share of memory left free by a request of that size."""
        held = sum(placed.held for placed in self._running.values())
        if self._others is not None:
            held += self._others.held
        return 1.0 - (held + tokens) / self.memory

    def first_event_s(self, priority: int, unread: int) -> float:
        """Returns the expected time to a new prompt's first event."""
        return self.ahead_s(priority) + unread / self.rate + _FIRST_EVENT_S

    def share(
        self,
        endpoint: EndpointId,
        last_contact_at: float,
        now: float,
        born_ms: int,
        weights: dict[str, int],
        min_weights: dict[str, int],
        cold_ms: int = 0,
    ) -> WorkShare:
        """Returns this entry's own work, for its load report.

        Args:
          last_contact_at: when the last byte from the engine arrived.
          weights: the versions that the engine is known to have, by model.
          min_weights: the oldest version that it can have, by model, where
            the version is not known.
          cold_ms: remaining time for which it is known to be cold.
        """
        rows = self._running.values()
        oldest_at = min((placed.sent_at for placed in rows), default=now)
        return WorkShare(
            endpoint=endpoint,
            pending_prefill=self._pending_prefill(),
            held=sum(placed.held for placed in rows),
            running=len(self._running),
            last_contact_ms=_ms(now - last_contact_at),
            oldest_ms=_ms(now - oldest_at),
            born_ms=born_ms,
            weights=weights,
            min_weights=min_weights,
            cold_ms=cold_ms,
            writing=_written(rows),
            gap_ms=shortest_gap_ms(_ms(placed.gap_s) for placed in rows),
            pace=self._estimator.pace(now),
        )

    def _all_pending_prefill(self) -> tuple[int, ...]:
        """Returns the prompt tokens of all entries, by priority."""
        pending_prefill = self._total_pending_prefill
        if pending_prefill is None:
            pending_prefill = self._pending_prefill()
            if self._others is not None:
                pending_prefill = sum_by_priority(
                    (pending_prefill, self._others.pending_prefill)
                )
            self._total_pending_prefill = pending_prefill
        return pending_prefill

    def _knows_others(self, now: float) -> bool:
        """Whether the load of the other entries is known."""
        recent = now - self._others_at <= _STATE_MAX_AGE_S
        return self._others is not None and recent

    def _pending_prefill(self) -> tuple[int, ...]:
        """Returns this entry's prompt tokens to be prefilled, by priority."""
        pending_prefill = [0] * PRIORITY_LEVELS
        for placed in self._running.values():
            if placed.in_prefill:
                pending_prefill[min(placed.priority, PRIORITY_LEVELS - 1)] += (
                    placed.unread
                )
        while pending_prefill and not pending_prefill[-1]:
            pending_prefill.pop()
        return tuple(pending_prefill)

    def sent(
        self,
        name: str,
        salt: str,
        prompt: Prompt,
        unread: int,
        priority: int,
        now: float,
        gap_s: float = 0.0,
    ) -> None:
        """Records an attempt that was sent, and its parts as cached."""
        pending_prefill = self._all_pending_prefill()
        # At one token a second, the wait in seconds is the number of tokens.
        ahead = prefill_wait_s(pending_prefill, 0, priority, rate=1.0)
        # It is not known how far the prompts ahead of it have been read.
        certain = self._knows_others(now) and ahead <= unread
        self._running[name] = Placed(
            priority=priority,
            unread=unread,
            held=prompt.memory_tokens,
            sent_at=now,
            ahead_s=self.ahead_s(priority),
            gap_s=gap_s,
            work=unread + ahead if certain and gap_s else 0.0,
        )
        self._total_pending_prefill = None
        self._parts.touch(salt, prompt.shared)

    def first_event(self, name: str, now: float) -> bool:
        """Updates the prefill rate from the time to the first event.

        Returns:
          whether it measures the engine's pace.
        """
        placed = self._running.get(name)
        if placed is None or not placed.in_prefill:
            return False
        placed.in_prefill = False
        self._total_pending_prefill = None
        reading_s = now - placed.sent_at - _FIRST_EVENT_S
        self._update_own_rate(placed.unread, reading_s - placed.ahead_s)
        return bool(placed.work) and self._estimator.record_read(
            placed.work, reading_s, now
        )

    def _update_own_rate(self, unread: int, took_s: float) -> None:
        if unread < _MIN_SAMPLE_TOKENS or took_s <= 0:
            return
        rate = min(
            MAX_RATE_TOKENS_PER_S,
            max(MIN_RATE_TOKENS_PER_S, unread / took_s),
        )
        self._own_rate += _RATE_SMOOTHING * (rate - self._own_rate)

    def events(self, name: str, count: int, now: float) -> bool:
        """Measures the engine's pace by the events of a stream.

        Args:
          count: events that have arrived now; 0 if the caller's reading is
            paused, so that the time is not the engine's.

        Returns:
          whether they measure it.
        """
        placed = self._running.get(name)
        if placed is None or not placed.gap_s:
            return False
        began_at, before = placed.event_at, placed.event_pending
        placed.event_at = now if count else None
        pending = None
        if self._knows_others(now):
            pending = sum(self._all_pending_prefill())
        placed.event_pending = pending
        if None in (began_at, before, pending) or not count:
            return False
        return self._estimator.record_pause(
            (now - began_at) / count, (before + pending) / 2, self.pace, now
        )

    def ended(self, name: str) -> None:
        """Removes an attempt that has ended."""
        self._running.pop(name, None)
        self._total_pending_prefill = None


def _written(rows: Iterable[Placed]) -> int:
    """Returns how many streams that may not pause for long are written."""
    return sum(not row.in_prefill and row.gap_s > 0 for row in rows)


_MAX_AGE_MS = 60_000


def _ms(seconds: float) -> int:
    """Returns whole milliseconds, capped at one minute."""
    return int(min(_MAX_AGE_MS, seconds * 1000))
