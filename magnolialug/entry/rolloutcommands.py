"""Commands every engine to load the weights that the operator has named."""

from collections.abc import Callable
from functools import partial

import msgspec

from magnolialug.background import background
from magnolialug.entry.directory import Directory
from magnolialug.entry.peer import Peer
from magnolialug.entry.rolloutlease import RolloutLease
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId
from magnolialug.platform.enginecalls import EngineCalls, OrderReply, Report
from magnolialug.policy.rollout import Engine, next_numbered, plan
from magnolialug.result import Failure

__all__ = ["RolloutCommands"]

# Time between polls of an engine that loads weights or is about to. Its
# registry entry would show the end of the load a heartbeat, 1.2 s, later.
_POLL_INTERVAL_S = 0.1
# Time from an accepted command to the next poll. Engines take longer than this
# to load, and each call has a cost.
_POLL_DELAY_AFTER_ACCEPT_S = 0.5
# An accepted command appears in the engine's reports within this time; reports
# are some hundred milliseconds old. If the count of commands is still lower
# after it, the engine has restarted and lost the command.
_REPORT_LAG_S = 1.0
# An engine that has accepted a command has loaded the weights within this time
# or will not load them. Some take twice the usual time while many load.
_LOAD_TIMEOUT_S = 4.0
# Time from the announcement to the command, in which requests in the engine's
# queue can start. The engine rejects those that have not started by then.
_CLOSE_DELAY_S = 0.12
# An engine with more consecutive unanswered calls than this gives its slot to
# the next one.
_MAX_CALL_FAILURES = 2
# Running requests continue while the engine loads, and most of them end before
# the load does. Waiting for them first would take several times as long, and
# resetting them would lose their answers.
_RUNNING_REQUESTS_MODE = "retain"


class _Engine(msgspec.Struct):
    """State of one engine in the rollout.

    Attributes:
      accepted: the least number of commands that it has accepted.
      accepted_at: when it last accepted a command.
      calling: whether a call to it is in progress.
      next_call_at: earliest time of the next call to it.
      closed_at: when all entries knew to send it no new work.
      failures: consecutive calls that it did not answer.
      version: the version that it should load.
      last_commanded: the version that it was last commanded to load.
      closed_for: the version that it is closed for, 0 for none.
      born_ms: the start of the engine to which this state applies.
    """

    accepted: int = 0
    accepted_at: float = float("-inf")
    calling: bool = False
    next_call_at: float = 0.0
    closed_at: float | None = None
    failures: int = 0
    version: int = 0
    last_commanded: int = 0
    closed_for: int = 0
    born_ms: int = 0

    def is_loading_older(self, weights: int, version: int, now: float) -> bool:
        """Whether it is loading a version older than the wanted one.

        Without this check an engine that loads one version would look open when
        the next is named, and would reject hundreds of prompts.
        """
        return self.may_load(now) and weights < self.last_commanded < version

    def may_load(self, now: float) -> bool:
        """Whether it may be loading weights after an accepted command."""
        return now - self.accepted_at < _LOAD_TIMEOUT_S

    def is_reflected_in(self, report: Report, now: float) -> bool:
        """Whether a report is newer than the last accepted command."""
        lagging = now - self.accepted_at < _REPORT_LAG_S
        return report.orders >= self.accepted or not lagging


class RolloutCommands:
    """Commands engines to load weights while this process holds the lease.

    Args:
      named_versions: returns the newest named version by model.
      on_reply: receives the reply to each command.
      on_weights: receives each engine that is found to have a newer version.
    """

    def __init__(
        self,
        directory: Directory,
        lease: RolloutLease,
        calls: EngineCalls,
        clock: Callable[[], float],
        named_versions: Callable[[], dict[str, int]],
        on_reply: Callable[[OrderReply], None] = lambda reply: None,
        on_weights: Callable[[EndpointId], None] = lambda endpoint: None,
    ):
        self._directory = directory
        self._lease = lease
        self._calls = calls
        self._clock = clock
        self._named_versions = named_versions
        self._on_reply = on_reply
        self._on_weights = on_weights
        self._engines: dict[EndpointId, _Engine] = {}

    def tick(self) -> None:
        """Polls or commands the engines that have outdated weights."""
        if not self._lease.held:
            return
        for model, version in self._named_versions().items():
            if self._outdated(model, version):
                self._advance_rollout(model, version)
                return
        self._announce_done()

    def _announce_done(self) -> None:
        """Announces that all engines are open again."""
        announced = self._lease.announced
        if announced is not None and announced.closed:
            done = msgspec.structs.replace(
                announced, closed=(), taken=announced.taken + announced.closed
            )
            self._lease.announce(next_numbered(done, announced))
        else:
            self._lease.announce_end()

    def _outdated(self, model: str, version: int) -> list[Peer]:
        peers = self._directory.engines_with(model)
        return [p for p in peers if p.weights(model) < version]

    def _advance_rollout(self, model: str, version: int) -> None:
        """Closes the next engines and commands those closed for long enough."""
        now = self._clock()
        peers = self._directory.engines_with(model)
        rows = [self._row(p, model, version, now) for p in peers]
        rollout = plan(model, version, rows, self._directory.rollout)
        for row in rows:
            if row.endpoint in rollout.closed and not row.loading:
                self._engines[row.endpoint].closed_for = version
        if rollout != self._lease.announced:
            self._lease.announce(rollout)
            return
        for peer in self._outdated(model, version):
            endpoint = peer.listed.endpoint
            if endpoint in rollout.closed and self._lease.may_command(endpoint):
                self._advance_engine(peer, model, version, now)

    def _advance_engine(
        self, peer: Peer, model: str, version: int, now: float
    ) -> None:
        state = self._state(peer)
        if state.calling or now < max(state.next_call_at, peer.rest.until):
            return
        if state.closed_at is None:
            state.closed_at = now
        if now - state.closed_at >= _CLOSE_DELAY_S:
            state.calling = True
            step = background("rollout step", self._step(peer, model, version))
            step.addBoth(self._on_step_ended, state)

    def _row(self, peer: Peer, model: str, version: int, now: float) -> Engine:
        state = self._state(peer)
        if state.version != version:
            state.version = version
            state.closed_at = None
        announced = self._lease.announced
        rests = peer.rest.is_resting(now)
        return Engine(
            endpoint=peer.listed.endpoint,
            running=peer.running,
            current=peer.weights(model) >= version,
            closed=announced is not None
            and announced.version == version == state.closed_for
            and peer.listed.endpoint in announced.closed,
            failing=state.failures > _MAX_CALL_FAILURES
            or (rests and not state.may_load(now)),
            version=max(peer.weights(model), state.last_commanded),
            barred=rests
            or self._lease.is_possibly_commanded(peer.listed.endpoint),
            loading=state.is_loading_older(peer.weights(model), version, now),
        )

    def _state(self, peer: Peer) -> _Engine:
        listed = peer.listed
        state = self._engines.get(listed.endpoint)
        if state is None or state.born_ms != listed.born_ms:
            state = _Engine(born_ms=listed.born_ms)
            self._engines[listed.endpoint] = state
        return state

    async def _step(self, peer: Peer, model: str, version: int) -> None:
        """Polls an engine for its state, and commands it if it is idle.

        A command is thus sent again within a quarter of a second if it had no
        answer, if it was refused because the engine had accepted another, or
        if the engine lost it in a restart. It is executed at most once, since
        it names the number of commands that the engine must have accepted
        before. Waiting for a command to time out would occupy one of the few
        slots of engines that may load at a time.
        """
        state = self._state(peer)
        state.next_call_at = self._clock() + _POLL_INTERVAL_S
        report = await self._poll(peer)
        pause_s = _POLL_INTERVAL_S
        if report is not None and self._may_command(
            peer, model, version, report
        ):
            reply = await self._command(peer, model, version, report.orders)
            if reply is OrderReply.ACCEPTED:
                pause_s = _POLL_DELAY_AFTER_ACCEPT_S
        state.next_call_at = self._clock() + pause_s

    def _on_step_ended(self, _: object, state: _Engine) -> None:
        """Lets the next step begin, also after one that raised."""
        state.calling = False

    def _may_command(
        self, peer: Peer, model: str, version: int, report: Report
    ) -> bool:
        state = self._state(peer)
        if report.busy or not state.is_reflected_in(report, self._clock()):
            return False
        if not peer.accepts_work:
            return False
        outdated = peer.weights(model) < version
        if state.closed_for != version:
            return False
        return outdated and self._lease.may_command(peer.listed.endpoint)

    async def _poll(self, peer: Peer) -> Report | None:
        """Requests a report and records its contents; None after a failure."""
        state = self._state(peer)
        report = await self._calls.report(
            peer.listed, partial(self._directory.record_notices, peer)
        )
        if isinstance(report, Failure):
            state.failures += 1
            return None
        if not self._directory.verify_start(peer, report.born_ms):
            return None
        state.failures = 0
        for model, version in report.weights.items():
            self._record_weights(peer, model, version)
        return report

    async def _command(
        self, peer: Peer, model: str, version: int, after_orders: int
    ) -> OrderReply:
        state = self._state(peer)
        state.last_commanded = version
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
            _RUNNING_REQUESTS_MODE,
            self._lease.name,
            self._lease.fence,
            after_orders,
            partial(self._directory.record_notices, peer),
        )
        self._on_reply(reply)
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
            self._record_weights(peer, model, version)
        elif reply is OrderReply.FENCED:
            self._lease.step_down()
        elif reply is OrderReply.MISPLACED:
            self._directory.retire(peer)
        return reply

    def _record_weights(self, peer: Peer, model: str, version: int) -> None:
        if version > peer.weights(model):
            peer.record_weights(model, version)
            self._on_weights(peer.listed.endpoint)
            emit(
                Event.WEIGHTS_TAKEN,
                endpoint=peer.listed.endpoint,
                model=model,
                version=version,
            )
