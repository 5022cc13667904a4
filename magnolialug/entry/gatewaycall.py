"""Serves one caller's request, from admission to the end of the response."""

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
from magnolialug.entry.progress import AnswerEnd, Served
from magnolialug.entry.retryloop import RetryLoop, ServingContext
from magnolialug.eventgaps.answer import AnswerGaps
from magnolialug.events import Event, explain
from magnolialug.owners.admissionclient import AdmissionClient
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Executed, Failure, failed
from magnolialug.streamorigins.wiring import StreamOrigins

__all__ = ["CallContext", "GatewayCall"]

# Another process takes the request at once.
_STOP_RETRY_AFTER_S = 0.1


class CallContext(msgspec.Struct, frozen=True):
    """What all calls of a gateway share.

    Attributes:
      serving: what the retry loop uses.
      placer: chooses the endpoints.
      prober: queries the current load of endpoints.
      admission: queues long prompts until an engine has memory for them.
      quarantine: refuses requests that crash endpoints.
      origins: knows which versions began streams.
      in_flight: the running attempts, which the gateway checks for time-outs
        and silent endpoints.
    """

    serving: ServingContext
    placer: Placer
    prober: CandidateProber
    admission: AdmissionClient
    quarantine: Quarantine
    origins: StreamOrigins
    in_flight: set[HttpAttempt]
    clock: Callable[[], float]
    metrics: GatewayMetrics


class GatewayCall:
    """Serves one call, and logs and counts its result.

    Args:
      on_done: called when the call has ended.
    """

    def __init__(
        self,
        context: CallContext,
        call: ForwardCall,
        sink: GatewaySink,
        on_done: Callable[[], None],
    ):
        self._context = context
        self._call = call
        self._sink = sink
        self._on_done = on_done
        self._log = RequestLog(call.name)
        self._fut: Deferred | None = None
        self._stop_failure: Failure | None = None
        self._gaps = AnswerGaps(call, sink, context.metrics, context.clock)
        self._carrier = HttpAttemptRunner(
            context.placer,
            context.prober,
            context.admission,
            context.quarantine,
            context.origins,
            context.in_flight,
            context.clock,
            call,
            sink,
            self._log,
            context.metrics,
            context.serving.budget,
        )

    def start(self, req: GatewayRequest) -> None:
        """Starts serving the call."""
        self._context.serving.budget.deposit(self._call.service)
        serving = RetryLoop(
            self._context.serving, self._call, self._carrier, self._log
        )
        self._fut = fut = ensureDeferred(serving.run())
        req.notifyFinish().addErrback(lambda _: self._on_caller_left(fut))
        fut.addCallback(self._on_result)
        fut.addErrback(self._on_error)
        fut.addBoth(lambda _: self._on_done())

    def end_for_stop(self) -> None:
        """Answers the caller at the end of a planned stop.

        An answer that has begun goes on for as long as the process lasts.
        """
        if self._sink.has_begun or self._sink.ended:
            return
        code = Code.OUTCOME_UNKNOWN if self._carrier.has_sent else Code.DRAINING
        self._stop_failure = failed(
            code, "the process stops", retry_after_s=_STOP_RETRY_AFTER_S
        )
        self._fut.cancel()

    def _on_result(self, result: Served | Failure) -> None:
        if isinstance(result, Served):
            self._count_served(result)
            return
        if not self._carrier.deliver_withheld():
            self._sink.refuse(self._with_timeout_cause(result))
        self._count_failed(result)

    def _with_timeout_cause(self, failure: Failure) -> Failure:
        """Returns TIMED_OUT for a failure after the deadline.

        A request that did not run keeps its own failure.
        """
        expired = self._context.clock() >= self._call.deadline
        if expired and failure.executed is not Executed.NO:
            return failed(Code.TIMED_OUT, failure.reason)
        return failure

    def _on_caller_left(self, fut: Deferred) -> None:
        """Cancels the call of a caller that has disconnected.

        A non-idempotent request is allowed to finish: cancelling it could
        leave half a booking.
        """
        self._sink.caller_left()
        if self._call.route.form is not RouteType.NON_IDEMPOTENT:
            self._log_cancelled()
            fut.cancel()

    def _log_cancelled(self) -> None:
        """Logs which phase a call was in when its caller disconnected."""
        state = self._carrier.state
        now = self._context.clock()
        self._log.emit(
            Event.CANCELLED,
            route=self._call.route.name,
            phase=state.phase.value,
            silent_s=round(state.silent_s, 3),
            took_s=round(now - self._call.arrived, 3),
            left_s=round(self._call.deadline - now, 3),
            **self._gaps.broken_off_fields(),
        )

    def _on_error(self, reason: TwistedFailure) -> None:
        """Ends a response whose task was cancelled or raised an error."""
        if reason.check(CancelledError):
            if self._stop_failure is not None:
                self._on_result(self._stop_failure)
            else:
                self._count("cancelled")
            return
        self._sink.refuse(failed(Code.OUTCOME_UNKNOWN, reason.type.__name__))
        self._log.emit(Event.TASK_FAILED, traceback=reason.getTraceback())
        self._log.failed()

    def _count(self, status: object) -> float:
        """Counts the call and returns its duration in seconds."""
        took_s = self._context.clock() - self._call.arrived
        route = self._call.route.name
        self._context.metrics.requests.add(
            1, {"route": route, "status": status}
        )
        self._context.metrics.answer.record(took_s, {"route": route})
        return took_s

    def _count_served(self, served: Served) -> None:
        route = self._call.route.name
        took_s = self._count(self._sink.status)
        self._context.metrics.first_event.record(
            served.ttft_s, {"route": route}
        )
        self._log.emit(
            Event.REQUEST_DONE,
            route=route,
            status=self._sink.status,
            first_s=round(served.ttft_s, 3),
            in_time=served.ttft_s <= self._call.route.target_s,
            took_s=round(took_s, 3),
            **_end_fields(served.end),
            **self._gaps.count_whole(served.ttft_s),
        )

    def _count_failed(self, failure: Failure) -> None:
        took_s = self._count(self._sink.status)
        self._context.metrics.refusals.add(1, {"code": failure.code.name})
        state = self._carrier.state
        self._log.emit(
            Event.REQUEST_FAILED,
            route=self._call.route.name,
            status=self._sink.status,
            took_s=round(took_s, 3),
            phase=state.phase.value,
            silent_s=round(state.silent_s, 3),
            **self._gaps.broken_off_fields(),
            **explain(failure),
        )
        self._log.failed()


def _end_fields(end: AnswerEnd | None) -> dict[str, object]:
    """Returns what the log tells of the end of a complete answer."""
    if end is None:
        return {"framing": ""}
    return {
        "framing": end.framing.value if end.framing else "",
        "endpoint": end.endpoint,
        "connections": end.connections,
    }
