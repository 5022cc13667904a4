"""One attempt over HTTP: send, classify the answer, pass it on."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from magnolialug.carrier.pool import PendingRequest
from magnolialug.carrier.reader import Head
from magnolialug.carrier.responsereceiver import End
from magnolialug.config.routing import RouteType
from magnolialug.entry.callstate import CallState, Phase
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.eventcutter import EventCutter
from magnolialug.entry.forwardcall import ForwardCall, HeaderList
from magnolialug.entry.peer import Peer
from magnolialug.entry.progress import Ended, Progress
from magnolialug.platform.requests import (
    Answer,
    answers,
    endpoint_request,
    read_answer,
)
from magnolialug.policy.retry import Ending
from magnolialug.result import Code, Executed, Failure, failed

__all__ = ["ForwardSink", "HttpAttempt", "Outcome"]

_GOOD = range(200, 300)
_FAILED = range(500, 600)
_EVENT_STREAM = b"text/event-stream"
# A new start of an endpoint is known of this much later at most: it writes its
# entry with its first heartbeat, 1.2 s. What was sent since may run there.
_START_TOLD_S = 2.0
# When a caller may come back whose request its endpoint has turned away. An
# engine does so while it loads weights, or when it has others than were
# expected: the next one can be in time if it comes at once. A plain service
# that is full stays so for the time of an answer or more.
_ENGINE_AGAIN_S = 0.05
_PLAIN_AGAIN_S = 1.0
# What is held back while it can still be replaced by another's answer.
_KEPT_BYTES = 64 * 1024


class ForwardSink(Protocol):
    """Takes an endpoint's answer on its way to the caller."""

    opened: bool
    gone: bool

    def head(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Takes the status line and headers."""

    def data(self, data: bytes) -> None:
        """Takes a piece of the body."""

    def whole(self) -> None:
        """Ends the answer as complete."""

    def cut(self) -> None:
        """Ends the answer so that it cannot look complete."""

    def holds(self, pending_request: PendingRequest | None) -> None:
        """Learns whom to hold back while the caller does not read."""


class _Stage(enum.Enum):
    WAITING = "waiting"
    GATHERING = "gathering"
    PASSING = "passing"
    REFUSED = "refused"
    KEPT = "kept"


class Outcome(msgspec.Struct):
    """How an attempt ended.

    Attributes:
      ended: None for an answer that the caller has in full.
      answer: the response head, None if none came.
      first_event_s: time from sending to the first piece of the body.
      sent_at: when the request was sent.
      begun: whether part of the body came.
      kept: the body of a failure that was kept back.
    """

    ended: Ended | None
    answer: Answer | None = None
    first_event_s: float = 0.0
    end: End = End.COMPLETE
    sent_at: float = 0.0
    begun: bool = False
    kept: bytes = b""


class HttpAttempt:
    """Sends a request to one endpoint and passes the answer on.

    It is the connection's taker. `done` fires once with the Outcome.

    Args:
      patient_until: without an answer by then, another endpoint is tried if
        that is allowed.
      may_move: tells whether it is.
      on_first: is told of the first piece of the body.
    """

    def __init__(
        self,
        call: ForwardCall,
        dispatch: Dispatch,
        peer: Peer,
        progress: Progress,
        sink: ForwardSink,
        now: float,
        patient_until: float,
        may_move: Callable[[], bool],
        on_first: Callable[[], None],
    ):
        self._patient_until = patient_until
        self._may_move = may_move
        self._on_first = on_first
        self.done: Deferred[Outcome] = Deferred(self._cancelled)
        self.peer = peer
        self.dispatch = dispatch
        self.sent_at = now
        self.heard_at = now
        self.answered = False
        self.begun = False
        self.digest = call.digest
        self._call = call
        self._progress = progress
        self._sink = sink
        self._clock = lambda: now
        self._stage = _Stage.WAITING
        self._answer: Answer | None = None
        self._kept: list[bytes] = []
        self._first_event_s = 0.0
        self._cutter: EventCutter | None = None
        self._pending_request: PendingRequest | None = None
        self._why = End.COMPLETE

    def start(self, clock) -> None:
        """Sends the request."""
        self._clock = clock
        left = self._call.deadline - clock()
        request = endpoint_request(self._call, self.dispatch, left)
        name = self._call.name
        self._pending_request = self.peer.pool.send(
            request, self, lambda head: answers(name, head)
        )
        self._sink.holds(self._pending_request)

    def state(self, now: float) -> CallState:
        """Returns how far the attempt has come."""
        phase = Phase.WRITING if self._first_event_s else Phase.READING
        return CallState(phase, now - self.heard_at)

    def sweep(self, now: float) -> None:
        """Ends the attempt when nothing more can come of it in time."""
        over = now >= self._call.deadline or self._is_orphaned()
        if over or (self._is_overdue(now) and self._may_move()):
            self._pending_request.time_out()

    def break_off(self) -> None:
        """Stops a request that ends endpoints before this one begins it."""
        if not self.begun:
            self._pending_request.drop()

    def _is_overdue(self, now: float) -> bool:
        """Whether another endpoint is the better bet, if one may be tried.

        A stream that stops at an engine that has lost power would be held
        until its caller leaves with half an answer.
        """
        if self.peer.mute:
            return True
        return not self.answered and now >= self._patient_until

    def _is_orphaned(self) -> bool:
        """Whether the endpoint's start that took it has ended."""
        ended_at = self.peer.ended_at
        return ended_at is not None and self.sent_at < ended_at - _START_TOLD_S

    def on_head(self, head: Head) -> None:
        """Takes the endpoint's status line and headers."""
        self._heard()
        self.answered = True
        answer = self._answer = read_answer(head)
        stream = (head.get(b"content-type") or b"").startswith(_EVENT_STREAM)
        if answer.not_run:
            self._stage = _Stage.REFUSED
        elif self._is_kept(answer):
            self._stage = _Stage.KEPT
        elif answer.status in _GOOD and not self._is_sound(answer, stream):
            self._why = End.MALFORMED
            self._pending_request.drop()
        elif stream or self._call.route.form is RouteType.STREAMING:
            self._pass(stream)
        else:
            self._stage = _Stage.GATHERING

    def _is_kept(self, answer: Answer) -> bool:
        """Whether a failure is kept back so that others can be tried."""
        if self._sink.opened:
            return answer.status not in _GOOD
        return answer.status in _FAILED and self._call.kind.idempotent

    def _is_sound(self, answer: Answer, stream: bool) -> bool:
        """Whether a success bears its mark, and goes on as a stream if due."""
        if self._sink.opened and not (stream and self._call.route.resumable):
            return False
        return answer.stamped

    def _pass(self, stream: bool) -> None:
        self._stage = _Stage.PASSING
        if stream and self._call.route.resumable:
            self._cutter = EventCutter(self._progress.seq)
        if not self._sink.opened:
            answer = self._answer
            self._sink.head(answer.status, answer.reason, answer.passed)

    def on_data(self, data: bytes) -> None:
        """Takes a piece of the endpoint's body."""
        self._heard()
        self.begun = True
        if self._stage is _Stage.PASSING:
            self._deliver(data)
        elif self._stage is _Stage.GATHERING:
            self._gather(data)
        elif self._stage is _Stage.KEPT:
            self._kept.append(data)
            if sum(map(len, self._kept)) > _KEPT_BYTES:
                self._pending_request.drop()

    def _heard(self) -> None:
        self.heard_at = self._clock()
        self.peer.heard(self.heard_at)

    def _gather(self, data: bytes) -> None:
        """Holds an answer that is no stream until it is whole.

        An endpoint that dies in the middle of its answer can be replaced by
        another only while the caller has nothing; joined, the two halves
        would be an answer that nobody gave. What grows too large to hold is
        passed on, and then cannot be repeated.
        """
        self._kept.append(data)
        if sum(map(len, self._kept)) > _KEPT_BYTES:
            self._pass_gathered()

    def _pass_gathered(self) -> None:
        self._pass(stream=False)
        pieces, self._kept = self._kept, []
        for piece in pieces:
            self._deliver(piece)

    def _deliver(self, data: bytes) -> None:
        if not self._first_event_s:
            self._first_event_s = self.heard_at - self.sent_at
            self._on_first()
            if self._progress.first_at is None:
                self._progress.first_at = self.heard_at
        if self._cutter is None:
            self._sink.data(data)
            return
        try:
            events = self._cutter.feed(data)
        except ValueError:
            self._why = End.MALFORMED
            self._pending_request.drop()
            return
        self._progress.seq = self._cutter.last
        if events:
            self._sink.data(events)

    def on_end(self, end: End) -> None:
        """Learns how the exchange ended."""
        if end is End.DROPPED and self._why is not End.COMPLETE:
            end = self._why
        self._sink.holds(None)
        done, self.done = self.done, None
        if done is None:
            return
        if self._stage is _Stage.GATHERING and end is End.COMPLETE:
            self._pass_gathered()
        outcome = self._outcome(end)
        outcome.end = end
        outcome.sent_at = self.sent_at
        outcome.begun = self.begun
        outcome.answer = self._answer
        outcome.first_event_s = self._first_event_s
        done.callback(outcome)

    def _outcome(self, end: End) -> Outcome:
        if self._stage is _Stage.REFUSED:
            return Outcome(Ended(Ending.NOT_RUN, self._refusal()))
        if end is End.UNSENT:
            failure = failed(Code.CONNECTION_REFUSED, retry_after_s=0.5)
            return Outcome(Ended(Ending.UNSENT, failure))
        if end is not End.COMPLETE:
            return Outcome(Ended(self._lost_ending(), self._lost(end)))
        if self._stage is _Stage.KEPT:
            reason = f"status {self._answer.status}"
            failure = failed(Code.ENDPOINT_FAILED, reason)
            kept = b"".join(self._kept)
            return Outcome(Ended(Ending.FAILED, failure), kept=kept)
        if self._cutter is not None and self._cutter.torn:
            return Outcome(Ended(Ending.LOST, self._lost(End.CLOSED)))
        return Outcome(None)

    def _lost_ending(self) -> Ending:
        passing = self._stage is _Stage.PASSING and self._cutter is None
        return Ending.CUT if passing else Ending.LOST

    def _refusal(self) -> Failure:
        code = Code.QUEUE_FULL
        if self._answer.misdirected:
            code = Code.WRONG_ENDPOINT
        reason = f"status {self._answer.status}"
        after_s = _ENGINE_AGAIN_S if self.peer.load else _PLAIN_AGAIN_S
        return failed(code, reason, executed=Executed.NO, retry_after_s=after_s)

    def _lost(self, end: End) -> Failure:
        return failed(Code.OUTCOME_UNKNOWN, f"the answer was {end.value}")

    def _cancelled(self, _: Deferred) -> None:
        """Stops the endpoint's work, unless it must not be broken off.

        A non-idempotent request may be half done; its answer is of no use
        any more, but cutting it would leave the endpoint with half a
        booking and the caller with no way to learn of it.
        """
        self.done = None
        self._sink.holds(None)
        if self._call.route.form is not RouteType.NON_IDEMPOTENT:
            self._pending_request.drop()
