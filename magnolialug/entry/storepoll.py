"""Keeps one store's book, by polls of its own or by those of others."""

from collections.abc import Callable, Iterable
from random import Random

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.config.routing import CacheStore
from magnolialug.events import Event, emit, explain
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import CacheCalls, CacheEvents
from magnolialug.policy.cachemap import CacheMap, StoreBook
from magnolialug.policy.cachenews import CacheChange, CacheNews
from magnolialug.policy.salt import version_of
from magnolialug.result import Failure
from magnolialug.timing import sleep

__all__ = ["StorePoll"]

# Calls that wait less than 0.2 s are charged for. Just before an answer the
# store's last word is two waits and a pause old, which must stay well within
# the time for which it counts.
_WAIT_S = 0.5
# Events gather for this long between calls: one call brings about ten.
_PACE_S = 0.2
_AGAIN_S = 0.3
# Two waits and a pause, 1.2 s, and the way: no keeper's word is older while
# all is well. What is left of the 1.6 s for which a word counts is enough for
# one short poll.
_RELAYED_S = 1.3
_SHORT_WAIT_S = 0.2
_LOOK_S = 0.25
# About fifty bytes each; more are fetched by those who miss them.
_CHANGES_TOLD = 40


class StorePoll:
    """Follows one store.

    A keeper polls the store and tells the others what it was answered. The
    others poll only at first, when they have missed something, and when they
    have heard nothing for a while.

    Args:
      book: what is believed of the store.
      newest: returns the newest version of a model that is known of.
      keeps: tells whether this entry polls for the others.
      tell: sends what was answered to the others.
    """

    def __init__(
        self,
        name: ServiceName,
        store: CacheStore,
        book: StoreBook,
        cache: CacheMap,
        calls: CacheCalls,
        clock: IReactorTime,
        random: Random,
        newest: Callable[[str], int],
        keeps: Callable[[], bool],
        tell: Callable[[CacheNews], None],
    ):
        self._name = name
        self._store = store
        self._book = book
        self._cache = cache
        self._calls = calls
        self._clock = clock
        self._random = random
        self._newest = newest
        self._keeps = keeps
        self._tell = tell
        self._since = 0
        self._heard = False
        self._behind = True

    @property
    def address(self) -> Address:
        """Where the store is."""
        return self._store.address

    async def run(self) -> None:
        """Polls whenever that is this entry's turn, until cancelled."""
        while True:
            if self._is_relayed():
                await sleep(self._clock, _LOOK_S)
                continue
            wait_s = _WAIT_S if self._keeps() else _SHORT_WAIT_S
            asked = self._clock.seconds()
            found = await self._calls.events(
                self._store.address, self._since, wait_s
            )
            if isinstance(found, Failure):
                self._lost(found)
                pause = self._random.uniform(0.5 * _AGAIN_S, 1.5 * _AGAIN_S)
                await sleep(self._clock, pause)
                continue
            await self._answered(found, asked)
            await sleep(self._clock, _PACE_S)

    def told(self, news: CacheNews) -> None:
        """Takes what a keeper was answered.

        What does not join on to what is known here is not taken; it shows
        that something was missed, and the next poll fetches that.
        """
        book = self._book
        same = book.is_start(news.epoch, news.born_ms)
        if not same or book.clock_s is None:
            self._behind = True
            return
        if news.since > self._since:
            self._behind = True
            return
        heard_at = news.asked_ms / 1000 - book.clock_s
        book.heard_at = max(book.heard_at, min(heard_at, self._clock.seconds()))
        if news.next > self._since:
            self._since = news.next
            self._take(news.changes)

    def _is_relayed(self) -> bool:
        if self._behind or self._keeps():
            return False
        return self._clock.seconds() - self._book.heard_at < _RELAYED_S

    def _lost(self, failure: Failure) -> None:
        if self._heard:
            emit(Event.STORE_LOST, store=self._name, **explain(failure))
        self._heard = False

    async def _answered(self, found: CacheEvents, asked: float) -> None:
        book = self._book
        if not self._heard:
            emit(Event.STORE_HEARD, store=self._name, epoch=found.epoch)
        self._heard = True
        since = self._since
        self._behind = False
        if not book.is_start(found.epoch, found.born_ms):
            await self._restarted(found)
        else:
            self._take(found.changes)
            self._since = max(since, found.next)
            book.born_ms = book.born_ms or found.born_ms
        book.heard_at = max(book.heard_at, asked)
        if found.clock_ms:
            book.clock_s = found.clock_ms / 1000 - self._clock.seconds()
        if self._keeps() and book.clock_s is not None:
            self._tell(self._news(found, since, asked))

    def _news(self, found: CacheEvents, since: int, asked: float) -> CacheNews:
        changes = found.changes
        if len(changes) > _CHANGES_TOLD:
            since, changes = found.next, ()
        return CacheNews(
            store=self._name,
            epoch=found.epoch,
            since=since,
            next=found.next,
            asked_ms=(asked + self._book.clock_s) * 1000,
            changes=changes,
            born_ms=found.born_ms,
        )

    async def _restarted(self, found: CacheEvents) -> None:
        book = self._book
        fresh = book.epoch == 0
        book.restarted(found.epoch, found.born_ms, self._clock.seconds())
        await self._catch_up(found)
        if fresh and book.parts:
            book.lived()

    async def _catch_up(self, found: CacheEvents) -> None:
        """Reads what a store holds that has been heard for the first time."""
        if self._since == 0 and not found.gap:
            self._take(found.changes)
            self._since = found.next
            return
        listed = await self._calls.list(self._store.address)
        if isinstance(listed, Failure) or not self._book.is_start(
            listed.epoch, listed.born_ms
        ):
            self._book.epoch = 0
            self._since = 0
            self._behind = True
            return
        for part in listed.parts:
            self._book.added((part.salt, part.part), part.tokens)
        self._since = listed.next
        emit(Event.STORE_LISTED, store=self._name, parts=len(listed.parts))

    def _take(self, changes: Iterable[CacheChange]) -> None:
        for change in changes:
            key = (change.salt, change.part)
            if change.whole and not self._closed(change.salt):
                self._book.added(key, change.tokens)
                self._cache.heard(key)
            elif not change.whole:
                self._book.removed(key)

    def _closed(self, salt: str) -> bool:
        """Whether parts under a salt are not believed any more.

        An engine can take new weights while it reads a part, and saves it
        under the salt of the old ones. So of a version that is being
        replaced only those parts are believed that were whole before.
        """
        model, version = version_of(salt)
        return version < self._newest(model)
