"""Answers for the stores whose books this entry keeps."""

from collections.abc import Callable

from magnolialug.ids import ServiceName
from magnolialug.parts.messages import (
    AskParts,
    CancelSave,
    PartState,
    Save,
    ToldParts,
)
from magnolialug.policy.storebook import PartWord, StoreBook

__all__ = ["Desk"]


class Desk:
    """Says what stores hold, and counts the saves that are under way.

    Args:
      book: returns a store's book, None for one that is not configured; it
        is kept for a while from then on.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        book: Callable[[ServiceName], StoreBook | None],
        clock: Callable[[], float],
    ):
        self._book = book
        self._clock = clock

    def ask(self, ask: AskParts) -> ToldParts:
        """Returns what is to be done with some parts."""
        now = self._clock()
        states = []
        for asked in ask.parts:
            book = self._book(asked.store)
            if book is None:
                continue
            part = asked.part
            key = (asked.salt, part.name)
            word = book.word(key, part.tokens, now)
            held = word is PartWord.HELD
            until_ms = book.fetch_until_ms() if held else 0
            states.append(
                PartState(asked.store, *key, word, until_ms, book.reader(key))
            )
        return ToldParts(ask.number, tuple(states))

    def save(self, save: Save) -> None:
        """Learns that parts will be saved."""
        now = self._clock()
        for asked in save.parts:
            book = self._book(asked.store)
            if book is not None:
                part = asked.part
                key = (asked.salt, part.name)
                book.saving(key, part.tokens, save.reader, now)

    def cancel_save(self, cancel: CancelSave) -> None:
        """Learns that parts will not be saved after all."""
        for asked in cancel.parts:
            book = self._book(asked.store)
            if book is not None:
                key = (asked.salt, asked.part.name)
                book.save_cancelled(key, cancel.reader)
