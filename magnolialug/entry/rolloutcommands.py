"""Brings every engine to the weights that the operator has named."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import ensureDeferred

from magnolialug.entry.directory import Directory
from magnolialug.entry.peer import Peer
from magnolialug.entry.rolloutlease import RolloutLease
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId
from magnolialug.platform.enginecalls import EngineCalls, OrderReply, Report
from magnolialug.policy.rollout import Engine, after, plan
from magnolialug.result import Failure

__all__ = ["RolloutCommands"]

# Between calls to an engine that is about to take weights or takes them. Its
# registry entry would tell a heartbeat, 1.2 s, later that it is done.
_ASK_S = 0.1
# Engines take longer than this to load, and each call costs.
_LOADING_S = 0.5
# An accepted command shows in the engine's reports this much later at most;
# they are some hundred milliseconds old. A count of commands that is lower
# after that means that the engine has started anew and forgotten the command.
_REPORT_LAG_S = 1.0
# An engine that has accepted a command has the weights by then, or never will:
# some take twice the usual time while many load.
_TAKES_S = 4.0
# Between the announcement and the command, what waits in an engine's queue can
# start; what has not started by then is turned away.
_CLOSED_S = 0.12
# An engine that does not answer so often makes room for the next one.
_FAILURES = 2
# Runs go on while the engine loads, and most of them end before it is done.
# Waiting for them first would take several times as long, and resetting them
# would lose their answers.
_MODE = "retain"


class _Engine(msgspec.Struct):
    """What is known of one engine's commands.

    Attributes:
      accepted: how many it has accepted at least.
      accepted_at: when it last accepted one.
      calling: whether a call to it is under way.
      quiet_until: no call to it before then.
      closed_at: when all entries knew to send it no new work.
      failures: calls in a row that it did not answer.
      version: that it is to take.
      promised: the version that it was last commanded to take.
      chosen: the version that it is closed for, 0 for none.
      born_ms: the start of the engine that all this is known of.
    """

    accepted: int = 0
    accepted_at: float = float("-inf")
    calling: bool = False
    quiet_until: float = 0.0
    closed_at: float | None = None
    failures: int = 0
    version: int = 0
    promised: int = 0
    chosen: int = 0
    born_ms: int = 0

    def loads(self, weights: int, version: int, now: float) -> bool:
        """Whether it takes another version than the one that is wanted.

        One would notice prompts turned away by the hundred when a version is
        named while engines load the one before: they would look open.
        """
        accepted = now - self.accepted_at < _TAKES_S
        return accepted and weights < self.promised < version

    def tells(self, report: Report, now: float) -> bool:
        """Whether a report is from after the last accepted command."""
        lagging = now - self.accepted_at < _REPORT_LAG_S
        return report.orders >= self.accepted or not lagging


class RolloutCommands:
    """Commands engines to load weights while this process holds the lease.

    Args:
      named: returns the newest version that was named, by model.
      counted: receives the reply to each command.
      heard: receives engines whose weights were learned of.
    """

    def __init__(
        self,
        directory: Directory,
        lease: RolloutLease,
        calls: EngineCalls,
        clock: Callable[[], float],
        named: Callable[[], dict[str, int]],
        counted: Callable[[OrderReply], None] = lambda reply: None,
        heard: Callable[[EndpointId], None] = lambda endpoint: None,
    ):
        self._directory = directory
        self._lease = lease
        self._calls = calls
        self._clock = clock
        self._named = named
        self._counted = counted
        self._on_heard = heard
        self._engines: dict[EndpointId, _Engine] = {}

    def tick(self) -> None:
        """Looks for engines that need a command or a query."""
        if not self._lease.held:
            return
        for model, version in self._named().items():
            if self._outdated(model, version):
                self._bring(model, version)
                return
        self._finish()

    def _finish(self) -> None:
        """Announces that all engines are open again."""
        announced = self._lease.announced
        if announced is not None and announced.closed:
            done = msgspec.structs.replace(
                announced, closed=(), taken=announced.taken + announced.closed
            )
            self._lease.announce(after(done, announced))
        else:
            self._lease.announce_end()

    def _outdated(self, model: str, version: int) -> list[Peer]:
        peers = self._directory.engines_with(model)
        return [p for p in peers if p.weights(model) < version]

    def _bring(self, model: str, version: int) -> None:
        """Closes the next engines, and commands those closed long enough."""
        now = self._clock()
        peers = self._directory.engines_with(model)
        rows = [self._row(p, model, version, now) for p in peers]
        rollout = plan(model, version, rows, self._directory.rollout)
        for row in rows:
            if row.endpoint in rollout.closed and not row.loading:
                self._engines[row.endpoint].chosen = version
        if rollout != self._lease.announced:
            self._lease.announce(rollout)
            return
        for peer in self._outdated(model, version):
            endpoint = peer.listed.endpoint
            if endpoint in rollout.closed and self._lease.may_command(endpoint):
                self._advance(peer, model, version, now)

    def _advance(
        self, peer: Peer, model: str, version: int, now: float
    ) -> None:
        state = self._state(peer)
        if state.calling or now < state.quiet_until:
            return
        if state.closed_at is None:
            state.closed_at = now
        if now - state.closed_at >= _CLOSED_S:
            state.calling = True
            ensureDeferred(self._step(peer, model, version))

    def _row(self, peer: Peer, model: str, version: int, now: float) -> Engine:
        state = self._state(peer)
        if state.version != version:
            state.version = version
            state.closed_at = None
        announced = self._lease.announced
        return Engine(
            endpoint=peer.listed.endpoint,
            running=peer.running,
            current=peer.weights(model) >= version,
            closed=announced is not None
            and announced.version == version == state.chosen
            and peer.listed.endpoint in announced.closed,
            failing=state.failures > _FAILURES,
            version=max(peer.weights(model), state.promised),
            barred=self._lease.is_possibly_commanded(peer.listed.endpoint),
            loading=state.loads(peer.weights(model), version, now),
        )

    def _state(self, peer: Peer) -> _Engine:
        listed = peer.listed
        state = self._engines.get(listed.endpoint)
        if state is None or state.born_ms != listed.born_ms:
            state = _Engine(born_ms=listed.born_ms)
            self._engines[listed.endpoint] = state
        return state

    async def _step(self, peer: Peer, model: str, version: int) -> None:
        """Asks an engine how far it is, and commands it if it does nothing.

        A command that had no answer, or was refused because the engine had
        accepted another, is thus sent again within a quarter of a second, and
        one that the engine forgot in a restart too. It can be carried out only
        once, since it names how many the engine must have accepted before.
        Waiting for a command to be given up would keep the engine's place among
        the few that may load at a time.
        """
        state = self._state(peer)
        report = await self._ask(peer)
        pause_s = _ASK_S
        if report is not None and self._may_command(
            peer, model, version, report
        ):
            reply = await self._command(peer, model, version, report.orders)
            if reply is OrderReply.ACCEPTED:
                pause_s = _LOADING_S
        state.calling = False
        state.quiet_until = self._clock() + pause_s

    def _may_command(
        self, peer: Peer, model: str, version: int, report: Report
    ) -> bool:
        state = self._state(peer)
        if report.busy or not state.tells(report, self._clock()):
            return False
        outdated = peer.weights(model) < version
        if state.chosen != version:
            return False
        return outdated and self._lease.may_command(peer.listed.endpoint)

    async def _ask(self, peer: Peer) -> Report | None:
        """Asks for a report and takes in what it says."""
        state = self._state(peer)
        report = await self._calls.report(peer.listed)
        if isinstance(report, Failure):
            state.failures += 1
            return None
        if not self._directory.verify_start(peer, report.born_ms):
            return None
        state.failures = 0
        for model, version in report.weights.items():
            self._heard(peer, model, version)
        return report

    async def _command(
        self, peer: Peer, model: str, version: int, after_orders: int
    ) -> OrderReply:
        state = self._state(peer)
        state.promised = version
        self._lease.record_command()
        emit(
            Event.ORDER_GIVEN,
            endpoint=peer.listed.endpoint,
            model=model,
            version=version,
            fence=self._lease.fence,
            after_orders=after_orders,
        )
        reply = await self._calls.take_weights(
            peer.listed,
            model,
            version,
            _MODE,
            self._lease.name,
            self._lease.fence,
            after_orders,
        )
        self._counted(reply)
        emit(
            Event.ORDER_ANSWERED,
            endpoint=peer.listed.endpoint,
            model=model,
            version=version,
            reply=reply.value,
        )
        if reply is OrderReply.ACCEPTED:
            state.accepted = after_orders + 1
            state.accepted_at = self._clock()
        elif reply is OrderReply.HOLDS:
            self._heard(peer, model, version)
        elif reply is OrderReply.FENCED:
            self._lease.fenced()
        elif reply is OrderReply.MISPLACED:
            self._directory.retire(peer)
        return reply

    def _heard(self, peer: Peer, model: str, version: int) -> None:
        if version > peer.weights(model):
            peer.record_weights(model, version)
            self._on_heard(peer.listed.endpoint)
            emit(
                Event.WEIGHTS_TAKEN,
                endpoint=peer.listed.endpoint,
                model=model,
                version=version,
            )
