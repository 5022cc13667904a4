"""Keeps the index of one store up to date by polling its events."""

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
from magnolialug.policy.cachenamespace import model_and_version
from magnolialug.policy.storeindex import StoreIndex
from magnolialug.result import Failure
from magnolialug.timing import sleep

__all__ = ["StorePoller"]

# Calls that wait less than 0.2 s are charged for. Just before a reply, the last
# contact is two waits and a pause old, which must stay well within
# storeindex.STATUS_VALID_S.
_WAIT_S = 0.5
# Events accumulate for this long between calls: one call returns about ten.
_POLL_INTERVAL_S = 0.2
_RETRY_S = 0.3
# An entry that receives a query about a store indexes it for this long even if
# it is not an owner: the sender does not reach the owners.
_QUERIED_S = 3.0


class StorePoller:
    """Polls one store while this entry indexes it.

    Args:
      index: the last known state of the store.
      newest_version: returns the newest known version of a model.
      is_owner: returns whether this entry owns the store.
    """

    def __init__(
        self,
        name: ServiceName,
        address: Address,
        index: StoreIndex,
        calls: CacheCalls,
        clock: IReactorTime,
        random: Random,
        newest_version: Callable[[str], int],
        is_owner: Callable[[], bool],
    ):
        self.address = address
        self.index = index
        self._name = name
        self._calls = calls
        self._clock = clock
        self._random = random
        self._newest_version = newest_version
        self._is_owner = is_owner
        self._queried_until = float("-inf")
        self._since = 0
        self._in_contact = False

    @property
    def indexed(self) -> bool:
        """Whether this entry indexes the store."""
        return self._is_owner() or self._clock.seconds() < self._queried_until

    def record_query(self) -> None:
        """Records a query from an entry that takes this one for an owner."""
        self._queried_until = self._clock.seconds() + _QUERIED_S

    async def run(self) -> None:
        """Polls until cancelled."""
        self._reset()
        while True:
            sent_at = self._clock.seconds()
            reply = await self._calls.events(self.address, self._since, _WAIT_S)
            if isinstance(reply, Failure):
                self._contact_lost(reply)
                pause = self._random.uniform(0.5 * _RETRY_S, 1.5 * _RETRY_S)
                await sleep(self._clock, max(pause, reply.retry_after_s))
                continue
            await self._handle_reply(reply, sent_at)
            await sleep(self._clock, _POLL_INTERVAL_S)

    def _reset(self) -> None:
        """Resets the index, also if this entry has indexed the store before.

        The store may not have retained all events since then.
        """
        self.index.reset(0, 0, self._clock.seconds())
        self._since = 0
        self._in_contact = False

    def _contact_lost(self, failure: Failure) -> None:
        if self._in_contact:
            emit(Event.STORE_LOST, store=self._name, **explain(failure))
        self._in_contact = False

    async def _handle_reply(self, reply: CacheEvents, sent_at: float) -> None:
        index = self.index
        if not self._in_contact:
            emit(Event.STORE_HEARD, store=self._name, epoch=reply.epoch)
        self._in_contact = True
        if not index.is_same_start(reply.epoch, reply.born_ms):
            await self._handle_restart(reply)
        else:
            self._apply_changes(reply.changes)
            self._since = max(self._since, reply.next)
            index.born_ms = index.born_ms or reply.born_ms
        index.last_contact_at = max(index.last_contact_at, sent_at)
        if reply.clock_ms:
            index.clock_offset_s = reply.clock_ms / 1000 - self._clock.seconds()

    async def _handle_restart(self, reply: CacheEvents) -> None:
        index = self.index
        is_first_contact = index.epoch == 0
        index.reset(reply.epoch, reply.born_ms, self._clock.seconds())
        await self._catch_up(reply)
        if is_first_contact and index.parts:
            index.allow_writes()

    async def _catch_up(self, reply: CacheEvents) -> None:
        """Reads the contents of a store after a first contact or a restart."""
        if self._since == 0 and not reply.gap:
            self._apply_changes(reply.changes)
            self._since = reply.next
            return
        listed = await self._calls.list(self.address)
        if isinstance(listed, Failure) or not self.index.is_same_start(
            listed.epoch, listed.born_ms
        ):
            self.index.epoch = 0
            self._since = 0
            return
        for part in listed.parts:
            self.index.add_part((part.salt, part.part), part.tokens)
        self._since = listed.next
        emit(Event.STORE_LISTED, store=self._name, parts=len(listed.parts))

    def _apply_changes(self, changes: Iterable[CacheChange]) -> None:
        for change in changes:
            key = (change.salt, change.part)
            if change.whole and not self._is_version_replaced(change.salt):
                self.index.add_part(key, change.tokens)
            elif not change.whole:
                self.index.remove_part(key)

    def _is_version_replaced(self, cache_namespace: str) -> bool:
        """Whether a namespace's model version is being replaced.

        An engine can load new weights during the prefill of a part, and then
        saves the part under the namespace of the old ones. So of a version
        that is being replaced, only parts that were complete before are used.
        """
        model, version = model_and_version(cache_namespace)
        return version < self._newest_version(model)
