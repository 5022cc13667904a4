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
      index: returns a store's index, None for one that is not configured;
        the index is kept for a while from then on.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        index: Callable[[ServiceName], StoreIndex | None],
        clock: Callable[[], float],
    ):
        self._index = index
        self._clock = clock

    def ask(self, ask: PartQuery) -> PartReply:
        """Returns what is to be done with some parts."""
        now = self._clock()
        states = []
        for asked in ask.parts:
            index = self._index(asked.store)
            if index is None:
                continue
            part = asked.part
            key = (asked.salt, part.name)
            word = index.status(key, part.tokens, now)
            held = word is PartStatus.HELD
            until_ms = index.fetch_until_ms() if held else 0
            states.append(
                PartState(asked.store, *key, word, until_ms, index.reader(key))
            )
        return PartReply(ask.number, tuple(states))

    def save(self, save: SaveNotice) -> None:
        """Records that parts will be saved."""
        now = self._clock()
        for asked in save.parts:
            index = self._index(asked.store)
            if index is not None:
                part = asked.part
                key = (asked.salt, part.name)
                index.saving(key, part.tokens, save.reader, now)

    def cancel_save(self, cancel: SaveCancelled) -> None:
        """Records that parts will not be saved after all."""
        for asked in cancel.parts:
            index = self._index(asked.store)
            if index is not None:
                key = (asked.salt, asked.part.name)
                index.save_cancelled(key, cancel.reader)
