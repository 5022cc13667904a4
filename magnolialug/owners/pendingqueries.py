"""Sends queries to owners and collects the replies that arrive in time."""

import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.owners.ownerring import OwnerRing

__all__ = ["Reply", "PendingQueries"]

# A reply takes a round trip between zones and one iteration of the owner's
# event loop, 1 to 4 ms. A request whose owner is dead waits this long once, a
# twentieth of the shortest target; the owner is then excluded for a while.
_REPLY_TIMEOUT_S = 0.015


class Reply(Protocol):
    """An owner's message with the number of the query."""

    number: int


class _PendingQuery:
    """A query to some owners that have not all replied."""

    def __init__(self, owners: Iterable[Address]):
        self.missing = set(owners)
        self.replies: list[Any] = []
        self.done: Deferred[None] = Deferred()


class PendingQueries:
    """Sends one query to several owners and waits briefly for the replies.

    Args:
      send: sends a message to an entry.
    """

    def __init__(
        self,
        ring: OwnerRing,
        send: Callable[[Any, Address], None],
        clock: IReactorTime,
    ):
        self._ring = ring
        self._send = send
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingQuery] = {}

    async def ask(
        self, owners: Mapping[Address, Callable[[int], Any]]
    ) -> list[Any]:
        """Returns the replies that arrive before the timeout.

        Args:
          owners: for each owner, a function that makes the query from its
            number.
        """
        if not owners:
            return []
        number = next(self._numbers)
        pending = self._pending[number] = _PendingQuery(owners)
        for owner, message in owners.items():
            self._send(message(number), owner)
        timer = self._clock.callLater(
            _REPLY_TIMEOUT_S, pending.done.callback, None
        )
        try:
            await pending.done
        finally:
            del self._pending[number]
            if timer.active():
                timer.cancel()
        for owner in pending.missing:
            self._ring.mark_unresponsive(owner)
        return pending.replies

    def on_reply(self, reply: Reply, owner: Address) -> None:
        """Processes an owner's reply."""
        self._ring.mark_responsive(owner)
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        pending.replies.append(reply)
        pending.missing.discard(owner)
        if not pending.missing and not pending.done.called:
            pending.done.callback(None)
