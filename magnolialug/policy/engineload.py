"""One entry's estimate of the load and the cache of a model engine."""

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.partcache import PartCache
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
# steps of running requests, until the first response gives a measurement; and
# the bounds of a measurement.
_INITIAL_RATE_TOKENS_PER_S = 75_000.0
_MIN_RATE_TOKENS_PER_S = 5_000.0
_MAX_RATE_TOKENS_PER_S = 120_000.0
# Time from the end of the prefill to the first event at the caller.
_FIRST_EVENT_S = 0.09
# Weight of the newest response in the measured prefill rate.
_RATE_SMOOTHING = 0.1
# Shorter prompts are no reliable measurement of the rate.
_MIN_SAMPLE_TOKENS = 2_000
# The reported load from other entries is used for this long. Even long prompts
# are prefilled within it, so an older report says little about the queue.
_STATE_MAX_AGE_S = 0.5


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
    """

    priority: int
    unread: int
    held: int
    sent_at: float
    ahead_s: float
    in_prefill: bool = True
    gap_s: float = 0.0


class EngineLoad:
    """Load estimate of one engine, from its own requests and reports of others.

    Attributes:
      memory: capacity in tokens, shared by running requests and cached parts.
      rate: estimated prefill rate in prompt tokens per second.
    """

    def __init__(self, memory: int, slots: int):
        self.memory = memory
        self.slots = slots
        self.rate = _INITIAL_RATE_TOKENS_PER_S
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

    def leading(self, salt: str, prompt: Prompt) -> int:
        """Returns how many leading parts of a prompt this entry sent there."""
        return self._parts.leading(salt, prompt.shared)

    def record_others(self, state: EndpointState, now: float) -> None:
        """Records the engine's load from the other entries."""
        self._others = state
        self._others_at = now
        self._total_pending_prefill = None

    def tick(self, now: float) -> None:
        """Drops the load from other entries once it is too old."""
        if self._others and now - self._others_at > _STATE_MAX_AGE_S:
            self._others = None
            self._total_pending_prefill = None

    def ahead_s(self, priority: int) -> float:
        """Returns the expected wait before a new prompt's prefill starts."""
        pending_prefill = self._total_pending_prefill
        if pending_prefill is None:
            pending_prefill = self._pending_prefill()
            if self._others is not None:
                pending_prefill = sum_by_priority(
                    (pending_prefill, self._others.pending_prefill)
                )
            self._total_pending_prefill = pending_prefill
        running = len(self._running)
        if self._others is not None:
            running += self._others.running
        return prefill_wait_s(pending_prefill, running, priority, self.rate)

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
            writing=sum(not placed.in_prefill for placed in rows),
            gap_ms=shortest_gap_ms(_ms(placed.gap_s) for placed in rows),
        )

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
        self._running[name] = Placed(
            priority=priority,
            unread=unread,
            held=prompt.memory_tokens,
            sent_at=now,
            ahead_s=self.ahead_s(priority),
            gap_s=gap_s,
        )
        self._total_pending_prefill = None
        self._parts.touch(salt, prompt.shared)

    def first_event(self, name: str, now: float) -> None:
        """Updates the prefill rate from the time to the first event."""
        placed = self._running.get(name)
        if placed is None or not placed.in_prefill:
            return
        placed.in_prefill = False
        self._total_pending_prefill = None
        took = now - placed.sent_at - _FIRST_EVENT_S - placed.ahead_s
        if placed.unread < _MIN_SAMPLE_TOKENS or took <= 0:
            return
        rate = min(
            _MAX_RATE_TOKENS_PER_S,
            max(_MIN_RATE_TOKENS_PER_S, placed.unread / took),
        )
        self.rate += _RATE_SMOOTHING * (rate - self.rate)

    def ended(self, name: str) -> None:
        """Removes an attempt that has ended."""
        self._running.pop(name, None)
        self._total_pending_prefill = None


_MAX_AGE_MS = 60_000


def _ms(seconds: float) -> int:
    """Returns whole milliseconds, capped at one minute."""
    return int(min(_MAX_AGE_MS, seconds * 1000))
