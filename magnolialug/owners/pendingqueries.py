"""PendingQueries to owners, and the answers that come in time."""

import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.owners.ownerring import OwnerRing

__all__ = ["Answer", "PendingQueries"]

# Answers come within two crossings between zones and a turn of the owner's
# loop, 1 to 4 ms. A request whose owner is dead waits this long once, a
# twentieth of the shortest target; the owner is left out for a while then.
_TIMEOUT_S = 0.015


class Answer(Protocol):
    """An owner's message that names the question."""

    number: int


class _Open:
    """A question whose answers have not all come."""

    def __init__(self, owners: Iterable[Address]):
        self.missing = set(owners)
        self.answers: list[Any] = []
        self.done: Deferred[None] = Deferred()


class PendingQueries:
    """Sends one question to several owners, and waits a moment for each.

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
        self._open: dict[int, _Open] = {}

    async def ask(
        self, owners: Mapping[Address, Callable[[int], Any]]
    ) -> list[Any]:
        """Returns the answers of those owners that give one.

        Args:
          owners: for each the question, made from its number.
        """
        if not owners:
            return []
        number = next(self._numbers)
        question = self._open[number] = _Open(owners)
        for owner, message in owners.items():
            self._send(message(number), owner)
        timer = self._clock.callLater(_TIMEOUT_S, question.done.callback, None)
        try:
            await question.done
        finally:
            del self._open[number]
            if timer.active():
                timer.cancel()
        for owner in question.missing:
            self._ring.missed(owner)
        return question.answers

    def answered(self, answer: Answer, owner: Address) -> None:
        """Takes an owner's answer."""
        self._ring.heard(owner)
        question = self._open.get(answer.number)
        if question is None:
            return
        question.answers.append(answer)
        question.missing.discard(owner)
        if not question.missing and not question.done.called:
            question.done.callback(None)
