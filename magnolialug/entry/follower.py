"""Keeps one prefix of the key-value service in step."""

from collections.abc import Sequence
from random import Random

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import Changes, Kv, KvEntry, Snapshot
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure
from magnolialug.timing import sleep

__all__ = ["Follower", "Take"]


class Take:
    """What a follower tells its owner; to be overridden.

    Entries with value None were removed.
    """

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Takes all entries as they are now."""

    def changed(self, entry: KvEntry) -> None:
        """Takes one change."""

    def lost(self) -> None:
        """Learns that the service does not answer."""

    def back(self) -> None:
        """Learns that the service answers again."""


class Follower:
    """Reads all entries under a prefix once, then what changes.

    The service rations calls over all machines. After an outage every
    machine would ask at the same moment, and the ration would be used up by
    calls that are refused; so pauses after a failure are drawn at random.

    Args:
      wait_s: how long one call may wait at the service for a change.
      pace_s: pause between calls, so that changes that come together are
        fetched together.
    """

    def __init__(
        self,
        kv: Kv,
        prefix: str,
        take: Take,
        clock: IReactorTime,
        random: Random,
        wait_s: float,
        pace_s: float = 0.0,
    ):
        self.in_touch = False
        self.revision = 0
        self._kv = kv
        self.prefix = prefix
        self._take = take
        self._clock = clock
        self._random = random
        self._wait_s = wait_s
        self._pace_s = pace_s
        self._task: Deferred | None = None

    def start(self) -> None:
        """Begins to follow."""
        self._task = ensureDeferred(self._run())
        self._task.addErrback(lambda reason: reason.trap(CancelledError))

    def stop(self) -> None:
        """Ends the following."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()

    async def _run(self) -> None:
        backoff = Backoff(base_s=0.1, limit_s=1.0)
        known = False
        while True:
            found = await (self._changes() if known else self._snapshot())
            if isinstance(found, Failure):
                known = known and found.code is not Code.KV_HISTORY_GONE
                self._lost(found)
                await sleep(self._clock, backoff.next(self._random))
                continue
            backoff = Backoff(base_s=0.1, limit_s=1.0)
            self._heard(found)
            if known:
                await sleep(self._clock, self._pace_s)
            known = True

    async def _snapshot(self) -> Snapshot | Failure:
        return await self._kv.snapshot(self.prefix)

    async def _changes(self) -> Changes | Failure:
        wait_s = self._wait_s if self.in_touch else 0.0
        return await self._kv.changes(self.prefix, self.revision, wait_s)

    def _heard(self, found: Snapshot | Changes) -> None:
        if not self.in_touch:
            self.in_touch = True
            emit(Event.KV_BACK, prefix=self.prefix, revision=found.revision)
            self._take.back()
        self.revision = max(self.revision, found.revision)
        if isinstance(found, Snapshot):
            self._take.snapshot(found.entries)
            return
        for entry in found.entries:
            self._take.changed(entry)

    def _lost(self, failure: Failure) -> None:
        if not self.in_touch:
            return
        self.in_touch = False
        emit(
            Event.KV_LOST,
            prefix=self.prefix,
            revision=self.revision,
            **explain(failure),
        )
        self._take.lost()
