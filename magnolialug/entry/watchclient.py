"""Keeps a local copy of the key-value service up to date."""

from collections.abc import Mapping, Sequence
from random import Random

from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.carrier.progress import Progress
from magnolialug.entry.urgentwatch import UrgentWatch
from magnolialug.events import Event, emit, explain
from magnolialug.guard import Guard
from magnolialug.kvpages import Pages, read_pages
from magnolialug.platform.kv import Changes, Kv, KvEntry, Snapshot
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.supervisedtask import SupervisedTask
from magnolialug.timing import sleep
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["WatchClient"]

# A watch over all keys costs one call for each change. A watch for each prefix
# would cost as many calls as there are prefixes.
_ALL = ""
# Consecutive calls before the pause between them grows. Most changes come alone
# or in two or three steps.
_UNDELAYED_CALLS = 3
# A watch whose answer was lost cannot be distinguished from one without
# changes. The service is queried for its revision this often during a watch,
# well within the shortest bound for a configuration, 2 s.
_CHECK_INTERVAL_S = 0.8
# Time allowed for a change that is still on its way to the watch when the
# service answers the check.
_CHECK_SLACK_S = 0.2
# Time until an answer must begin after a watch that ended or was lost. Once a
# call has waited that long, the next ones are allowed more, because the service
# may be slow. A watch and a call that are both lost must not delay a
# configuration by more than 2 s.
_CATCH_UP_S = 0.5
# The same for a call for which a caller waits; a lost one is made once more.
_NEWEST_S = 0.25
# If an answer that may hold a long value takes longer than this to arrive, the
# changes of urgent keys are requested in parallel.
_LONG_ARRIVAL_S = 0.1
# An answer that takes longer than this to arrive is logged.
_SLOW_ARRIVAL_S = 0.2
# A value longer than this delays the changes after it, and after an outage only
# its newest version is read. Many short values cause neither, because further
# calls would use up the quota when a whole fleet restarts.
_LONG_VALUE_BYTES = 64 * 1024
# Interval of log lines while the service does not answer.
_REMINDER_INTERVAL_S = 10.0
# After these failures a snapshot is read: the missed changes are no longer
# available, or their answer is too long. A snapshot holds one value for each
# key, however often it has changed.
_READ_ALL_AFTER = frozenset((Code.KV_HISTORY_GONE, Code.KV_ANSWER_TOO_LONG))
# Pages of an interrupted snapshot that are older than this are read again. The
# service must still have the changes since the first page.
_PAGES_KEPT_S = 5.0
# First pause after a failed call.
_RETRY_S = 0.1
# Longest pause while the service answers calls with errors.
_RETRY_LIMIT_S = 1.0
# Longest pause while no connection can be made. Such attempts cost the service
# nothing, and once the network path works again the process must soon read the
# changes that it has missed.
_RECONNECT_LIMIT_S = 0.25


class WatchClient:
    """Reads all entries once, then watches for changes, one call at a time.

    The service has one quota for all machines. Pauses after a failure are
    random, because simultaneous calls of the whole fleet at the end of an
    outage would use up the quota and be refused.

    Args:
      subscribers: by prefix, the subscriber that receives its entries.
      wait_s: longest time that a call waits at the service for a change.
      pace_s: shortest and longest time between two calls while changes are
        frequent, so that one call returns several changes.
      urgent: prefixes of keys whose changes do not wait for a long answer.

    Attributes:
      is_connected: whether the service answered the last call.
      revision: the revision up to which all changes have been reported.
      unheard_since: the earliest time at which a change can have been made that
        is reported now, in seconds.
      guard: calls the subscribers, and counts the calls that failed.
      task: the watch; it begins with a snapshot.
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
        self.is_connected = False
        self.revision = 0
        self.unheard_since = clock.seconds()
        self.guard = Guard(clock.seconds)
        self._kv = kv
        self._subscribers = subscribers
        self._clock = clock
        self._random = random
        self._wait_s = wait_s
        self._pace_s = pace_s
        self._consecutive_calls = 0
        self._asked_at = float("-inf")
        self._answered_at = clock.seconds()
        self._lost_logged_at = float("-inf")
        self._longest_call_s = self._longest_extension_s = 0.0
        self._progress = Progress()
        self._is_slow = False
        self._pages = Pages(_ALL)
        self._pages_begun_at = float("-inf")
        self._has_long_values = False
        self._urgent_watch = UrgentWatch(
            kv, urgent, clock, wait_s, pace_s[0], self._apply_urgent
        )
        self._urgent_revisions = dict.fromkeys(urgent, 0)
        self._read_ahead = 0
        self.task = SupervisedTask("watch", self._run, clock)

    def start(self) -> None:
        """Starts the watch."""
        self.task.start()

    def stop(self) -> None:
        """Stops the watch."""
        self.task.stop()

    def revision_of(self, prefix: str) -> int:
        """Returns the revision up to which a prefix has been reported."""
        return max(self.revision, self._urgent_revisions.get(prefix, 0))

    async def catch_up(self) -> Failure | None:
        """Reads the newest changes and reports those of urgent keys.

        Returns:
          why changes that were made before this call may be missing; None if
          all have been reported.
        """
        if not self.is_connected:
            return failed(Code.KV_UNREACHABLE, "the watch is lost")
        found = await self._read_newest_changes()
        if isinstance(found, Failure) and found.code is Code.KV_TIMEOUT:
            # The call may have used a connection whose path was cut; after
            # that failure the next one does not.
            found = await self._read_newest_changes()
        if isinstance(found, Failure):
            return found
        if not found.entries and found.revision > self.revision:
            # While the service discards its history, answers skip changes.
            return failed(Code.KV_HISTORY_GONE)
        self._record_contact(found.revision)
        self._check_sizes(found.entries)
        self._read_ahead = max(
            (e.revision for e in found.entries if not self._is_urgent(e)),
            default=0,
        )
        for prefix in self._urgent_revisions:
            rows = [e for e in found.entries if e.key.startswith(prefix)]
            self._apply_urgent(prefix, Changes(tuple(rows), found.revision))
        return None

    @property
    def has_unreported(self) -> bool:
        """Whether the last `catch_up` has read changes not reported yet."""
        return self._read_ahead > self.revision

    def _is_urgent(self, entry: KvEntry) -> bool:
        return entry.key.startswith(tuple(self._urgent_revisions))

    async def _read_newest_changes(self) -> Changes | Failure:
        progress = Progress(self._clock.seconds())
        after = self.revision
        found = await self._kv.changes(_ALL, after, 0.0, progress, _NEWEST_S)
        if not isinstance(found, Failure) and found.revision < after:
            # The service has lost changes, and its revisions begin lower.
            return failed(Code.KV_HISTORY_GONE, field="after", value=after)
        return found

    async def _run(self) -> None:
        backoff = Backoff(base_s=_RETRY_S)
        known = False
        while True:
            found = await (self._changes() if known else self._snapshot())
            self._record_call()
            if isinstance(found, Failure):
                if found.code in _READ_ALL_AFTER:
                    # The service answers, so earlier failures must not delay
                    # the snapshot, which holds the missed changes.
                    known = False
                    backoff = Backoff(base_s=_RETRY_S)
                self._record_failure(found)
                await sleep(self._clock, self._pause_s(found, backoff))
                continue
            backoff = Backoff(base_s=_RETRY_S)
            self._log_arrival()
            self._apply(found)
            if known:
                await self._pace()
            known = True

    def _pause_s(self, failure: Failure, backoff: Backoff) -> float:
        unreachable = failure.code is Code.KV_UNREACHABLE
        limit_s = _RECONNECT_LIMIT_S if unreachable else _RETRY_LIMIT_S
        backoff.limit_s = limit_s
        return backoff.next(self._random)

    async def _pace(self) -> None:
        """Waits for further changes, longer after each consecutive call.

        While the whole fleet starts, or entries restart one after another,
        changes are constant. A call that returns one change costs as much as
        a call that returns ten.
        """
        least_s, longest_s = self._pace_s
        took_s = self._clock.seconds() - self._asked_at
        if took_s > longest_s:
            self._consecutive_calls = 0
            return
        self._consecutive_calls += 1
        doubled = max(0, self._consecutive_calls - _UNDELAYED_CALLS)
        pause_s = min(longest_s, least_s * 2**doubled)
        await sleep(self._clock, max(0.0, pause_s - took_s))

    async def _snapshot(
        self, slack_s: float | None = None
    ) -> Snapshot | Failure:
        """Reads all entries, resuming a read that a failure interrupted."""
        now = self._clock.seconds()
        if now - self._pages_begun_at > _PAGES_KEPT_S:
            self._pages, self._pages_begun_at = Pages(_ALL), now
        self._progress = Progress(now)
        return await read_pages(self._kv, self._pages, self._progress, slack_s)

    async def _changes(self) -> Changes | Snapshot | Failure:
        self._asked_at = self._clock.seconds()
        if self.is_connected:
            awaited = await self._wait_for_changes()
            if awaited is not None:
                return awaited
        slack_s = None if self._is_slow else _CATCH_UP_S
        read = self._read_newest if self._has_long_values else self._read_missed
        found = await read(slack_s)
        waited_s = self._progress.waited_s(self._clock.seconds())
        self._is_slow = waited_s >= _CATCH_UP_S
        return found

    async def _read_missed(
        self, slack_s: float | None
    ) -> Changes | Snapshot | Failure:
        """Reads missed changes, every version of each value."""
        found = await self._ask_changes(0.0, slack_s)
        if isinstance(found, Failure) or found.entries:
            return found
        # While the service discards its history, watches skip changes.
        skipped = found.revision > self.revision
        return await self._snapshot(slack_s) if skipped else found

    async def _read_newest(self, slack_s: float | None) -> Snapshot | Failure:
        """Reads missed changes, only the newest version of long values.

        The list of changes holds every version of a value. All versions of a
        long value can take longer to arrive than the operator takes to write
        the next. Changes of urgent keys are short, and each of them matters,
        so they are read one by one before the snapshot.
        """
        for prefix in self._urgent_revisions:
            after = self.revision_of(prefix)
            self._progress = Progress(self._clock.seconds())
            found = await self._kv.changes(
                prefix, after, 0.0, self._progress, slack_s
            )
            if isinstance(found, Failure):
                return found
            self._record_contact(found.revision)
            self._apply_urgent(prefix, found)
        return await self._snapshot(slack_s)

    async def _ask_changes(
        self, wait_s: float, slack_s: float | None = None
    ) -> Changes | Failure:
        """Requests changes of all keys; urgent ones may arrive earlier."""
        urgent_timer = None

        def begin() -> None:
            nonlocal urgent_timer
            if self._has_long_values:
                urgent_timer = self._clock.callLater(
                    _LONG_ARRIVAL_S, self._urgent_watch.start, self.revision
                )

        self._progress = Progress(self._clock.seconds(), on_begin=begin)
        try:
            return await self._kv.changes(
                _ALL, self.revision, wait_s, self._progress, slack_s
            )
        finally:
            if urgent_timer is not None and urgent_timer.active():
                urgent_timer.cancel()
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
        """Waits at the service for a change, or until the watch is stale.

        The answer to a watch is lost if the service stops answering while
        something changes. The connection of the watch stays open, and later
        calls are answered again. Without a check the process would use an old
        configuration until the watch times out.

        Returns:
          None if the watch is stale.
        """
        watch = ensureDeferred(self._ask_changes(self._wait_s))
        stale = ended = False

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

        def end_unchecked(reason: TwistedFailure) -> None:
            if not ended:
                emit(
                    Event.TASK_FAILED,
                    task="watch check",
                    traceback=reason.getTraceback(),
                )
                end_watch("the check failed")

        check = ensureDeferred(self._until_stale())
        check.addCallbacks(end_watch, end_unchecked)
        try:
            return await watch
        except CancelledError:
            if not stale:
                raise
            return None
        finally:
            ended = True
            check.cancel()

    async def _until_stale(self) -> str:
        """Returns the reason once the watch is stale.

        A watch is stale if the service has a newer revision or cannot be
        reached. A watch whose answer is arriving is not stale: a new call
        would transfer the same answer again. If that answer stops arriving,
        its call times out by itself.
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

    def _record_call(self) -> None:
        """Records how long a call of an outage took, for the log."""
        if self.is_connected:
            return
        progress = self._progress
        took_s = self._clock.seconds() - progress.started_at
        self._longest_call_s = max(self._longest_call_s, took_s)
        self._longest_extension_s = max(
            self._longest_extension_s, progress.extended_s
        )

    def _record_contact(self, revision: int) -> None:
        """Records that the service has answered."""
        now = self._clock.seconds()
        self.unheard_since = self._answered_at
        away_s, self._answered_at = now - self._answered_at, now
        if not self.is_connected:
            self.is_connected = True
            self._lost_logged_at = float("-inf")
            emit(
                Event.KV_BACK,
                revision=revision,
                away_s=round(away_s, 3),
                longest_call_s=round(self._longest_call_s, 3),
                extended_s=round(self._longest_extension_s, 3),
            )
            self._longest_call_s = self._longest_extension_s = 0.0
            for prefix, subscriber in self._subscribers.items():
                self.guard.call(f"back {prefix}", subscriber.back, away_s)

    def _apply(self, found: Snapshot | Changes) -> None:
        self._record_contact(found.revision)
        self.revision = max(self.revision, found.revision)
        self._check_sizes(found.entries)
        # Pages older than the reported changes must not be reported after them.
        self._pages_begun_at = float("-inf")
        if isinstance(found, Snapshot):
            # The snapshot may be older than the urgent changes that were
            # reported before it.
            self._urgent_revisions = dict.fromkeys(self._urgent_revisions, 0)
            for prefix, subscriber in self._subscribers.items():
                rows = [e for e in found.entries if e.key.startswith(prefix)]
                self._report_snapshot(prefix, subscriber, rows)
            return
        self._report([e for e in found.entries if not self._was_reported(e)])

    def _check_sizes(self, entries: Sequence[KvEntry]) -> None:
        """Records whether there are values that take long to arrive."""
        longest = max((len(e.value or b"") for e in entries), default=0)
        self._has_long_values |= longest > _LONG_VALUE_BYTES

    def _apply_urgent(self, prefix: str, found: Changes) -> None:
        """Reports urgent changes that arrived before an answer to the watch."""
        known = self.revision_of(prefix)
        newer = [e for e in found.entries if e.revision > known]
        if newer:
            self._pages_begun_at = float("-inf")
        self._urgent_revisions[prefix] = max(known, found.revision)
        self._report(newer)

    def _was_reported(self, entry: KvEntry) -> bool:
        """Whether a change was reported as urgent before this answer."""
        return any(
            entry.revision <= revision and entry.key.startswith(prefix)
            for prefix, revision in self._urgent_revisions.items()
        )

    def _report_snapshot(
        self, prefix: str, subscriber: WatchSubscriber, rows: list[KvEntry]
    ) -> None:
        """Reports a snapshot; if that fails, each of its entries by itself."""
        if self.guard.call(f"snapshot {prefix}", subscriber.snapshot, rows):
            for row in rows:
                self._report_entry(subscriber, row)

    def _report_entry(
        self, subscriber: WatchSubscriber, entry: KvEntry
    ) -> None:
        """Reports an entry; one that raises keeps no others back."""
        exc = self.guard.call("entry", subscriber.changed, entry)
        if exc is not None:
            reason = f"{type(exc).__name__}: {exc}"
            bad = failed(Code.BAD_ENTRY, reason, entry.key)
            emit(Event.ENTRY_REFUSED, key=entry.key, **explain(bad))

    def _report(self, entries: Sequence[KvEntry]) -> None:
        for entry in entries:
            for prefix, subscriber in self._subscribers.items():
                if entry.key.startswith(prefix):
                    self._report_entry(subscriber, entry)
        for prefix, subscriber in self._subscribers.items():
            self.guard.call(f"settled {prefix}", subscriber.settled)

    def _record_failure(self, failure: Failure) -> None:
        self._log_outage(failure)
        if not self.is_connected:
            return
        self.is_connected = False
        for prefix, subscriber in self._subscribers.items():
            self.guard.call(f"lost {prefix}", subscriber.lost)

    def _log_outage(self, failure: Failure) -> None:
        """Logs an outage when it begins and at intervals while it lasts.

        An outage may have begun before the process started, and its reason may
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
