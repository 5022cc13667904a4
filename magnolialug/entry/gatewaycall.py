"""One caller's request from its admission to its last byte."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.config.routing import RouteType
from magnolialug.entry.candidateprober import CandidateProber
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaychannel import GatewayRequest
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.gatewaysink import GatewaySink
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.httpattemptrunner import HttpAttemptRunner
from magnolialug.entry.placer import Placer
from magnolialug.entry.progress import Served
from magnolialug.entry.retryloop import RetryLoop, ServingContext
from magnolialug.events import Event, explain
from magnolialug.owners.admissionclient import AdmissionClient
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Executed, Failure, failed

__all__ = ["CallMeans", "GatewayCall"]


class CallMeans(msgspec.Struct, frozen=True):
    """What a gateway serves its calls with.

    Attributes:
      serving: what the retry loop needs.
      prober: finds out what endpoints have to do.
      admission: where long prompts wait for memory.
      quarantine: refuses requests that crash endpoints.
      underway: the attempts that the gateway watches for silence.
    """

    serving: ServingContext
    placer: Placer
    prober: CandidateProber
    admission: AdmissionClient
    quarantine: Quarantine
    underway: set[HttpAttempt]
    clock: Callable[[], float]
    metrics: GatewayMetrics


class GatewayCall:
    """Serves one call and tells how it ended.

    Args:
      on_over: is told when nothing of the call is left.
    """

    def __init__(
        self,
        means: CallMeans,
        call: ForwardCall,
        sink: GatewaySink,
        on_over: Callable[[], None],
    ):
        self._means = means
        self._call = call
        self._sink = sink
        self._on_over = on_over
        self._log = RequestLog(call.name)
        self._carrier = HttpAttemptRunner(
            means.placer,
            means.prober,
            means.admission,
            means.quarantine,
            means.underway,
            means.clock,
            call,
            sink,
            self._log,
            means.metrics,
            means.serving.budget,
        )

    def start(self, req: GatewayRequest) -> None:
        """Begins to serve the call."""
        self._means.serving.budget.deposit(self._call.service)
        serving = RetryLoop(
            self._means.serving, self._call, self._carrier, self._log
        )
        fut = ensureDeferred(serving.run())
        req.notifyFinish().addErrback(lambda _: self._left(fut))
        fut.addCallback(self._ended)
        fut.addErrback(self._broken)
        fut.addBoth(lambda _: self._on_over())

    def _ended(self, result: Served | Failure) -> None:
        if isinstance(result, Served):
            self._count_served(result)
            return
        if not self._carrier.deliver_withheld():
            self._sink.refuse(self._in_time(result))
        self._count_failed(result)

    def _in_time(self, failure: Failure) -> Failure:
        """Says of a failure at the deadline that time was the cause."""
        over = self._means.clock() >= self._call.deadline
        if over and failure.executed is not Executed.NO:
            return failed(Code.TIMED_OUT, failure.reason)
        return failure

    def _left(self, fut: Deferred) -> None:
        """Stops the work for a caller that has left.

        A non-idempotent request is let finish: broken off it would leave
        half a booking.
        """
        self._sink.left()
        if self._call.route.form is not RouteType.NON_IDEMPOTENT:
            self._log_left()
            fut.cancel()

    def _log_left(self) -> None:
        """Logs what a call that its caller gives up was waiting for."""
        state = self._carrier.state
        now = self._means.clock()
        self._log.emit(
            Event.CANCELLED,
            route=self._call.route.name,
            phase=state.phase.value,
            silent_s=round(state.silent_s, 3),
            took_s=round(now - self._call.arrived, 3),
            left_s=round(self._call.deadline - now, 3),
        )

    def _broken(self, reason: TwistedFailure) -> None:
        """Ends a response whose task was cancelled or is at fault."""
        if reason.check(CancelledError):
            self._count("cancelled")
            return
        self._sink.refuse(failed(Code.OUTCOME_UNKNOWN, reason.type.__name__))
        self._log.emit(Event.TASK_FAILED, traceback=reason.getTraceback())
        self._log.failed()

    def _count(self, status: object) -> float:
        """Counts the call; returns how long it took."""
        took_s = self._means.clock() - self._call.arrived
        route = self._call.route.name
        self._means.metrics.requests.add(1, {"route": route, "status": status})
        self._means.metrics.answer.record(took_s, {"route": route})
        return took_s

    def _count_served(self, served: Served) -> None:
        route = self._call.route.name
        took_s = self._count(self._sink.status)
        self._means.metrics.first_event.record(served.ttft_s, {"route": route})
        self._log.emit(
            Event.REQUEST_DONE,
            route=route,
            status=self._sink.status,
            first_s=round(served.ttft_s, 3),
            in_time=served.ttft_s <= self._call.route.target_s,
            took_s=round(took_s, 3),
        )

    def _count_failed(self, failure: Failure) -> None:
        took_s = self._count(self._sink.status)
        self._means.metrics.refusals.add(1, {"code": failure.code.name})
        state = self._carrier.state
        self._log.emit(
            Event.REQUEST_FAILED,
            route=self._call.route.name,
            status=self._sink.status,
            took_s=round(took_s, 3),
            phase=state.phase.value,
            silent_s=round(state.silent_s, 3),
            **explain(failure),
        )
        self._log.failed()
