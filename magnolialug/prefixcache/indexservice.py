"""Answers queries about the stores that this entry indexes."""

from collections.abc import Callable

from magnolialug.ids import ServiceName
from magnolialug.policy.storeindex import PartStatus, StoreIndex
from magnolialug.prefixcache.messages import (
    PartQuery,
    PartReply,
    PartState,
    SaveCancelled,
    SaveNotice,
)

__all__ = ["StoreIndexService"]


class StoreIndexService:
    """Answers part lookups and tracks in-flight saves.

    Args:
      index: returns a store's index, None if the store is not configured.
        A call extends the time for which this entry indexes the store.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        index: Callable[[ServiceName], StoreIndex | None],
        clock: Callable[[], float],
    ):
        self._index = index
        self._clock = clock

    def reply(self, query: PartQuery) -> PartReply:
        """Returns the status of the parts in a query."""
        now = self._clock()
        states = []
        for queried in query.parts:
            index = self._index(queried.store)
            if index is None:
                continue
            part = queried.part
            key = (queried.cache_namespace, part.name)
            status = index.status(key, part.tokens, now)
            held = status is PartStatus.HELD
            until_ms = index.fetch_until_ms() if held else 0
            states.append(
                PartState(
                    queried.store,
                    *key,
                    status,
                    until_ms,
                    index.reader(key),
                    index.clock_ms(now) if held else 0,
                )
            )
        return PartReply(query.number, tuple(states))

    def save(self, save: SaveNotice) -> None:
        """Records pending saves of parts."""
        now = self._clock()
        for queried in save.parts:
            index = self._index(queried.store)
            if index is not None:
                part = queried.part
                key = (queried.cache_namespace, part.name)
                index.add_save(key, part.tokens, save.reader, now)

    def cancel_save(self, cancel: SaveCancelled) -> None:
        """Drops pending saves of parts."""
        for queried in cancel.parts:
            index = self._index(queried.store)
            if index is not None:
                key = (queried.cache_namespace, queried.part.name)
                index.cancel_save(key, cancel.reader)
