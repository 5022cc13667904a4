"""Questions to homes, and the answers that come in time."""

import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.homes.homebook import HomeBook

__all__ = ["Answer", "Questions"]

# Answers come within two crossings between zones and a turn of the home's
# loop, 1 to 4 ms. A request whose home is dead waits this long once, a
# twentieth of the shortest target; the home is left out for a while then.
_TIMEOUT_S = 0.015


class Answer(Protocol):
    """A home's message that names the question."""

    number: int


class _Open:
    """A question whose answers have not all come."""

    def __init__(self, homes: Iterable[Address]):
        self.missing = set(homes)
        self.answers: list[Any] = []
        self.done: Deferred[None] = Deferred()


class Questions:
    """Sends one question to several homes, and waits a moment for each.

    Args:
      send: sends a message to an entry.
    """

    def __init__(
        self,
        book: HomeBook,
        send: Callable[[Any, Address], None],
        clock: IReactorTime,
    ):
        self._book = book
        self._send = send
        self._clock = clock
        self._numbers = itertools.count(1)
        self._open: dict[int, _Open] = {}

    async def ask(
        self, homes: Mapping[Address, Callable[[int], Any]]
    ) -> list[Any]:
        """Returns the answers of those homes that give one.

        Args:
          homes: for each the question, made from its number.
        """
        if not homes:
            return []
        number = next(self._numbers)
        question = self._open[number] = _Open(homes)
        for home, message in homes.items():
            self._send(message(number), home)
        timer = self._clock.callLater(_TIMEOUT_S, question.done.callback, None)
        try:
            await question.done
        finally:
            del self._open[number]
            if timer.active():
                timer.cancel()
        for home in question.missing:
            self._book.missed(home)
        return question.answers

    def answered(self, answer: Answer, home: Address) -> None:
        """Takes a home's answer."""
        self._book.heard(home)
        question = self._open.get(answer.number)
        if question is None:
            return
        question.answers.append(answer)
        question.missing.discard(home)
        if not question.missing and not question.done.called:
            question.done.callback(None)
