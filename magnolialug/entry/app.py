"""The entry's application object: admits calls and runs them to an answer."""

import secrets
from collections.abc import Callable
from random import Random

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.attempt import Attempt
from magnolialug.config.current import Current
from magnolialug.config.deployment import Deployment, Kind
from magnolialug.entry.call import PromptCall, Sink
from magnolialug.entry.claims import ClaimStore
from magnolialug.entry.exchange import Exchange
from magnolialug.entry.fleet import Fleet
from magnolialug.entry.progress import Ended, Progress, Served
from magnolialug.entry.retryloop import RetryLoop, ServingContext
from magnolialug.entry.sidecarattemptrunner import SidecarAttemptRunner
from magnolialug.events import Event, emit, explain
from magnolialug.ids import (
    EndpointId,
    EntryId,
    RequestId,
    TeamId,
    ZoneId,
    endpoint_of,
)
from magnolialug.metrics import Metrics
from magnolialug.platform.kv import Kv
from magnolialug.policy.admission import Admission, Limit
from magnolialug.policy.retry import Budget
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep
from magnolialug.wire import messages as msg

__all__ = ["EntryApp"]

_DRAIN_POLL_INTERVAL_S = 0.05
# For the last answers to leave the process.
_FLUSH_S = 0.2


class EntryApp:
    """Serves calls; all of its state may be lost at any time.

    Life-cycle: `start`, then `serve` for every call, then `stop`.

    Args:
      connect: opens a connection to an endpoint's sidecar.
      random: source of jitter.
      new_hex: returns the unguessable part of a request id.
    """

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneId,
        current: Current,
        kv: Kv,
        clock: IReactorTime,
        random: Random,
        connect: Callable[[EndpointId], Deferred],
        new_hex: Callable[[], str] = lambda: secrets.token_hex(16),
    ):
        self.entry = entry
        self.current = current
        self.clock = clock
        self.metrics = Metrics()
        self.admission = Admission()
        self.fleet = Fleet(
            entry, zone, current, clock, random, connect, self.admission
        )
        self.draining = False
        self.in_progress = 0
        self._runs: set[Deferred] = set()
        self._stopped = False
        self._claims = ClaimStore(kv, clock, random)
        self._context = ServingContext(
            budget=Budget(),
            on_retry=lambda service: self.metrics.retries.add(1),
            clock=clock,
            random=random,
            new_hex=new_hex,
        )

    def start(self) -> None:
        """Connects to the configured endpoints, and follows later changes."""
        self.current.on_change(self._apply)
        if self.current.deployment:
            self._apply(self.current.deployment)
        emit(Event.STARTED, entry=self.entry)

    async def stop(self) -> int:
        """Refuses new calls, finishes those in progress, then disconnects.

        Returns:
          the number of calls still in progress when the drain limit passed.
        """
        self.drain()
        deployment = self.current.deployment
        limit = self.clock.seconds()
        limit += deployment.limits.drain_s if deployment else 0
        while self.in_progress and self.clock.seconds() < limit:
            await sleep(self.clock, _DRAIN_POLL_INTERVAL_S)
        left = self.in_progress
        self.fleet.stop()
        await self._answer_all()
        event = Event.STOP_FORCED if left else Event.STOPPED
        emit(event, entry=self.entry, left=left)
        return left

    async def _answer_all(self) -> None:
        """Gives each caller that waits its last answer.

        The runs go on at their sidecars, which keep the answers.
        """
        self._stopped = True
        if not self._runs:
            return
        for run in list(self._runs):
            run.cancel()
        await sleep(self.clock, _FLUSH_S)

    def drain(self) -> None:
        """Starts draining: `ready` is false and new calls are refused."""
        if not self.draining:
            self.draining = True
            emit(Event.DRAINING, entry=self.entry)

    def ready(self) -> bool:
        """Returns whether the load balancer may send calls."""
        return not self.draining and self.fleet.ready()

    async def serve(self, call: PromptCall, sink: Sink) -> Served | Failure:
        """Serves one call and writes the pieces of its answer to the sink.

        Returns:
          the end of a complete answer, or a numbered failure that states
          whether the request was executed.
        """
        if self.draining:
            return failed(Code.DRAINING, retry_after_s=1.0)
        team = self.current.deployment.teams[call.team]
        refusal = self.admission.admit(
            call.team,
            Limit(team.rate, team.concurrency),
            self.clock.seconds(),
        )
        if refusal:
            self._record_result(call, refusal)
            return refusal
        self.in_progress += 1
        self._context.budget.deposit(call.service)
        try:
            result = await self._run(call, sink)
        finally:
            self.in_progress -= 1
            self.admission.release(call.team)
        self._record_result(call, result)
        return result

    async def _run(self, call: PromptCall, sink: Sink) -> Served | Failure:
        """Runs a call to its answer, or to the end of the process."""
        carrier = self._carrier(call, sink)
        log = RequestLog(call.name)
        run = ensureDeferred(RetryLoop(self._context, call, carrier, log).run())
        self._runs.add(run)
        try:
            return await run
        except CancelledError:
            if not self._stopped:
                raise
            code = Code.OUTCOME_UNKNOWN if carrier.has_sent else Code.DRAINING
            return failed(code, "the process stops")
        finally:
            self._runs.discard(run)

    async def replay(
        self, team: TeamId, request_id: RequestId, after_seq: int, sink: Sink
    ) -> Served | Failure:
        """Streams a retained answer to the team that made the request.

        A request id of another team and an id that never existed give the
        same failure.
        """
        unknown = failed(Code.UNKNOWN_REQUEST, value=request_id)
        upstream = self.fleet.upstreams.get(endpoint_of(request_id))
        if upstream is None or not await upstream.wait_ready(1.0):
            return unknown
        kind = Kind(1.0, True, 1, False, 1)
        now = self.clock.seconds()
        attempt = Attempt(team, request_id, 0, upstream.incarnation, 0.0)
        call = _empty_call(team, kind, now)
        progress = Progress(seq=after_seq)
        exchange = Exchange(
            call,
            attempt,
            upstream,
            progress,
            sink,
            self.clock,
            self.current.deployment.limits.answer_bytes,
        )
        self.in_progress += 1
        try:
            end = await exchange.replay(msg.Find(team, request_id, after_seq))
        finally:
            self.in_progress -= 1
        if isinstance(end, Ended):
            expired = end.failure.code is Code.ANSWER_GONE
            return end.failure if expired else unknown
        return Served(end, progress.seq, 0.0)

    def _carrier(self, call: PromptCall, sink: Sink) -> SidecarAttemptRunner:
        return SidecarAttemptRunner(
            self._context, self.current, self.fleet, self._claims, call, sink
        )

    def _apply(self, deployment: Deployment) -> None:
        self._context.budget.ratio = deployment.limits.retry_ratio
        self._claims.retention_s = deployment.limits.claim_keep_s
        self.fleet.apply(deployment)

    def _record_result(
        self, call: PromptCall, result: Served | Failure
    ) -> None:
        attributes = {"service": call.service, "kind": call.kind_name}
        self.metrics.requests.add(1, attributes)
        if isinstance(result, Failure):
            self.metrics.refusals.add(1, {"code": result.code.value})
            emit(
                Event.REQUEST_FAILED,
                team=call.team,
                kind=call.kind_name,
                **explain(result),
            )
            return
        self.metrics.ttft.record(result.ttft_s, attributes)
        done = result.done
        emit(
            Event.REQUEST_DONE,
            team=call.team,
            kind=call.kind_name,
            ttft_s=round(result.ttft_s, 4),
            prompt_tokens=done.prompt_tokens if done else 0,
            recomputed=done.recomputed_tokens if done else 0,
            imported=done.imported_tokens if done else 0,
        )


def _empty_call(team: TeamId, kind: Kind, now: float) -> PromptCall:
    return PromptCall(
        team=team,
        service="",
        kind_name="",
        kind=kind,
        model="",
        weights="",
        body="",
        max_tokens=1,
        root="",
        key="",
        deadline=now + kind.max_wait_s,
        arrived=now,
    )
