"""Keeps one store's index up to date by polling its events."""

from collections.abc import Callable, Iterable
from random import Random

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit, explain
from magnolialug.ids import ServiceName
from magnolialug.platform.cachecalls import (
    CacheCalls,
    CacheChange,
    CacheEvents,
)
from magnolialug.policy.salt import version_of
from magnolialug.policy.storeindex import StoreIndex
from magnolialug.result import Failure
from magnolialug.timing import sleep

__all__ = ["StorePoller"]

# Calls that wait less than 0.2 s are charged for. Just before an answer the
# store's last word is two waits and a pause old, which must stay well within
# the time for which it counts.
_WAIT_S = 0.5
# Events gather for this long between calls: one call brings about ten.
_PACE_S = 0.2
_AGAIN_S = 0.3
# An entry that is asked about a store indexes it for this long even if it is
# not an owner: the asker does not reach the owners.
_ASKED_S = 3.0


class StorePoller:
    """Polls one store while this entry owns it.

    Args:
      index: what is believed of the store.
      newest: returns the newest version of a model that is known of.
      owns: tells whether this entry owns the store.
    """

    def __init__(
        self,
        name: ServiceName,
        address: Address,
        index: StoreIndex,
        calls: CacheCalls,
        clock: IReactorTime,
        random: Random,
        newest: Callable[[str], int],
        owns: Callable[[], bool],
    ):
        self.address = address
        self.index = index
        self._name = name
        self._calls = calls
        self._clock = clock
        self._random = random
        self._newest = newest
        self._owns = owns
        self._asked_until = float("-inf")
        self._since = 0
        self._heard = False

    @property
    def kept(self) -> bool:
        """Whether this entry answers for the store."""
        return self._owns() or self._clock.seconds() < self._asked_until

    def asked(self) -> None:
        """Records that another entry takes this one for an owner."""
        self._asked_until = self._clock.seconds() + _ASKED_S

    async def run(self) -> None:
        """Polls until cancelled."""
        self._forget()
        while True:
            asked = self._clock.seconds()
            found = await self._calls.events(self.address, self._since, _WAIT_S)
            if isinstance(found, Failure):
                self._lost(found)
                pause = self._random.uniform(0.5 * _AGAIN_S, 1.5 * _AGAIN_S)
                await sleep(self._clock, pause)
                continue
            await self._answered(found, asked)
            await sleep(self._clock, _PACE_S)

    def _forget(self) -> None:
        """Begins anew, also when the store was indexed here before.

        What has changed meanwhile may be more than the store remembers.
        """
        self.index.restarted(0, 0, self._clock.seconds())
        self._since = 0
        self._heard = False

    def _lost(self, failure: Failure) -> None:
        if self._heard:
            emit(Event.STORE_LOST, store=self._name, **explain(failure))
        self._heard = False

    async def _answered(self, found: CacheEvents, asked: float) -> None:
        index = self.index
        if not self._heard:
            emit(Event.STORE_HEARD, store=self._name, epoch=found.epoch)
        self._heard = True
        if not index.is_start(found.epoch, found.born_ms):
            await self._restarted(found)
        else:
            self._take(found.changes)
            self._since = max(self._since, found.next)
            index.born_ms = index.born_ms or found.born_ms
        index.heard_at = max(index.heard_at, asked)
        if found.clock_ms:
            index.clock_s = found.clock_ms / 1000 - self._clock.seconds()

    async def _restarted(self, found: CacheEvents) -> None:
        index = self.index
        fresh = index.epoch == 0
        index.restarted(found.epoch, found.born_ms, self._clock.seconds())
        await self._catch_up(found)
        if fresh and index.parts:
            index.lived()

    async def _catch_up(self, found: CacheEvents) -> None:
        """Reads what a store holds that has been heard for the first time."""
        if self._since == 0 and not found.gap:
            self._take(found.changes)
            self._since = found.next
            return
        listed = await self._calls.list(self.address)
        if isinstance(listed, Failure) or not self.index.is_start(
            listed.epoch, listed.born_ms
        ):
            self.index.epoch = 0
            self._since = 0
            return
        for part in listed.parts:
            self.index.added((part.salt, part.part), part.tokens)
        self._since = listed.next
        emit(Event.STORE_LISTED, store=self._name, parts=len(listed.parts))

    def _take(self, changes: Iterable[CacheChange]) -> None:
        for change in changes:
            key = (change.salt, change.part)
            if change.whole and not self._closed(change.salt):
                self.index.added(key, change.tokens)
            elif not change.whole:
                self.index.removed(key)

    def _closed(self, salt: str) -> bool:
        """Whether parts under a salt are not believed any more.

        An engine can take new weights while it reads a part, and saves it
        under the salt of the old ones. So of a version that is being
        replaced only those parts are believed that were whole before.
        """
        model, version = version_of(salt)
        return version < self._newest(model)
