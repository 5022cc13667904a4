"""Keeps an entry's configuration up to date."""

from collections.abc import Callable
from random import Random

from twisted.internet.interfaces import IReactorTime

from magnolialug.background import background
from magnolialug.config.current import Current
from magnolialug.confstore import HEAD_KEY, head_of, read_doc, read_head
from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.watcherslots import (
    LEASE_S,
    SLOTS,
    WatcherState,
    should_acquire_slot,
)
from magnolialug.result import Failure

__all__ = ["ConfigWatch"]

_TICK_INTERVAL_S = 1.0
_RENEWAL_INTERVAL_S = LEASE_S / 3
_LEASE_MARGIN_S = 1.0
# A watch whose answer was lost cannot be distinguished from one without
# changes, so the head key is also read this often. A new configuration must be
# applied within 5 s, including the heartbeat that passes it on.
_READ_INTERVAL_S = 2.0


class ConfigWatch:
    """Watches the head key while it holds one of a few leased slots.

    A watch can stop reporting without an error, so a slot's holder also reads
    the head every two seconds. The end of the lease is computed on the local
    monotonic clock, from before the call that renewed it and less a margin. A
    process that was suspended thus treats its lease as expired before any
    other process can acquire the slot.

    Args:
      name: the name of this entry.
      wall: returns wall-clock seconds, for the heartbeat.
    """

    def __init__(
        self,
        name: str,
        current: Current,
        kv: Kv,
        clock: IReactorTime,
        random: Random,
        wall: Callable[[], float],
    ):
        self._name = name
        self._current = current
        self._kv = kv
        self._clock = clock
        self._random = random
        self._wall = wall
        self._watching = WatcherState()
        self._lease = 0
        self._valid_until = 0.0
        self._renewed = 0.0
        self._read_at = 0.0
        self._stop_watch: Callable[[], None] | None = None
        self._timer = None
        self._busy = False

    @property
    def holds(self) -> bool:
        """Whether this entry holds a slot."""
        return self._clock.seconds() < self._valid_until

    def start(self) -> None:
        """Starts, and tries to acquire a slot at once."""
        self._spawn(self._try_slots())
        self._timer = self._clock.callLater(_TICK_INTERVAL_S, self._step)

    def stop(self) -> None:
        """Stops the watch; the lease is left to expire."""
        if self._timer and self._timer.active():
            self._timer.cancel()
        self._stop_watching()

    def _step(self) -> None:
        self._timer = self._clock.callLater(_TICK_INTERVAL_S, self._step)
        now = self._clock.seconds()
        if self._busy:
            return
        if self.holds:
            if now - self._renewed >= _RENEWAL_INTERVAL_S:
                self._spawn(self._renew())
            elif now - self._read_at >= _READ_INTERVAL_S:
                self._spawn(self._read())
            return
        self._stop_watching()
        beat = self._current.beat
        if should_acquire_slot(self._watching, beat, now, self._random):
            self._spawn(self._try_slots())

    def _spawn(self, work) -> None:
        self._busy = True
        background("configuration watch", work).addBoth(self._clear_busy)

    def _clear_busy(self, _: object) -> None:
        self._busy = False

    async def _try_slots(self) -> None:
        asked = self._clock.seconds()
        lease = await self._kv.grant(LEASE_S)
        if isinstance(lease, Failure):
            return
        first = self._random.randrange(SLOTS)
        for step in range(SLOTS):
            slot = (first + step) % SLOTS
            key = f"magnolialug/watchers/{slot}"
            swap = await self._kv.put_if(key, self._name.encode(), 0, lease)
            if isinstance(swap, Failure):
                return
            if swap.won:
                self._lease = lease
                self._record_renewal(asked)
                await self._read()
                self._watch()
                return
        await self._read()

    async def _renew(self) -> None:
        asked = self._clock.seconds()
        left = await self._kv.keep(self._lease)
        if isinstance(left, Failure):
            return
        if left <= 0:
            self._valid_until = 0.0
            return
        self._record_renewal(asked)

    def _record_renewal(self, asked: float) -> None:
        self._renewed = asked
        self._valid_until = asked + LEASE_S - _LEASE_MARGIN_S
        self._current.heard(self._wall())

    async def _read(self) -> None:
        self._read_at = self._clock.seconds()
        head = await read_head(self._kv)
        if isinstance(head, Failure):
            return
        self._current.heard(self._wall())
        await self._apply_newer(head)

    async def _apply_newer(self, head) -> None:
        if head.version <= self._current.version:
            return
        doc = await read_doc(self._kv, head.changes[0])
        if not isinstance(doc, Failure):
            self._current.offer(doc)

    def _watch(self) -> None:
        self._stop_watching()
        self._stop_watch = self._kv.watch(
            HEAD_KEY, 0, self._changed, self._ended
        )

    def _changed(self, entry: KvEntry) -> None:
        self._current.heard(self._wall())
        head = head_of(entry)
        if isinstance(head, Failure):
            emit(Event.CONFIG_REFUSED, key=entry.key, **explain(head))
            return
        background("configuration change", self._apply_newer(head))

    def _ended(self, failure: Failure) -> None:
        self._stop_watch = None
        self._read_at = 0.0
        if self.holds:
            self._clock.callLater(_TICK_INTERVAL_S, self._watch_again)

    def _watch_again(self) -> None:
        if self.holds and self._stop_watch is None:
            self._watch()

    def _stop_watching(self) -> None:
        stop, self._stop_watch = self._stop_watch, None
        if stop:
            stop()
