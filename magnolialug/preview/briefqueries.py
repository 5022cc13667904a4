"""Asks owners for a preview, and excludes none that does not reply."""

from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.owners.pendingqueries import PendingQueries

__all__ = ["BriefQueries"]

# Below the time after which a request's query excludes an owner.
_REPLY_TIMEOUT_S = 0.012


class BriefQueries:
    """Sends queries as requests do, and gives up before them.

    Args:
      pending: sends the queries of this entry.
    """

    def __init__(self, pending: PendingQueries, clock: IReactorTime):
        self._pending = pending
        self._clock = clock

    async def ask(
        self, owners: Mapping[Address, Callable[[int], Any]]
    ) -> list[Any]:
        """Returns the replies that arrive in time."""
        queries = [
            ensureDeferred(self._pending.ask({owner: message}))
            for owner, message in owners.items()
        ]
        timer = self._clock.callLater(_REPLY_TIMEOUT_S, _cancel, queries)
        replies = []
        try:
            for query in queries:
                try:
                    replies += await query
                except CancelledError:
                    if timer.active():
                        raise
        finally:
            if timer.active():
                timer.cancel()
            for query in queries:
                query.addErrback(lambda reason: reason.trap(CancelledError))
            _cancel(queries)
        return replies


def _cancel(queries: list[Deferred]) -> None:
    for query in queries:
        query.cancel()
