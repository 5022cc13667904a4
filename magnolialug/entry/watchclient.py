"""Keeps a local copy of the key-value service up to date."""

from collections.abc import Mapping, Sequence
from random import Random

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.progress import Progress
from magnolialug.entry.urgentwatch import UrgentWatch
from magnolialug.events import Event, emit, explain
from magnolialug.kvpages import Pages, read_pages
from magnolialug.platform.kv import Changes, Kv, KvEntry, Snapshot
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
# A watch whose answer was lost cannot be told from a quiet one. The service is
# asked for its revision this often meanwhile, well within the shortest bound
# for a configuration, 2 s.
_CHECK_INTERVAL_S = 0.8
# A change that is on its way to the watch when the service answers the check.
_CHECK_SLACK_S = 0.2
# While an answer arrives for longer than this, and may hold a long value, the
# changes of urgent keys are asked for beside it.
_LONG_ARRIVAL_S = 0.1
# An answer that arrives for longer than this is logged.
_SLOW_ARRIVAL_S = 0.2
# A longer value holds up what changes behind it, and only its newest version is
# read after a time without contact. Many short values are no reason for either:
# when a whole fleet starts again, further calls would use up the quota.
_LONG_VALUE_BYTES = 64 * 1024
# How often it is logged that the service still does not answer.
_REMINDER_INTERVAL_S = 10.0
# What was missed stands in no answer, or in too long a one: a snapshot has one
# value of each key, however often it has changed.
_READ_ALL_AFTER = frozenset((Code.KV_HISTORY_GONE, Code.KV_ANSWER_TOO_LONG))
# Pages that were read longer ago are read again. The service must still know
# what has changed since the first one.
_PAGES_KEPT_S = 5.0
# First pause after a failed call.
_RETRY_S = 0.1
# Longest pause while the service answers calls, but not as it should.
_RETRY_LIMIT_S = 1.0
# Longest pause while no connection can be made. Such attempts cost the service
# nothing, and a process whose path is back must soon know what it has missed.
_RECONNECT_LIMIT_S = 0.25


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
      urgent: prefixes of keys that do not wait behind a long answer.
    """

    def __init__(
        self,
        kv: Kv,
        subscribers: Mapping[str, WatchSubscriber],
        clock: IReactorTime,
        random: Random,
        wait_s: float,
        pace_s: tuple[float, float] = (0.0, 0.0),
        urgent: Sequence[str] = (),
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
        self._answered_at = clock.seconds()
        self._lost_logged_at = float("-inf")
        self._progress = Progress()
        self._pages = Pages(_ALL)
        self._pages_begun_at = float("-inf")
        self._has_long_values = False
        self._urgent_watch = UrgentWatch(
            kv, urgent, clock, wait_s, pace_s[0], self._urgent
        )
        self._urgent_revisions = dict.fromkeys(urgent, 0)
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

    def revision_of(self, prefix: str) -> int:
        """Returns the revision up to which all changes of a prefix are told."""
        return max(self.revision, self._urgent_revisions.get(prefix, 0))

    async def _run(self) -> None:
        backoff = Backoff(base_s=_RETRY_S)
        known = False
        while True:
            found = await (self._changes() if known else self._snapshot())
            if isinstance(found, Failure):
                if found.code in _READ_ALL_AFTER:
                    # The service answers; earlier failures do not delay the
                    # snapshot, which tells of what was missed.
                    known = False
                    backoff = Backoff(base_s=_RETRY_S)
                self._lost(found)
                await sleep(self._clock, self._pause_s(found, backoff))
                continue
            backoff = Backoff(base_s=_RETRY_S)
            self._log_arrival()
            self._heard(found)
            if known:
                await self._pace()
            known = True

    def _pause_s(self, failure: Failure, backoff: Backoff) -> float:
        unreachable = failure.code is Code.KV_UNREACHABLE
        limit_s = _RECONNECT_LIMIT_S if unreachable else _RETRY_LIMIT_S
        backoff.limit_s = limit_s
        return backoff.next(self._random)

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
        """Reads all entries, from where a failure interrupted it before."""
        now = self._clock.seconds()
        if now - self._pages_begun_at > _PAGES_KEPT_S:
            self._pages, self._pages_begun_at = Pages(_ALL), now
        self._progress = Progress()
        return await read_pages(self._kv, self._pages, self._progress)

    async def _changes(self) -> Changes | Snapshot | Failure:
        self._asked_at = self._clock.seconds()
        if self.in_touch:
            awaited = await self._wait_for_changes()
            if awaited is not None:
                return awaited
        if self._has_long_values:
            return await self._catch_up()
        found = await self._ask_changes(0.0)
        if isinstance(found, Failure) or found.entries:
            return found
        # While the service drops its history, watches skip changes.
        skipped = found.revision > self.revision
        return await self._snapshot() if skipped else found

    async def _catch_up(self) -> Snapshot | Failure:
        """Reads what was missed, and only the newest version of each value.

        The changes hold every version of a value. Those of a long one take
        longer to arrive than it takes the operator to write the next. Changes
        of urgent keys are short, and each of them matters.
        """
        for prefix in self._urgent_revisions:
            after = self.revision_of(prefix)
            found = await self._kv.changes(prefix, after, 0.0)
            if isinstance(found, Failure):
                return found
            self._touch(found.revision)
            self._urgent(prefix, found)
        return await self._snapshot()

    async def _ask_changes(self, wait_s: float) -> Changes | Failure:
        """Asks for changes of all keys; the urgent ones overtake the others."""
        overtaking = None

        def begin() -> None:
            nonlocal overtaking
            if self._has_long_values:
                overtaking = self._clock.callLater(
                    _LONG_ARRIVAL_S, self._urgent_watch.start, self.revision
                )

        self._progress = Progress(on_begin=begin)
        try:
            return await self._kv.changes(
                _ALL, self.revision, wait_s, self._progress
            )
        finally:
            if overtaking is not None and overtaking.active():
                overtaking.cancel()
            self._urgent_watch.stop()

    def _log_arrival(self) -> None:
        progress = self._progress
        if progress.arrival_s > _SLOW_ARRIVAL_S:
            emit(
                Event.KV_ANSWER_SLOW,
                revision=self.revision,
                received=progress.received,
                arrival_s=round(progress.arrival_s, 3),
            )

    async def _wait_for_changes(self) -> Changes | Failure | None:
        """Waits at the service until a change, or until the watch is stale.

        The answer to a watch is lost when the service stops answering while
        something changes; its connection stays open, and every other call is
        answered again. Without a check the process would go on with an old
        configuration until the wait is over.

        Returns:
          None if the watch is stale.
        """
        watch = ensureDeferred(self._ask_changes(self._wait_s))
        stale = False

        def end_watch(reason: str) -> None:
            nonlocal stale
            stale = True
            emit(
                Event.WATCH_STALE,
                revision=self.revision,
                reason=reason,
                received=self._progress.received,
                arrival_s=round(self._progress.arrival_s, 3),
            )
            watch.cancel()

        check = ensureDeferred(self._until_stale())
        check.addCallbacks(
            end_watch, lambda reason: reason.trap(CancelledError)
        )
        try:
            return await watch
        except CancelledError:
            if not stale:
                raise
            return None
        finally:
            check.cancel()

    async def _until_stale(self) -> str:
        """Returns why once the service is ahead of a watch, or unreachable.

        A watch whose answer is arriving has missed nothing. It is left alone,
        since asking anew would carry the same answer again; if it falls
        silent, its call ends by itself.
        """
        watch = self._progress
        while True:
            await sleep(self._clock, _CHECK_INTERVAL_S)
            if watch.is_arriving:
                continue
            asked_at = self._clock.seconds()
            newest = await self._kv.newest_revision()
            if watch.is_arriving:
                continue
            if isinstance(newest, Failure):
                return newest.reason
            self._answered_at = asked_at
            if newest <= self.revision:
                continue
            await sleep(self._clock, _CHECK_SLACK_S)
            if not watch.is_arriving:
                return f"the service is at revision {newest}"

    def _touch(self, revision: int) -> None:
        """Records that the service has answered."""
        now = self._clock.seconds()
        away_s, self._answered_at = now - self._answered_at, now
        if not self.in_touch:
            self.in_touch = True
            self._lost_logged_at = float("-inf")
            emit(Event.KV_BACK, revision=revision, away_s=round(away_s, 3))
            for subscriber in self._subscribers.values():
                subscriber.back(away_s)

    def _heard(self, found: Snapshot | Changes) -> None:
        self._touch(found.revision)
        self.revision = max(self.revision, found.revision)
        self._note_sizes(found.entries)
        # Pages that are older than what is reported must not follow it.
        self._pages_begun_at = float("-inf")
        if isinstance(found, Snapshot):
            # It may be older than what has overtaken an answer before it.
            self._urgent_revisions = dict.fromkeys(self._urgent_revisions, 0)
            for prefix, subscriber in self._subscribers.items():
                rows = [e for e in found.entries if e.key.startswith(prefix)]
                subscriber.snapshot(rows)
            return
        self._report([e for e in found.entries if not self._is_told(e)])

    def _note_sizes(self, entries: Sequence[KvEntry]) -> None:
        """Learns whether there are values that take long to arrive."""
        longest = max((len(e.value or b"") for e in entries), default=0)
        self._has_long_values |= longest > _LONG_VALUE_BYTES

    def _urgent(self, prefix: str, found: Changes) -> None:
        """Takes changes that have overtaken a long answer."""
        if found.entries:
            self._pages_begun_at = float("-inf")
        self._urgent_revisions[prefix] = found.revision
        self._report(found.entries)

    def _is_told(self, entry: KvEntry) -> bool:
        """Whether a change has overtaken the answer that it is in now."""
        return any(
            entry.revision <= revision and entry.key.startswith(prefix)
            for prefix, revision in self._urgent_revisions.items()
        )

    def _report(self, entries: Sequence[KvEntry]) -> None:
        for entry in entries:
            for prefix, subscriber in self._subscribers.items():
                if entry.key.startswith(prefix):
                    subscriber.changed(entry)
        for subscriber in self._subscribers.values():
            subscriber.settled()

    def _lost(self, failure: Failure) -> None:
        self._log_lost(failure)
        if not self.in_touch:
            return
        self.in_touch = False
        for subscriber in self._subscribers.values():
            subscriber.lost()

    def _log_lost(self, failure: Failure) -> None:
        """Logs an outage when it begins and then from time to time.

        An outage may have begun before the process did, and its reason may
        change.
        """
        now = self._clock.seconds()
        if now - self._lost_logged_at < _REMINDER_INTERVAL_S:
            return
        self._lost_logged_at = now
        emit(
            Event.KV_LOST,
            revision=self.revision,
            away_s=round(now - self._answered_at, 3),
            **explain(failure),
        )
