"""A bounded fair queue of teams by tokens, urgent kinds first."""

from typing import Generic, TypeVar

from sortedcontainers import SortedList

__all__ = ["FairQueue"]

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Start-time fair queueing within each priority.

    The cost of an item is its tokens divided by its team's share. The virtual
    start time of a team's next item is the end of its previous one or the
    queue's current virtual time, whichever is later. So a team that floods the
    queue waits behind its own items and delays the others by one item at most.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._items: SortedList = SortedList()
        self._ends: dict[tuple[int, str], float] = {}
        self._time: dict[int, float] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._items)

    def full(self) -> bool:
        """Whether another item would exceed the limit."""
        return len(self._items) >= self.limit

    def push(
        self, item: T, team: str, tokens: int, priority: int, share: float
    ) -> None:
        """Adds an item; a lower priority number is served first."""
        flow = (priority, team)
        start = max(self._ends.get(flow, 0.0), self._time.get(priority, 0.0))
        self._ends[flow] = start + tokens / share
        self._count += 1
        self._items.add((priority, start, self._count, tokens, team, item))

    def pop(self) -> T:
        """Removes and returns the item to serve next."""
        priority, start, *_, item = self._items.pop(0)
        self._time[priority] = start
        if not self._items:
            self._ends.clear()
            self._time.clear()
        return item

    def remove(self, item: T) -> bool:
        """Removes an item at any position; false if it is not queued."""
        for row in self._items:
            if row[-1] is item:
                self._items.remove(row)
                return True
        return False

    def urgency(self) -> int:
        """Returns the priority number of the item to serve next."""
        return self._items[0][0]
