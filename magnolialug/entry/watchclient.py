"""Keeps a local copy of the key-value service up to date."""

from collections.abc import Mapping
from random import Random

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import Changes, Kv, Snapshot
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure
from magnolialug.timing import sleep
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["WatchClient"]

# One watch over all keys costs one call a change; one for each prefix would
# cost as many as there are prefixes.
_ALL = ""
# Calls that follow each other without a longer pause: most changes come alone,
# or in two or three steps.
_QUICK_CALLS = 3


class WatchClient:
    """Reads all entries once, then the changes, with one watch at a time.

    The service has a quota for all machines together. Pauses after a failure
    are drawn at random, because calls of the whole fleet at the end of an
    outage would use up the quota and be refused.

    Args:
      subscribers: receive the entries under their prefix.
      wait_s: how long one call may wait at the service for a change.
      pace_s: shortest and longest time between two calls while much changes,
        so that one call returns several changes.
    """

    def __init__(
        self,
        kv: Kv,
        subscribers: Mapping[str, WatchSubscriber],
        clock: IReactorTime,
        random: Random,
        wait_s: float,
        pace_s: tuple[float, float] = (0.0, 0.0),
    ):
        self.in_touch = False
        self.revision = 0
        self._kv = kv
        self._subscribers = subscribers
        self._clock = clock
        self._random = random
        self._wait_s = wait_s
        self._pace_s = pace_s
        self._in_a_row = 0
        self._asked_at = float("-inf")
        self._task: Deferred | None = None

    def start(self) -> None:
        """Begins to watch."""
        self._task = ensureDeferred(self._run())
        self._task.addErrback(lambda reason: reason.trap(CancelledError))

    def stop(self) -> None:
        """Ends the watch."""
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
                await self._pace()
            known = True

    async def _pace(self) -> None:
        """Waits for further changes, longer each time while there are some.

        A start of the whole fleet, or of one entry after the other, changes
        something every moment; each call that brings one change costs as much
        as one that brings ten.
        """
        least_s, longest_s = self._pace_s
        took_s = self._clock.seconds() - self._asked_at
        if took_s > longest_s:
            self._in_a_row = 0
            return
        self._in_a_row += 1
        doubled = max(0, self._in_a_row - _QUICK_CALLS)
        pause_s = min(longest_s, least_s * 2**doubled)
        await sleep(self._clock, max(0.0, pause_s - took_s))

    async def _snapshot(self) -> Snapshot | Failure:
        return await self._kv.snapshot(_ALL)

    async def _changes(self) -> Changes | Failure:
        wait_s = self._wait_s if self.in_touch else 0.0
        self._asked_at = self._clock.seconds()
        return await self._kv.changes(_ALL, self.revision, wait_s)

    def _heard(self, found: Snapshot | Changes) -> None:
        if not self.in_touch:
            self.in_touch = True
            emit(Event.KV_BACK, revision=found.revision)
            for subscriber in self._subscribers.values():
                subscriber.back()
        self.revision = max(self.revision, found.revision)
        if isinstance(found, Snapshot):
            for prefix, subscriber in self._subscribers.items():
                rows = [e for e in found.entries if e.key.startswith(prefix)]
                subscriber.snapshot(rows)
            return
        for entry in found.entries:
            for prefix, subscriber in self._subscribers.items():
                if entry.key.startswith(prefix):
                    subscriber.changed(entry)
        for subscriber in self._subscribers.values():
            subscriber.settled()

    def _lost(self, failure: Failure) -> None:
        if not self.in_touch:
            return
        self.in_touch = False
        emit(Event.KV_LOST, revision=self.revision, **explain(failure))
        for subscriber in self._subscribers.values():
            subscriber.lost()
