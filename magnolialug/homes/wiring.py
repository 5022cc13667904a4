"""The shared knowledge of endpoints: this entry's part, and the others'."""

import secrets
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.homes.accounts import Accounts, EndpointFacts
from magnolialug.homes.asker import Asker
from magnolialug.homes.homebook import HomeBook
from magnolialug.homes.keeper import Keeper
from magnolialug.homes.lists import Lists
from magnolialug.homes.messages import Ask, Told, Turn, Unwait, Wait, Work
from magnolialug.homes.questions import Questions
from magnolialug.homes.teller import Teller
from magnolialug.homes.waits import Waits
from magnolialug.ids import EndpointId
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import WorkShare

__all__ = ["Beliefs", "Homes", "Talk"]

_NAME_BYTES = 4
# Of a question whose answer nobody waits for.
_NO_NUMBER = 0
# Accounts of endpoints that are gone are dropped this often.
_CLEAN_S = 1.0


class Talk(Protocol):
    """Brings messages to entries."""

    def takes(self, form: type, take: Callable[[Any, Address], None]) -> None:
        """Names who takes messages of a type, and from whom they come."""

    def send(self, message: Any, to: Address) -> None:
        """Sends a message to one entry."""


class Beliefs(Protocol):
    """What this entry's own process believes of the endpoints."""

    rollout: Rollout | None
    rollout_at: float

    def facts(self, endpoint: EndpointId) -> EndpointFacts | None:
        """Returns what a home must know, None if it is not listed."""

    def share(self, endpoint: EndpointId) -> WorkShare | None:
        """Returns this entry's work at an endpoint, None if it is gone."""

    def rolls_out(self, rollout: Rollout) -> None:
        """Takes a rollout that another entry knows."""


class Homes:
    """Wires what asks, tells and waits to what keeps accounts.

    Each endpoint has one home among the entries. It is told of all work at
    its endpoint and is asked at the moment of a choice, so that what an entry
    sends and takes grows with its own requests and not with the fleet.

    Args:
      me: this entry's own address.
    """

    def __init__(
        self, me: Address, beliefs: Beliefs, talk: Talk, clock: IReactorTime
    ):
        entry = secrets.token_hex(_NAME_BYTES)
        self.book = HomeBook(me, clock.seconds)
        self._accounts = Accounts(beliefs.facts)
        self.keeper = Keeper(
            self._accounts,
            lambda: beliefs.rollout,
            beliefs.rolls_out,
            clock.seconds,
        )
        self.lists = Lists(self._accounts, talk.send, clock)
        self.questions = Questions(self.book, talk.send, clock)
        self.asker = Asker(
            entry,
            self.book,
            self.questions,
            lambda: beliefs.rollout,
            beliefs.rolls_out,
        )
        self.teller = Teller(
            entry,
            self.book,
            beliefs.share,
            lambda: (beliefs.rollout, beliefs.rollout_at),
            talk.send,
            clock,
        )
        self.waits = Waits(entry, self.book, talk.send, clock)
        self._clean_at = 0.0
        self._talk = talk
        talk.takes(Ask, self._asked)
        talk.takes(Told, self.questions.answered)
        talk.takes(Turn, self.waits.told)
        talk.takes(Unwait, lambda unwait, _: self.lists.unwait(unwait))
        talk.takes(Wait, self.lists.wait)
        talk.takes(Work, lambda work, _: self.keeper.work(work))

    def entries(self, weights: Mapping[Address, float]) -> None:
        """Takes the registered entries, with the cores that each has."""
        if self.book.entries(weights):
            self.teller.moved()

    def tick(self, now: float) -> None:
        """Repeats and forgets what is due."""
        self.teller.tick(now)
        for address in self.book.due():
            self._talk.send(Ask("", _NO_NUMBER, ()), address)
        if now >= self._clean_at:
            self._clean_at = now + _CLEAN_S
            self._accounts.forget_old(now)

    def stop(self) -> None:
        """Ends all that waits for time to pass."""
        self.teller.stop()
        self.waits.stop()
        self.lists.stop()

    def _asked(self, ask: Ask, asker: Address) -> None:
        self._talk.send(self.keeper.ask(ask), asker)
