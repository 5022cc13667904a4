"""The lease under which one entry at a time leads the rollout of weights."""

import secrets
from collections.abc import Callable, Sequence
from random import Random

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.background import background
from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId
from magnolialug.jsoninput import decode_json
from magnolialug.owners.ownerring import OWNER_CANDIDATES
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.retry import Backoff
from magnolialug.policy.rollout import Rollout
from magnolialug.result import Code, Failure, failed
from magnolialug.supervisedtask import SupervisedTask
from magnolialug.timing import sleep
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["LEADER_KEY", "Leader", "RolloutLease"]

LEADER_KEY = "magnolialug/orders/holder"
# Ratio of the lease's length to the bound between the commands of two leaders.
# The lease is shorter, so that a dead leader is replaced sooner. The bound does
# not apply after a leader that was not sending commands when it died.
_TTL_RATIO = 0.67
_RENEWALS_PER_TTL = 4
# Time in which a command sent just before the lease ends must arrive.
_COMMAND_MARGIN_S = 0.4
# When the lease becomes free, entries try one after another, in an order that
# each computes by itself. An attempt takes two calls, and its result is known
# to the other entries within a third of a second.
_RANK_DELAY_S = 0.35
_RANK_JITTER_S = 0.05
# An entry that is not among the first in that order waits for a random time of
# 1 to 1.5 times this, in case all of the first are dead or disconnected.
_UNRANKED_DELAY_S = 1.2
# Longest delay after a start, because entries that have just started do not yet
# know each other.
_STARTUP_DELAY_S = 1.0


class Leader(msgspec.Struct, frozen=True):
    """The value of the leader's key.

    Attributes:
      vm: the name of the leader's machine.
      start: identifies one start of the leader's process.
      rollout: the rollout that it may send commands for, None for none.
      possibly_commanded: engines that this leader or an earlier one may have
        commanded within the bound, None for any engine. The stored name stays,
        because two releases run side by side during a rolling upgrade.
    """

    vm: str
    start: str
    rollout: Rollout | None = None
    possibly_commanded: tuple[str, ...] | None = msgspec.field(
        default=(), name="wary"
    )


class RolloutLease(WatchSubscriber):
    """Holds the lease or waits for it.

    The key attached to the lease names the leader. The revision at which it was
    last written is the fencing token, which grows from leader to leader. A
    leader that is suspended or disconnected may not notice that its lease has
    expired. So it counts the lease from before the renewal was requested, less
    a margin, on a clock that includes time in suspension.

    There must be at least the bound between commands of two leaders to one
    engine. Before its commands, a leader writes which engines it will command,
    on condition that the key is still its own. Its successor sends these
    engines no command for the bound, and writes this for the leader after it.
    It can command all other engines at once, since a further write of its
    predecessor fails. The other entries also read the key, and send no new work
    to an engine that is about to load.

    Attributes:
      fence: the fencing token, 0 while this process is not the leader.
      name: identifies this start of this process.
      announced: the rollout that this leader has last written, None for none.
      task: waits for the lease and renews it.

    Args:
      vm: the name of this machine.
      bound_s: least time between the commands of two leaders to one engine.
      on_rollout: receives the rollout that any leader is about to command, and
        whether this entry is the leader.
      rank: returns this entry's place among the first that try for the lease,
        OWNER_CANDIDATES for all others.
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
        self._ttl_s = bound_s * _TTL_RATIO
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
        self._inherited_until = 0.0
        self._closed_at: dict[str, float] = {}
        self._valid_until = 0.0
        self._commanded_at = 0.0
        self.task = SupervisedTask("rollout lease", self._run, clock)

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Applies the key's state; the previous leader is then unknown."""
        self._previous = None
        if entries:
            self.changed(entries[-1])
        else:
            self._on_free()

    def changed(self, entry: KvEntry) -> None:
        """Applies a value that a leader has written, or the key's removal."""
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
        """Starts to wait for the lease."""
        self.task.start()

    async def stop(self) -> None:
        """Revokes the lease, so that another entry can become leader.

        No command is sent after this. The next leader sends no command within
        the bound to an engine that may still receive one from this leader.
        """
        held, self.fence = self.fence, 0
        self.task.stop()
        if held:
            await self._kv.revoke(self._lease)

    def may_command(self, endpoint: EndpointId) -> bool:
        """Whether a command may be sent to an engine now."""
        is_announced = self.announced is not None and not self._writing
        in_time = self._clock.seconds() < self._valid_until
        return (
            is_announced
            and in_time
            and not self.is_possibly_commanded(endpoint)
        )

    def is_possibly_commanded(self, endpoint: EndpointId) -> bool:
        """Whether an earlier leader may have commanded an engine recently."""
        if self._clock.seconds() >= self._inherited_until:
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
        """Writes a rollout; its commands may be sent once it is written."""
        if self.held and rollout != self.announced:
            self._start_write(rollout)

    def announce_end(self) -> None:
        """Writes that no commands are sent, if none was sent for the bound."""
        since = max(self._commanded_at, self._inherited_until - self._bound_s)
        is_idle = self._clock.seconds() - since > self._bound_s
        needs_write = (
            self.announced is not None or self._written_commanded != ()
        )
        if self.held and needs_write and is_idle:
            self._start_write(None)

    def step_down(self) -> None:
        """Stops acting as leader, after a lost lease or a higher fence."""
        self._valid_until = 0.0
        self.fence = 0
        self.announced = None

    def _start_write(self, rollout: Rollout | None) -> None:
        self._writing = True
        write = background("rollout write", self._write(rollout))
        write.addBoth(self._on_written)

    def _on_written(self, _: object) -> None:
        self._writing = False

    async def _write(self, rollout: Rollout | None) -> None:
        fence = self.fence
        commanded = self._find_possibly_commanded(rollout)
        value = msgspec.structs.replace(
            self._me, rollout=rollout, possibly_commanded=commanded
        )
        swap = await self._kv.put_if(
            LEADER_KEY, msgspec.json.encode(value), fence, self._lease
        )
        if self.fence != fence:
            # The lease was given up meanwhile; its next holder may command.
            return
        if isinstance(swap, Failure):
            await self._read_back(fence)
        elif swap.won:
            self.fence = swap.revision
            self._written_commanded = commanded
            self._notify(rollout)
        elif swap.current is None or not self._is_mine(swap.current):
            self.step_down()
        else:
            self._record_written(swap.current)

    async def _read_back(self, fence: int) -> None:
        """Reads the key to learn the result of a write without an answer."""
        found = await self._kv.get(LEADER_KEY)
        is_held = self.fence == fence and isinstance(found, KvEntry)
        if is_held and self._is_mine(found):
            self._record_written(found)

    def _record_written(self, entry: KvEntry) -> None:
        self.fence = entry.revision
        self._notify(_leader_of(entry).rollout)

    def _notify(self, rollout: Rollout | None) -> None:
        self.announced = rollout
        if rollout is not None:
            self._on_rollout(rollout, True)

    async def _run(self) -> None:
        # A task that failed as leader no longer renews the lease.
        self.step_down()
        backoff = Backoff(base_s=0.2, limit_s=1.0)
        await sleep(
            self._clock, self._random.uniform(0.5, 1.0) * _STARTUP_DELAY_S
        )
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
        """Returns when the lease is free and this entry's delay has passed."""
        while True:
            if self._is_taken:
                self._freed = Deferred()
                await self._freed
            await sleep(self._clock, self._attempt_delay_s())
            if not self._is_taken:
                return

    def _attempt_delay_s(self) -> float:
        rank = self._rank(LEADER_KEY)
        if rank < OWNER_CANDIDATES:
            within = self._random.uniform(0.0, _RANK_JITTER_S)
            return rank * _RANK_DELAY_S + within
        return self._random.uniform(1.0, 1.5) * _UNRANKED_DELAY_S

    async def _acquire(self, predecessor: Leader | None) -> Failure | None:
        """Writes the key, and reads it back if the answer is lost.

        A write that takes effect only after that read is not claimed: its lease
        is not renewed, so the key expires and any entry can take it.
        """
        asked = self._clock.seconds()
        lease = await self._kv.grant(self._ttl_s)
        if isinstance(lease, Failure):
            return lease
        value = msgspec.json.encode(self._first_record(predecessor))
        swap = await self._kv.put_if(LEADER_KEY, value, 0, lease)
        if isinstance(swap, Failure):
            found = await self._kv.get(LEADER_KEY)
            if not isinstance(found, KvEntry) or found.value != value:
                return swap
            revision = found.revision
        elif not swap.won:
            return failed(Code.KV_ERROR, "another entry won the lease")
        else:
            revision = swap.revision
        self._lease = lease
        self.fence = revision
        self.announced = None
        self._valid_until = asked + self._ttl_s - _COMMAND_MARGIN_S
        self._inherit(predecessor)
        emit(
            Event.LEASE_WON,
            holder=self.name,
            fence=self.fence,
            before=predecessor.start if predecessor else "unknown",
            left_alone="all"
            if self._possibly_commanded is None
            else len(self._possibly_commanded),
        )
        return None

    def _first_record(self, predecessor: Leader | None) -> Leader:
        """Returns the first value that this leader writes.

        It includes the engines that earlier leaders may have commanded, in case
        this leader also ends within the bound.
        """
        commanded = predecessor.possibly_commanded if predecessor else None
        return msgspec.structs.replace(self._me, possibly_commanded=commanded)

    def _inherit(self, predecessor: Leader | None) -> None:
        """Records which engines not to command, and until when."""
        self._inherited_until = self._clock.seconds() + self._bound_s
        self._possibly_commanded = self._written_commanded = (
            predecessor.possibly_commanded if predecessor else None
        )

    def _find_possibly_commanded(
        self, rollout: Rollout | None
    ) -> tuple[str, ...] | None:
        """Returns the engines that the next leader must not command yet."""
        now = self._clock.seconds()
        for known in (self.announced, rollout):
            for endpoint in known.closed if known else ():
                self._closed_at[endpoint] = now
        inherited = (
            self._possibly_commanded if now < self._inherited_until else ()
        )
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
            await sleep(self._clock, self._ttl_s / _RENEWALS_PER_TTL)
            asked = self._clock.seconds()
            left = await self._kv.keep(self._lease)
            if isinstance(left, Failure):
                emit(Event.LEASE_UNCERTAIN, **explain(left))
                continue
            if left <= 0:
                break
            if self.fence:
                self._valid_until = asked + self._ttl_s - _COMMAND_MARGIN_S
        emit(Event.LEASE_LOST, holder=self.name, fence=self.fence)
        self.step_down()

    def _is_mine(self, entry: KvEntry) -> bool:
        leader = _leader_of(entry)
        return leader is not None and leader.start == self.name


def _leader_of(entry: KvEntry) -> Leader | None:
    found = decode_json(entry.value or b"", Leader, Code.BAD_ENTRY, entry.key)
    if isinstance(found, Failure):
        emit(Event.ENTRY_REFUSED, key=entry.key, **explain(found))
        return None
    return found
