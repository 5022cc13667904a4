"""Queue of attempts at an endpoint: queued, fetching, ready, running."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import msgspec

from magnolialug.policy.fairqueue import FairQueue
from magnolialug.policy.slots import fetch_ahead, slot_free

__all__ = ["AttemptTraits", "AttemptQueue"]

T = TypeVar("T", bound=Hashable)


class AttemptTraits(msgspec.Struct, frozen=True):
    """The properties of an attempt that determine its order.

    Attributes:
      tokens: prompt length in tokens.
      priority: 0 for the most urgent kinds.
      share: the team's weight.
    """

    team: str
    tokens: int
    priority: int
    share: float


class AttemptQueue(Generic[T]):
    """Schedules attempts into an endpoint's slots.

    An attempt waits in a fair queue until its cached blocks may be fetched.
    Once they are next to the engine, it waits in a second fair queue until a
    slot is free. It can be removed at any time until it runs.

    Attributes:
      limit: maximum number of attempts that do not run yet.
      slots: number of attempts that can run at the same time.
      running: number of slots in use.
    """

    def __init__(self, limit: int, slots: int):
        self.limit = limit
        self.slots = slots
        self.running = 0
        self._queue: FairQueue[T] = FairQueue(limit)
        self._ready: FairQueue[T] = FairQueue(limit)
        self._fetching: set[T] = set()
        self._waiting: dict[T, AttemptTraits] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, item: T) -> bool:
        return item in self._waiting

    def full(self) -> bool:
        """Whether another attempt would exceed the limit."""
        return len(self._waiting) >= self.limit

    def push(self, item: T, claimant: AttemptTraits) -> None:
        """Adds an attempt."""
        self._waiting[item] = claimant
        self._enqueue(self._queue, item, claimant)

    def next_to_fetch(self) -> T | None:
        """Returns the next attempt whose cache is to be fetched, or None."""
        if not len(self._queue):
            return None
        fetching = len(self._fetching) + len(self._ready)
        priority = self._queue.urgency()
        if not fetch_ahead(self.running, fetching, self.slots, priority):
            return None
        item = self._queue.pop()
        self._fetching.add(item)
        return item

    def fetched(self, item: T) -> None:
        """Queues an attempt with a fetched cache for a slot, unless removed."""
        if item in self._fetching:
            self._fetching.discard(item)
            self._enqueue(self._ready, item, self._waiting[item])

    def next_to_run(self) -> T | None:
        """Moves the next attempt into a slot; returns None if none may run."""
        if not len(self._ready):
            return None
        if not slot_free(self.running, self.slots, self._ready.urgency()):
            return None
        item = self._ready.pop()
        del self._waiting[item]
        self.running += 1
        return item

    def ended(self) -> None:
        """Releases a slot."""
        self.running -= 1

    def remove(self, item: T) -> bool:
        """Removes an attempt that does not run; false if there is none."""
        if self._waiting.pop(item, None) is None:
            return False
        if not self._queue.remove(item) and not self._ready.remove(item):
            self._fetching.discard(item)
        return True

    def waiting(self) -> list[T]:
        """Returns the attempts that do not run yet."""
        return list(self._waiting)

    def tokens_by_priority(self) -> tuple[int, ...]:
        """Returns the prompt tokens waiting, by priority number."""
        sums: list[int] = []
        for claimant in self._waiting.values():
            while len(sums) <= claimant.priority:
                sums.append(0)
            sums[claimant.priority] += claimant.tokens
        return tuple(sums)

    def tokens_before(self, priority: int) -> int:
        """Returns the waiting tokens that are served before a new attempt."""
        return sum(self.tokens_by_priority()[: priority + 1])

    def _enqueue(
        self, queue: FairQueue[T], item: T, claimant: AttemptTraits
    ) -> None:
        queue.push(
            item,
            claimant.team,
            claimant.tokens,
            claimant.priority,
            claimant.share,
        )
