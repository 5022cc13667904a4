"""What one entry knows of the work and the cache of a model engine."""

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.partcache import PartCache
from magnolialug.policy.prefillwait import PRIORITY_LEVELS, prefill_wait_s
from magnolialug.policy.prompt import Prompt
from magnolialug.policy.sharedload import EndpointState, WorkShare, summed

__all__ = ["EngineLoad", "Placed"]

# Prompt tokens an engine is taken to read in a second before any answer tells,
# between the steps of running requests.
_FIRST_RATE = 75_000.0
_SLOWEST_RATE = 5_000.0
_FASTEST_RATE = 120_000.0
# Time from the last prompt token read to the first event at the caller.
_FIRST_EVENT_S = 0.09
# Weight of the newest answer in the learned rate.
_NEWEST = 0.1
# Prompts shorter than this say little of the rate.
_TELLING_TOKENS = 2_000
# What the others do at an engine counts for this long after it was told. Long
# prompts are read within it, so older word says little of the queue.
_STATE_TRUST_S = 0.5


class Placed(msgspec.Struct):
    """One attempt at an engine.

    Attributes:
      unread: prompt tokens that it will have to read.
      held: tokens of memory that it takes while it runs.
      reading: whether its first event has not come yet.
    """

    priority: int
    unread: int
    held: int
    sent_at: float
    ahead_s: float
    reading: bool = True


class EngineLoad:
    """Beliefs about one engine, from what was sent and what came back.

    Attributes:
      memory: tokens that running requests and cached parts share.
      rate: prompt tokens read in a second, as learned.
    """

    def __init__(self, memory: int, slots: int):
        self.memory = memory
        self.slots = slots
        self.rate = _FIRST_RATE
        self._others: EndpointState | None = None
        self._others_at = float("-inf")
        self._running: dict[str, Placed] = {}
        self._parts = PartCache(memory)
        # What is to be read in all, None when that has changed: it is asked
        # for several times for each choice.
        self._all_reading: tuple[int, ...] | None = None

    @property
    def running(self) -> int:
        """Own attempts under way."""
        return len(self._running)

    def leading(self, salt: str, prompt: Prompt) -> int:
        """Returns how many of a prompt's first parts were sent from here."""
        return self._parts.leading(salt, prompt.shared)

    def elsewhere(self, state: EndpointState, now: float) -> None:
        """Takes what the engine has to do for the other entries."""
        self._others = state
        self._others_at = now
        self._all_reading = None

    def tick(self, now: float) -> None:
        """Forgets what was told of the others long ago."""
        if self._others and now - self._others_at > _STATE_TRUST_S:
            self._others = None
            self._all_reading = None

    def ahead_s(self, priority: int) -> float:
        """Returns how long the engine reads before a new prompt's turn."""
        reading = self._all_reading
        if reading is None:
            reading = self._reading()
            if self._others is not None:
                reading = summed((reading, self._others.reading))
            self._all_reading = reading
        running = len(self._running)
        if self._others is not None:
            running += self._others.running
        return prefill_wait_s(reading, running, priority, self.rate)

    def room(self, tokens: int) -> float:
        """Returns the free share of memory after a request of that size."""
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
        heard_at: float,
        now: float,
        born_ms: int,
        weights: dict[str, int],
        least: dict[str, int],
        cold_ms: int = 0,
    ) -> WorkShare:
        """Returns this entry's own work, as it is told to others.

        Args:
          heard_at: when the engine's last byte came.
          weights: the versions that it is known to have.
          least: the oldest ones that it can have, where that is not known.
          cold_ms: for how much longer it is known to be cold.
        """
        rows = self._running.values()
        oldest_at = min((placed.sent_at for placed in rows), default=now)
        return WorkShare(
            endpoint=endpoint,
            reading=self._reading(),
            held=sum(placed.held for placed in rows),
            running=len(self._running),
            heard_ms=_ms(now - heard_at),
            oldest_ms=_ms(now - oldest_at),
            born_ms=born_ms,
            weights=weights,
            least=least,
            cold_ms=cold_ms,
        )

    def _reading(self) -> tuple[int, ...]:
        """Returns own prompt tokens to be read, by priority."""
        reading = [0] * PRIORITY_LEVELS
        for placed in self._running.values():
            if placed.reading:
                reading[min(placed.priority, PRIORITY_LEVELS - 1)] += (
                    placed.unread
                )
        while reading and not reading[-1]:
            reading.pop()
        return tuple(reading)

    def sent(
        self,
        name: str,
        salt: str,
        prompt: Prompt,
        unread: int,
        priority: int,
        now: float,
    ) -> None:
        """Counts an attempt, and its parts as cached from now on."""
        self._running[name] = Placed(
            priority=priority,
            unread=unread,
            held=prompt.memory_tokens,
            sent_at=now,
            ahead_s=self.ahead_s(priority),
        )
        self._all_reading = None
        self._parts.touch(salt, prompt.shared)

    def first_event(self, name: str, now: float) -> None:
        """Learns from the time that the first event took."""
        placed = self._running.get(name)
        if placed is None or not placed.reading:
            return
        placed.reading = False
        self._all_reading = None
        took = now - placed.sent_at - _FIRST_EVENT_S - placed.ahead_s
        if placed.unread < _TELLING_TOKENS or took <= 0:
            return
        rate = min(_FASTEST_RATE, max(_SLOWEST_RATE, placed.unread / took))
        self.rate += _NEWEST * (rate - self.rate)

    def ended(self, name: str) -> None:
        """Counts an attempt out."""
        self._running.pop(name, None)
        self._all_reading = None


_LONGEST_MS = 60_000


def _ms(seconds: float) -> int:
    """Returns whole milliseconds, a minute at most."""
    return int(min(_LONGEST_MS, seconds * 1000))
