"""Queries the owners of stores for the status of prompt parts."""

from collections.abc import Callable, Iterable
from functools import partial

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId, ServiceName
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.pendingqueries import PendingQueries
from magnolialug.policy.partplan import PartReport
from magnolialug.policy.prompt import Part
from magnolialug.policy.storeindex import PartKey, PartStatus
from magnolialug.policy.storemap import StoreMap
from magnolialug.prefixcache.messages import (
    PartQuery,
    PartReply,
    QueriedPart,
    SaveCancelled,
    SaveNotice,
)

__all__ = ["PartQueryClient"]

# Stores that are queried about a part, one after the other, until one holds the
# part, is saving it or accepts it.
_MAX_STORES = 3
# Statuses after which the next store is queried.
_TRY_NEXT_STATUSES = (
    PartStatus.NO_CONTACT,
    PartStatus.FULL,
    PartStatus.NOT_WRITABLE,
)


class PartQueryClient:
    """Finds the stores that hold a prompt's shared parts, or can save them.

    Args:
      owners: gives the entry that indexes a store.
      stores: the stores of the configuration.
      pending_queries: sends queries and waits for the replies.
      send: sends a message to an entry.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        owners: OwnerRing,
        stores: StoreMap,
        pending_queries: PendingQueries,
        send: Callable[[SaveNotice | SaveCancelled, Address], None],
        clock: Callable[[], float],
    ):
        self._owners = owners
        self._stores = stores
        self._pending_queries = pending_queries
        self._send = send
        self._clock = clock

    async def ask(
        self, cache_namespaces: Iterable[str], parts: Iterable[Part]
    ) -> dict[PartKey, PartReport]:
        """Returns what the owners of stores report about parts."""
        rows = [
            (cache_namespace, part)
            for cache_namespace in cache_namespaces
            for part in parts
        ]
        rankings = {
            (cache_namespace, part.name): self._stores.ranking(
                (cache_namespace, part.name)
            )
            for cache_namespace, part in rows
        }
        stored: dict[PartKey, PartReport] = {}
        for choice in range(_MAX_STORES):
            queried = [
                QueriedPart(
                    rankings[cache_namespace, part.name][choice],
                    cache_namespace,
                    part,
                )
                for cache_namespace, part in rows
                if choice < len(rankings[cache_namespace, part.name])
                and _needs_next_store(stored.get((cache_namespace, part.name)))
            ]
            if not queried:
                break
            for reported in await self._ask(queried):
                _merge(stored, reported, self._clock())
        return stored

    def save(
        self,
        reader: EndpointId,
        cache_namespace: str,
        parts: Iterable[tuple[Part, ServiceName]],
    ) -> None:
        """Notifies the owners that an engine was asked to save parts."""
        self._notify(SaveNotice, reader, cache_namespace, parts)

    def cancel_save(
        self,
        reader: EndpointId,
        cache_namespace: str,
        parts: Iterable[tuple[Part, ServiceName]],
    ) -> None:
        """Notifies the owners that an engine will not save parts after all."""
        self._notify(SaveCancelled, reader, cache_namespace, parts)

    def _notify(
        self,
        message_type: type[SaveNotice | SaveCancelled],
        reader: EndpointId,
        cache_namespace: str,
        parts: Iterable[tuple[Part, ServiceName]],
    ) -> None:
        """Sends one message to each owner of the parts' stores."""
        queried = [
            QueriedPart(store, cache_namespace, part) for part, store in parts
        ]
        for owner, rows in self._by_owner(queried).items():
            self._send(message_type(reader, tuple(rows)), owner)

    async def _ask(self, queried: list[QueriedPart]) -> list[PartReply]:
        return await self._pending_queries.ask(
            {
                owner: partial(PartQuery, parts=tuple(rows))
                for owner, rows in self._by_owner(queried).items()
            }
        )

    def _by_owner(
        self, queried: Iterable[QueriedPart]
    ) -> dict[Address, list[QueriedPart]]:
        by_owner: dict[Address, list[QueriedPart]] = {}
        for row in queried:
            owner = self._owners.owner(row.store)
            by_owner.setdefault(owner, []).append(row)
        return by_owner


def _needs_next_store(reported: PartReport | None) -> bool:
    return reported is None or reported.status in _TRY_NEXT_STATUSES


def _merge(
    stored: dict[PartKey, PartReport], reported: PartReply, now: float
) -> None:
    """Merges a reply; a further store's status counts only if usable."""
    for state in reported.states:
        key = (state.cache_namespace, state.name)
        if key in stored and state.status in _TRY_NEXT_STATUSES:
            continue
        stored[key] = PartReport(
            state.store,
            state.status,
            state.until_ms,
            state.reader,
            state.clock_ms / 1000 - now if state.clock_ms else None,
        )
