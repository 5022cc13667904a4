"""The lease that lets one entry at a time give orders to engines."""

import secrets
from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.retry import Backoff
from magnolialug.policy.rollout import Rollout
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep

__all__ = ["HOLDER_KEY", "Holder", "OrderLease"]

HOLDER_KEY = "magnolialug/orders/holder"
# Well within the time for which the service keeps its history.
_WATCH_S = 10.0
# The lease is shorter than the bound between two holders, so that a dead
# holder is replaced sooner; a holder that was not giving orders when it died
# needs no bound at all.
_TTL_SHARE = 0.67
_RENEWALS = 4
# An order that leaves just before the lease ends needs this long to arrive.
_MARGIN_S = 0.4
# Waiting entries try at different moments when the lease falls free.
_TRY_WITHIN_S = 0.2


class Holder(msgspec.Struct, frozen=True):
    """The value of the holder's key.

    Attributes:
      start: names one start of the holder's process.
      rollout: what it may be giving orders for, None for nothing.
    """

    vm: str
    start: str
    rollout: Rollout | None = None


class OrderLease:
    """Holds or waits for the lease.

    The key that the lease keeps alive names its holder, and the revision at
    which it was last written is the fencing token: later ones are higher. A
    holder can be suspended or cut off and still believe in its lease. So it
    trusts it on a clock that counts suspension, from before the renewal was
    asked for, and a margin less.

    Orders of two holders must not alternate faster than a bound. Before its
    orders a holder writes what it is about to order, on condition that the
    key is still its own. Who takes over from a holder that had written so
    waits for the bound; who takes over from one that had not can begin at
    once, since that one's next write will fail. The others read it too, and
    send no new work to an engine that is about to load.

    Args:
      vm: the name of this machine.
      bound_s: time that must lie between the orders of two holders.
      on_rollout: is told what any holder is about to order.
    """

    def __init__(
        self,
        kv: Kv,
        vm: str,
        clock: IReactorTime,
        random: Random,
        bound_s: float,
        on_rollout: Callable[[Rollout], None],
    ):
        self.fence = 0
        self.name = f"{vm}.{secrets.token_hex(4)}"
        self._me = Holder(vm, self.name)
        self._kv = kv
        self._clock = clock
        self._random = random
        self._bound_s = bound_s
        self._ttl_s = bound_s * _TTL_SHARE
        self._lease = 0
        self.announced: Rollout | None = None
        self._on_rollout = on_rollout
        self._writing = False
        self._from = 0.0
        self._until = 0.0
        self._ordered_at = 0.0
        self._task: Deferred | None = None

    def start(self) -> None:
        """Begins to wait for the lease."""
        self._task = ensureDeferred(self._run())
        self._task.addErrback(lambda reason: reason.trap(CancelledError))

    async def stop(self) -> None:
        """Lets another entry take over."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        held, self.fence = self.fence, 0
        if held and self.announced is None:
            await self._kv.revoke(self._lease)

    @property
    def may_order(self) -> bool:
        """Whether an order may be given at this moment."""
        now = self._clock.seconds()
        told = self.announced is not None and not self._writing
        return told and self._from <= now < self._until

    def ordered(self) -> None:
        """Learns that an order is given now."""
        self._ordered_at = self._clock.seconds()

    @property
    def held(self) -> bool:
        """Whether this process holds the lease and can write under it."""
        return self.fence > 0 and not self._writing

    def announce(self, rollout: Rollout) -> None:
        """Writes what is about to be ordered; orders may follow it."""
        if self.held and rollout != self.announced:
            self._writing = True
            ensureDeferred(self._write(rollout))

    def rest(self) -> None:
        """Writes that no more orders are given, once that is long true."""
        quiet = self._clock.seconds() - self._ordered_at > self._bound_s
        if self.held and self.announced is not None and quiet:
            self._writing = True
            ensureDeferred(self._write(None))

    def fenced(self) -> None:
        """Learns that a higher fencing token has been used."""
        self._until = 0.0
        self.fence = 0
        self.announced = None

    async def _write(self, rollout: Rollout | None) -> None:
        value = msgspec.structs.replace(self._me, rollout=rollout)
        swap = await self._kv.put_if(
            HOLDER_KEY, msgspec.json.encode(value), self.fence, self._lease
        )
        if isinstance(swap, Failure):
            await self._read_back()
        elif swap.won:
            self.fence = swap.revision
            self._tell(rollout)
        elif swap.current is None or not self._is_mine(swap.current):
            self.fenced()
        else:
            self._found(swap.current)
        self._writing = False

    async def _read_back(self) -> None:
        """Finds out what a write without answer has done."""
        found = await self._kv.get(HOLDER_KEY)
        if isinstance(found, KvEntry) and self._is_mine(found):
            self._found(found)

    def _found(self, entry: KvEntry) -> None:
        self.fence = entry.revision
        self._tell(_holder_of(entry).rollout)

    def _tell(self, rollout: Rollout | None) -> None:
        self.announced = rollout
        if rollout is not None:
            self._on_rollout(rollout)

    async def _run(self) -> None:
        backoff = Backoff(base_s=0.2, limit_s=1.0)
        while True:
            before = await self._wait_until_free()
            failure = before if isinstance(before, Failure) else None
            if failure is None:
                failure = await self._take(before)
            if failure is None:
                await self._hold()
                backoff = Backoff(base_s=0.2, limit_s=1.0)
            else:
                emit(Event.LEASE_UNCERTAIN, **explain(failure))
                await sleep(self._clock, backoff.next(self._random))

    async def _wait_until_free(self) -> Holder | Failure | None:
        """Returns who held the lease last, None if that is not known."""
        found = await self._kv.snapshot(HOLDER_KEY)
        if isinstance(found, Failure) or not found.entries:
            return found if isinstance(found, Failure) else None
        before = self._heard(found.entries[-1], None)
        revision = found.revision
        while True:
            # From the revision of the read: that of the key may lie further
            # back than the service's history, which it would refuse.
            changes = await self._kv.changes(HOLDER_KEY, revision, _WATCH_S)
            if isinstance(changes, Failure):
                return changes
            revision = changes.revision
            if not changes.entries:
                continue
            if changes.entries[-1].value is None:
                break
            before = self._heard(changes.entries[-1], before)
        await sleep(self._clock, self._random.uniform(0.0, _TRY_WITHIN_S))
        return before

    def _heard(self, entry: KvEntry, before: Holder | None) -> Holder | None:
        """Takes what another holder has written."""
        holder = _holder_of(entry)
        if holder is not None and holder.rollout is not None:
            self._on_rollout(holder.rollout)
        return holder or before

    async def _take(self, before: Holder | None) -> Failure | None:
        """Writes the key; a lost answer is read back.

        A write that takes effect only after that is not claimed: its lease
        is not renewed, so the key goes again and is free for all.
        """
        asked = self._clock.seconds()
        lease = await self._kv.grant(self._ttl_s)
        if isinstance(lease, Failure):
            return lease
        value = msgspec.json.encode(self._me)
        swap = await self._kv.put_if(HOLDER_KEY, value, 0, lease)
        if isinstance(swap, Failure):
            found = await self._kv.get(HOLDER_KEY)
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
        self._from = self._clock.seconds() + self._bound_after(before)
        emit(
            Event.LEASE_WON,
            holder=self.name,
            fence=self.fence,
            before=before.start if before else "unknown",
            wait_s=round(self._from - self._clock.seconds(), 3),
        )
        return None

    def _bound_after(self, before: Holder | None) -> float:
        if before is None:
            return self._bound_s
        same = before.vm == self._me.vm
        ordering = before.rollout is not None
        return self._bound_s if ordering and not same else 0.0

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
        holder = _holder_of(entry)
        return holder is not None and holder.start == self.name


def _holder_of(entry: KvEntry) -> Holder | None:
    try:
        return msgspec.json.decode(entry.value or b"", type=Holder)
    except msgspec.MsgspecError:
        return None
