"""The lease that lets one entry at a time lead the rollout of weights."""

import secrets
from collections.abc import Callable, Sequence
from random import Random

import msgspec
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId
from magnolialug.owners.ownerring import FIRST
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.retry import Backoff
from magnolialug.policy.rollout import Rollout
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["LEADER_KEY", "Leader", "RolloutLease"]

LEADER_KEY = "magnolialug/orders/holder"
# The lease is shorter than the bound between two leaders, so that a dead
# leader is replaced sooner; one that was not sending commands when it died
# needs no bound at all.
_TTL_SHARE = 0.67
_RENEWALS = 4
# A command sent just before the lease ends needs this long to arrive.
_MARGIN_S = 0.4
# When the lease falls free entries try one after another, in the order on
# which they agree without talking. A try takes two calls, and is known to
# the others within a third of a second.
_TRY_EVERY_S = 0.35
_TRY_WITHIN_S = 0.05
# Who is not among the first in that order waits for them, all dead or cut off,
# this long at least and half as long again at most.
_LATER_S = 1.2
# Entries that have just started do not yet know of each other.
_SETTLE_S = 1.0


class Leader(msgspec.Struct, frozen=True):
    """The value of the leader's key.

    Attributes:
      start: names one start of the leader's process.
      rollout: what it may be sending commands for, None for nothing.
      possibly_commanded: engines that it or one before it may have commanded
        within the bound, None for any. Its name in the store stays, because two
        releases run side by side during a rolling upgrade.
    """

    vm: str
    start: str
    rollout: Rollout | None = None
    possibly_commanded: tuple[str, ...] | None = msgspec.field(
        default=(), name="wary"
    )


class RolloutLease(WatchSubscriber):
    """Holds or waits for the lease.

    The key that the lease keeps alive names its leader, and the revision at
    which it was last written is the fencing token: later ones are higher. A
    leader can be suspended or cut off and still believe in its lease. So it
    trusts it on a clock that counts suspension, from before the renewal was
    asked for, and a margin less.

    Commands of two leaders to one engine must not alternate faster than a
    bound. Before its commands a leader writes which engines they will go
    to, on condition that the key is still its own. Who takes over leaves
    those engines alone for the bound, and writes that it does so, for the
    next leader; all other engines it can command at once, since a further
    write of the one before will fail. The others read it too, and send no
    new work to an engine that is about to load.

    Args:
      vm: the name of this machine.
      bound_s: time that must lie between the commands of two leaders.
      on_rollout: receives what any leader is about to command, and whether that
        is this entry.
      rank: returns this entry's place among the first that try for the
        lease, FIRST for all others.
    """

    def __init__(
        self,
        kv: Kv,
        vm: str,
        clock: IReactorTime,
        random: Random,
        bound_s: float,
        on_rollout: Callable[[Rollout, bool], None],
        rank: Callable[[str], int],
    ):
        self.fence = 0
        self.name = f"{vm}.{secrets.token_hex(4)}"
        self._me = Leader(vm, self.name)
        self._kv = kv
        self._clock = clock
        self._random = random
        self._bound_s = bound_s
        self._ttl_s = bound_s * _TTL_SHARE
        self._lease = 0
        self.announced: Rollout | None = None
        self._on_rollout = on_rollout
        self._rank = rank
        self._is_taken = True
        self._previous: Leader | None = None
        self._freed: Deferred[None] | None = None
        self._writing = False
        self._possibly_commanded: tuple[str, ...] | None = ()
        self._written_commanded: tuple[str, ...] | None = ()
        self._wait_until = 0.0
        self._closed_at: dict[str, float] = {}
        self._until = 0.0
        self._commanded_at = 0.0
        self._task: Deferred | None = None

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Takes the key as it is now; who held it before is not known."""
        self._previous = None
        if entries:
            self.changed(entries[-1])
        else:
            self._on_free()

    def changed(self, entry: KvEntry) -> None:
        """Takes what a leader has written, or that the lease is free."""
        if entry.value is None:
            self._on_free()
            return
        self._is_taken = True
        leader = _leader_of(entry)
        if leader is None:
            return
        self._previous = leader
        if leader.rollout is not None:
            self._on_rollout(leader.rollout, False)

    def _on_free(self) -> None:
        self._is_taken = False
        freed, self._freed = self._freed, None
        if freed is not None:
            freed.callback(None)

    def start(self) -> None:
        """Begins to wait for the lease."""
        self._task = ensureDeferred(self._run())
        self._task.addErrback(lambda reason: reason.trap(CancelledError))

    async def stop(self) -> None:
        """Lets another entry take over.

        It sends no command from here on. One that is under way went to an
        engine that the next leader leaves alone for the bound.
        """
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        held, self.fence = self.fence, 0
        if held:
            await self._kv.revoke(self._lease)

    def may_command(self, endpoint: EndpointId) -> bool:
        """Whether a command may be sent to an engine at this moment."""
        is_announced = self.announced is not None and not self._writing
        in_time = self._clock.seconds() < self._until
        return (
            is_announced
            and in_time
            and not self.is_possibly_commanded(endpoint)
        )

    def is_possibly_commanded(self, endpoint: EndpointId) -> bool:
        """Whether the previous leader may have commanded an engine just now."""
        if self._clock.seconds() >= self._wait_until:
            return False
        return (
            self._possibly_commanded is None
            or endpoint in self._possibly_commanded
        )

    def record_command(self) -> None:
        """Records that a command is sent now."""
        self._commanded_at = self._clock.seconds()

    @property
    def held(self) -> bool:
        """Whether this process holds the lease and can write under it."""
        return self.fence > 0 and not self._writing

    def announce(self, rollout: Rollout) -> None:
        """Writes what is about to be commanded; commands may follow it."""
        if self.held and rollout != self.announced:
            self._writing = True
            ensureDeferred(self._write(rollout))

    def announce_end(self) -> None:
        """Writes that no more commands are sent, once that is long true."""
        since = max(self._commanded_at, self._wait_until - self._bound_s)
        quiet = self._clock.seconds() - since > self._bound_s
        has_news = self.announced is not None or self._written_commanded != ()
        if self.held and has_news and quiet:
            self._writing = True
            ensureDeferred(self._write(None))

    def fenced(self) -> None:
        """Learns that a higher fencing token has been used."""
        self._until = 0.0
        self.fence = 0
        self.announced = None

    async def _write(self, rollout: Rollout | None) -> None:
        commanded = self._find_possibly_commanded(rollout)
        value = msgspec.structs.replace(
            self._me, rollout=rollout, possibly_commanded=commanded
        )
        swap = await self._kv.put_if(
            LEADER_KEY, msgspec.json.encode(value), self.fence, self._lease
        )
        if isinstance(swap, Failure):
            await self._read_back()
        elif swap.won:
            self.fence = swap.revision
            self._written_commanded = commanded
            self._notify(rollout)
        elif swap.current is None or not self._is_mine(swap.current):
            self.fenced()
        else:
            self._record_written(swap.current)
        self._writing = False

    async def _read_back(self) -> None:
        """Finds out what a write without answer has done."""
        found = await self._kv.get(LEADER_KEY)
        if isinstance(found, KvEntry) and self._is_mine(found):
            self._record_written(found)

    def _record_written(self, entry: KvEntry) -> None:
        self.fence = entry.revision
        self._notify(_leader_of(entry).rollout)

    def _notify(self, rollout: Rollout | None) -> None:
        self.announced = rollout
        if rollout is not None:
            self._on_rollout(rollout, True)

    async def _run(self) -> None:
        backoff = Backoff(base_s=0.2, limit_s=1.0)
        await sleep(self._clock, self._random.uniform(0.5, 1.0) * _SETTLE_S)
        while True:
            await self._wait_until_free()
            failure = await self._acquire(self._previous)
            if failure is None:
                await self._hold()
                backoff = Backoff(base_s=0.2, limit_s=1.0)
            else:
                emit(Event.LEASE_UNCERTAIN, **explain(failure))
                await sleep(self._clock, backoff.next(self._random))

    async def _wait_until_free(self) -> None:
        """Returns when the lease is free and it is this entry's turn."""
        while True:
            if self._is_taken:
                self._freed = Deferred()
                await self._freed
            await sleep(self._clock, self._attempt_delay_s())
            if not self._is_taken:
                return

    def _attempt_delay_s(self) -> float:
        rank = self._rank(LEADER_KEY)
        if rank < FIRST:
            within = self._random.uniform(0.0, _TRY_WITHIN_S)
            return rank * _TRY_EVERY_S + within
        return self._random.uniform(1.0, 1.5) * _LATER_S

    async def _acquire(self, before: Leader | None) -> Failure | None:
        """Writes the key; a lost answer is read back.

        A write that takes effect only after that is not claimed: its lease
        is not renewed, so the key goes again and is free for all.
        """
        asked = self._clock.seconds()
        lease = await self._kv.grant(self._ttl_s)
        if isinstance(lease, Failure):
            return lease
        value = msgspec.json.encode(self._first_record(before))
        swap = await self._kv.put_if(LEADER_KEY, value, 0, lease)
        if isinstance(swap, Failure):
            found = await self._kv.get(LEADER_KEY)
            if not isinstance(found, KvEntry) or found.value != value:
                return swap
            revision = found.revision
        elif not swap.won:
            return failed(Code.KV_ERROR, "another entry was faster")
        else:
            revision = swap.revision
        self._lease = lease
        self.fence = revision
        self.announced = None
        self._until = asked + self._ttl_s - _MARGIN_S
        self._follow(before)
        emit(
            Event.LEASE_WON,
            holder=self.name,
            fence=self.fence,
            before=before.start if before else "unknown",
            left_alone="all"
            if self._possibly_commanded is None
            else len(self._possibly_commanded),
        )
        return None

    def _first_record(self, before: Leader | None) -> Leader:
        """Returns the first value that this leader writes.

        It carries on which engines those before may have commanded, for the
        case that this leader ends within the bound too.
        """
        commanded = before.possibly_commanded if before else None
        return msgspec.structs.replace(self._me, possibly_commanded=commanded)

    def _follow(self, before: Leader | None) -> None:
        """Learns which engines to leave alone, and until when."""
        self._wait_until = self._clock.seconds() + self._bound_s
        self._possibly_commanded = self._written_commanded = (
            before.possibly_commanded if before else None
        )

    def _find_possibly_commanded(
        self, rollout: Rollout | None
    ) -> tuple[str, ...] | None:
        """Returns the engines that the next leader must leave alone."""
        now = self._clock.seconds()
        for known in (self.announced, rollout):
            for endpoint in known.closed if known else ():
                self._closed_at[endpoint] = now
        inherited = self._possibly_commanded if now < self._wait_until else ()
        if inherited is None:
            return None
        recent = {
            endpoint
            for endpoint, at in self._closed_at.items()
            if now - at <= self._bound_s
        }
        return tuple(sorted(recent.union(inherited)))

    async def _hold(self) -> None:
        while self.fence:
            await sleep(self._clock, self._ttl_s / _RENEWALS)
            asked = self._clock.seconds()
            left = await self._kv.keep(self._lease)
            if isinstance(left, Failure):
                emit(Event.LEASE_UNCERTAIN, **explain(left))
                continue
            if left <= 0:
                break
            if self.fence:
                self._until = asked + self._ttl_s - _MARGIN_S
        emit(Event.LEASE_LOST, holder=self.name, fence=self.fence)
        self.fenced()

    def _is_mine(self, entry: KvEntry) -> bool:
        leader = _leader_of(entry)
        return leader is not None and leader.start == self.name


def _leader_of(entry: KvEntry) -> Leader | None:
    try:
        return msgspec.json.decode(entry.value or b"", type=Leader)
    except msgspec.MsgspecError:
        return None
