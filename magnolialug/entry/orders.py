"""Brings every engine to the weights that the operator has named."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import ensureDeferred

from magnolialug.entry.directory import Directory
from magnolialug.entry.orderlease import OrderLease
from magnolialug.entry.peer import Peer
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId
from magnolialug.platform.enginecalls import EngineCalls, OrderReply, Report
from magnolialug.policy.rollout import Engine, due
from magnolialug.result import Failure

__all__ = ["Orders"]

# After an order that was not accepted, and after a report that failed.
_AGAIN_S = 0.4
# How often an engine that takes weights is asked whether it is done; its
# registry entry would tell a heartbeat later.
_ASK_S = 0.35
# Runs go on while the engine loads, and most of them end before it is done.
# Waiting for them first took 3.5 s an engine in place of 1.4 s, and resetting
# them lost more answers than it saved time.
_MODE = "retain"


class _Engine(msgspec.Struct):
    """What is known of one engine's orders.

    Attributes:
      orders: how many it has accepted, None if it must be asked.
      calling: whether a call to it is under way.
      quiet_until: no call to it before then.
      ordered_at: when it accepted an order or may have.
    """

    orders: int | None = None
    calling: bool = False
    quiet_until: float = 0.0
    ordered_at: float | None = None
    version: int = 0


class Orders:
    """Gives the orders while this process holds the lease.

    Args:
      named: returns the newest version that was named, by model.
    """

    def __init__(
        self,
        directory: Directory,
        lease: OrderLease,
        calls: EngineCalls,
        clock: Callable[[], float],
        named: Callable[[], dict[str, int]],
    ):
        self._directory = directory
        self._lease = lease
        self._calls = calls
        self._clock = clock
        self._named = named
        self._engines: dict[EndpointId, _Engine] = {}

    def tick(self) -> None:
        """Looks for engines that need an order or a question."""
        named = self._named()
        if not any(map(self._outdated, named, named.values())):
            self._lease.rest()
            return
        self._lease.prepare()
        if not self._lease.may_order:
            return
        for model, version in named.items():
            self._bring(model, version)

    def _outdated(self, model: str, version: int) -> list[Peer]:
        peers = self._directory.engines_with(model)
        return [p for p in peers if p.weights.get(model, 0) < version]

    def _bring(self, model: str, version: int) -> None:
        outdated = self._outdated(model, version)
        engines = len(self._directory.engines_with(model))
        now = self._clock()
        for peer in outdated:
            self._ask_progress(peer, model, version, now)
        rows = [self._row(peer, version, now) for peer in outdated]
        for endpoint in due(rows, engines, now):
            peer = self._directory.peers[endpoint]
            self._start(peer, self._order(peer, model, version))

    def _row(self, peer: Peer, version: int, now: float) -> Engine:
        state = self._state(peer)
        if state.version != version:
            state.version = version
            state.ordered_at = None
        return Engine(
            endpoint=peer.listed.endpoint,
            running=peer.running,
            ordered_at=state.ordered_at,
            paused=state.calling or now < state.quiet_until,
        )

    def _state(self, peer: Peer) -> _Engine:
        return self._engines.setdefault(peer.listed.endpoint, _Engine())

    def _start(self, peer: Peer, work) -> None:
        self._state(peer).calling = True
        ensureDeferred(work)

    def _ask_progress(
        self, peer: Peer, model: str, version: int, now: float
    ) -> None:
        state = self._state(peer)
        if state.ordered_at is None or state.version != version:
            return
        if state.calling or now < state.quiet_until:
            return
        self._start(peer, self._ask(peer))

    async def _ask(self, peer: Peer) -> Report | None:
        """Asks for a report and takes in what it says."""
        state = self._state(peer)
        report = await self._calls.report(peer.listed)
        state.calling = False
        state.quiet_until = self._clock() + _ASK_S
        if isinstance(report, Failure):
            state.orders = None
            return None
        state.orders = report.orders
        for model, version in report.weights.items():
            self._heard(peer, model, version)
        return report

    async def _order(self, peer: Peer, model: str, version: int) -> None:
        state = self._state(peer)
        if state.orders is None:
            await self._ask(peer)
        if state.orders is None or peer.weights.get(model, 0) >= version:
            state.calling = False
            return
        if not self._lease.may_order:
            state.calling = False
            return
        state.calling = True
        state.ordered_at = self._clock()
        self._lease.ordered()
        emit(
            Event.ORDER_GIVEN,
            endpoint=peer.listed.endpoint,
            model=model,
            version=version,
            fence=self._lease.fence,
            after_orders=state.orders,
        )
        reply = await self._calls.take_weights(
            peer.listed,
            model,
            version,
            _MODE,
            self._lease.name,
            self._lease.fence,
            state.orders,
        )
        self._answered(peer, model, version, reply)

    def _answered(
        self, peer: Peer, model: str, version: int, reply: OrderReply
    ) -> None:
        state = self._state(peer)
        state.calling = False
        state.quiet_until = self._clock() + _AGAIN_S
        emit(
            Event.ORDER_ANSWERED,
            endpoint=peer.listed.endpoint,
            model=model,
            version=version,
            reply=reply.value,
        )
        if reply is OrderReply.ACCEPTED:
            state.orders += 1
            return
        state.orders = None
        if reply is OrderReply.HOLDS:
            self._heard(peer, model, version)
        elif reply is OrderReply.FENCED:
            self._lease.fenced()
        elif reply is OrderReply.MISPLACED:
            self._directory.misplaced(peer)
        if reply not in (OrderReply.UNKNOWN, OrderReply.BUSY):
            state.ordered_at = None

    def _heard(self, peer: Peer, model: str, version: int) -> None:
        if version > peer.weights.get(model, 0):
            peer.heard_weights(model, version)
            emit(
                Event.WEIGHTS_TAKEN,
                endpoint=peer.listed.endpoint,
                model=model,
                version=version,
            )
