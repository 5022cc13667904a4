"""What one entry knows of the work and the cache of a model engine."""

from collections import OrderedDict

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.sharedload import EngineShare, Placement

__all__ = ["EngineLoad", "Placed"]

# Prompt tokens an engine reads in a second before any answer has told: the
# engines here read 112 in a millisecond, a third less between the steps of
# running requests.
_FIRST_RATE = 75_000.0
_SLOWEST_RATE = 5_000.0
_FASTEST_RATE = 120_000.0
# Time from the last prompt token read to the first event at the caller.
_FIRST_EVENT_S = 0.09
# What is ranked behind a prompt is still read a little, between its chunks,
# and each running request makes every step longer. Fitted to the first events
# of 2,500 prompts of two days: 3 us a token against 12, 5 ms a request.
_BEHIND_SHARE = 0.25
_RUNNING_S = 0.005
# Weight of the newest answer in the learned rate.
_NEWEST = 0.1
# Prompts shorter than this say little of the rate.
_TELLING_TOKENS = 2_000
_PRIORITIES = 10
# Reports are repeated four times a second; three lost in a row mean that the
# sender is gone or cut off.
_SILENT_S = 0.9


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


class _Shared(msgspec.Struct):
    share: EngineShare
    at: float


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
        self._others: dict[str, _Shared] = {}
        self._running: dict[str, Placed] = {}
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._cached = 0

    @property
    def running(self) -> int:
        """Own attempts under way."""
        return len(self._running)

    def has(self, salt: str, part: Part) -> bool:
        """Whether the engine is believed to hold a part."""
        return (salt, part.name) in self._parts

    def cached_tokens(self, salt: str, prompt: Prompt) -> int:
        """Returns the length of the prompt's believed cached prefix."""
        tokens = 0
        for part in prompt.parts:
            if (salt, part.name) not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def ahead_s(self, priority: int) -> float:
        """Returns how long the engine reads before a new prompt's turn."""
        tokens = 0.0
        running = len(self._running)
        for placed in self._running.values():
            if placed.reading:
                behind = placed.priority > priority
                tokens += placed.unread * (_BEHIND_SHARE if behind else 1.0)
        for row in self._others.values():
            reading = row.share.reading
            running += row.share.running
            tokens += sum(reading[: priority + 1])
            tokens += sum(reading[priority + 1 :]) * _BEHIND_SHARE
        return tokens / self.rate + running * _RUNNING_S

    def room(self, tokens: int) -> float:
        """Returns the free share of memory after a request of that size."""
        held = sum(placed.held for placed in self._running.values())
        held += sum(row.share.held for row in self._others.values())
        return 1.0 - (held + tokens) / self.memory

    def first_event_s(self, priority: int, unread: int) -> float:
        """Returns the expected time to a new prompt's first event."""
        return self.ahead_s(priority) + unread / self.rate + _FIRST_EVENT_S

    def share(self, endpoint: EndpointId, born_ms: int = 0) -> EngineShare:
        """Returns this entry's own work, as it is told to others."""
        reading = [0] * _PRIORITIES
        held = 0
        for placed in self._running.values():
            held += placed.held
            if placed.reading:
                reading[min(placed.priority, _PRIORITIES - 1)] += placed.unread
        while reading and not reading[-1]:
            reading.pop()
        running = len(self._running)
        return EngineShare(endpoint, tuple(reading), held, running, born_ms)

    def shared(self, entry: str, share: EngineShare, now: float) -> None:
        """Takes another entry's work."""
        self._others[entry] = _Shared(share, now)

    def unshared(self, entry: str) -> None:
        """Learns that another entry has no work here."""
        self._others.pop(entry, None)

    def tick(self, now: float) -> None:
        """Forgets the work of entries that have gone silent."""
        for entry, row in list(self._others.items()):
            if now - row.at > _SILENT_S:
                del self._others[entry]

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
        for part in prompt.shared:
            self._keep(salt, part)

    def placed_elsewhere(self, placement: Placement) -> None:
        """Counts what another entry has sent as cached from now on.

        Alone an entry of 26 sees a twenty-sixth of what pushes parts out of
        an engine's memory, and none of the parts that others have brought
        there. Of the shared tokens that could have been found 43% were.
        """
        for part in placement.parts:
            self._keep(placement.salt, part)

    def first_event(self, name: str, now: float) -> None:
        """Learns from the time that the first event took."""
        placed = self._running.get(name)
        if placed is None or not placed.reading:
            return
        placed.reading = False
        took = now - placed.sent_at - _FIRST_EVENT_S - placed.ahead_s
        if placed.unread < _TELLING_TOKENS or took <= 0:
            return
        rate = min(_FASTEST_RATE, max(_SLOWEST_RATE, placed.unread / took))
        self.rate += _NEWEST * (rate - self.rate)

    def ended(self, name: str) -> None:
        """Counts an attempt out."""
        self._running.pop(name, None)

    def forget_cache(self) -> None:
        """Drops all beliefs about cached parts."""
        self._parts.clear()
        self._cached = 0

    def _keep(self, salt: str, part: Part) -> None:
        key = (salt, part.name)
        if key in self._parts:
            self._parts.move_to_end(key)
            return
        self._parts[key] = part.tokens
        self._cached += part.tokens
        while self._cached > self.memory and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._cached -= tokens
