"""Cache parts: this entry's books of stores, and its questions to others."""

from collections.abc import Callable, Iterable
from random import Random

from twisted.internet.interfaces import IReactorTime

from magnolialug.config.routing import Routing
from magnolialug.homes.wiring import Homes, Talk
from magnolialug.parts.asker import PartAsker
from magnolialug.parts.cleaner import Cleaner
from magnolialug.parts.desk import Desk
from magnolialug.parts.messages import (
    AskParts,
    CancelSave,
    Save,
    ToldParts,
)
from magnolialug.parts.watch import StoreWatch
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.policy.oldweights import EngineWeights
from magnolialug.policy.storemap import StoreMap

__all__ = ["Parts"]

# Entries that follow a store: its home, and the one that stands in for it.
_HOMES = 2


class Parts:
    """Wires what follows stores to what asks about them.

    Attributes:
      map: the stores of the configuration in force.

    Args:
      newest: returns the newest version of a model that is known of.
      engines: returns the weights of all listed engines.
    """

    def __init__(
        self,
        homes: Homes,
        calls: CacheCalls,
        newest: Callable[[str], int],
        engines: Callable[[], Iterable[EngineWeights]],
        talk: Talk,
        clock: IReactorTime,
        random: Random,
    ):
        self.map = StoreMap()
        self.watch = StoreWatch(
            self.map,
            calls,
            clock,
            random,
            newest,
            lambda store: homes.book.rank(store) < _HOMES,
        )
        self.asker = PartAsker(homes.book, self.map, homes.questions, talk.send)
        self.cleaner = Cleaner(self.watch, calls, clock.seconds, engines)
        desk = Desk(self.watch.book, clock.seconds)
        talk.takes(AskParts, lambda ask, home: talk.send(desk.ask(ask), home))
        talk.takes(Save, lambda save, _: desk.save(save))
        talk.takes(CancelSave, lambda cancel, _: desk.cancel_save(cancel))
        talk.takes(ToldParts, homes.questions.answered)

    def configure(self, routing: Routing) -> None:
        """Takes the stores of a configuration."""
        self.watch.configure(routing)

    def tick(self, now: float) -> None:
        """Follows the stores that are this entry's, and frees old parts."""
        self.watch.tick(now)
        self.cleaner.tick(now)

    def stop(self) -> None:
        """Follows no store any more."""
        self.watch.stop()
