"""How many connections to an endpoint one process may have."""

__all__ = ["ConnectionShare"]

# The longest time for which the count of others' connections holds. Within it,
# another entry may claim what it has not used.
_KNOWN_S = 0.2
# At the limit, the owner is asked this often whether others leave some unused.
_ASK_INTERVAL_S = 0.05
# Share of the connections that no entry borrows, so that each entry still gets
# its first ones.
_RESERVE = 0.125


class ConnectionShare:
    """An equal share of an endpoint's connections, and loans beyond it.

    Arrivals are not equal: the load balancer may send most of them to one
    entry. It borrows half of what the others leave unused, each time that it
    learns of their connections, so that two that borrow at once do not exceed
    the total.

    Attributes:
      base: the equal share.
    """

    def __init__(self) -> None:
        self.base = 1
        self._total = 1
        self._limit = 1
        self._known_at = float("-inf")

    def divide(self, total: int, entries: int) -> None:
        """Sets the endpoint's connections and the entries that share them."""
        self._total = total
        self.base = max(1, total // (entries + 1))
        self._known_at = float("-inf")

    def record_others(self, own: int, others: int, now: float) -> None:
        """Records how many connections this entry and all others have."""
        reserve = max(self.base, round(self._total * _RESERVE))
        free = self._total - own - others - reserve
        self._limit = max(self.base, own + max(0, free) // 2)
        self._known_at = now

    def limit(self, now: float) -> int:
        """Returns how many connections this entry may have now."""
        is_known = now - self._known_at <= _KNOWN_S
        return self._limit if is_known else self.base

    def may_ask(self, now: float) -> bool:
        """Whether the count of others' connections may have changed."""
        return now - self._known_at >= _ASK_INTERVAL_S
