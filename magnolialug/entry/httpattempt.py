"""One attempt over HTTP: sends it, classifies and forwards the answer."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from magnolialug.carrier.pool import PendingRequest
from magnolialug.carrier.reader import Framing, Head
from magnolialug.carrier.responsereceiver import End
from magnolialug.config.routing import RouteType
from magnolialug.entry.callstate import CallState, Phase
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.endcheck import Confirm, EndCheck, EndState
from magnolialug.entry.eventboundary import EventBoundary
from magnolialug.entry.eventsplitter import EventSplitter
from magnolialug.entry.forwardcall import ForwardCall, HeaderList
from magnolialug.entry.peer import Peer
from magnolialug.entry.progress import Ended, Progress
from magnolialug.ids import EndpointId
from magnolialug.platform.notices import read_notices
from magnolialug.platform.requests import (
    Answer,
    answers,
    endpoint_request,
    read_answer,
)
from magnolialug.policy.endpointnotice import ReceivedNotices
from magnolialug.policy.retry import Ending
from magnolialug.result import Code, Executed, Failure, failed

__all__ = [
    "AttemptCallbacks",
    "ForwardSink",
    "GivenUp",
    "HttpAttempt",
    "Outcome",
]

_GOOD = range(200, 300)
_FAILED = range(500, 600)
_EVENT_STREAM = b"text/event-stream"
# The longest time until a restart of an endpoint is detected: it writes its
# registry entry with its first heartbeat, 1.2 s. A request that was sent within
# this time may be running at the new start.
_RESTART_DETECTION_S = 2.0
# Retry-After of a request that its endpoint refused. An engine refuses requests
# while it loads weights, or when it has other weights than expected: an
# immediate retry can be in time. So it can where the endpoint has asked for a
# rest, or another start has its address, since it is passed over then. A plain
# service that is full stays full for the time of an answer or more.
_PASSED_OVER_RETRY_AFTER_S = 0.05
_PLAIN_RETRY_AFTER_S = 1.0
# A stream that has begun is late after a shorter pause, so little is lost by
# waiting for an engine that goes on after a second. Callers leave after two.
_STREAM_SILENT_S = 1.0
# Bound of an answer that is buffered while another endpoint can replace it.
_MAX_BUFFERED_BYTES = 64 * 1024
# Longest time for the body of a refusal or failure, which has a few bytes. The
# call may go elsewhere in the time that is left.
_FAILURE_BODY_S = 1.0


# An end that is unknown is lost, but tells nothing of its endpoint.
_ENDS = {
    EndState.PROVED: End.COMPLETE,
    EndState.KILLED: End.CLOSED,
    EndState.UNKNOWN: End.DROPPED,
}


class ForwardSink(Protocol):
    """Writes an endpoint's answer to the caller."""

    opened: bool
    gone: bool

    def head(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Writes the status line and headers."""

    def data(self, data: bytes) -> None:
        """Writes a piece of the body."""

    def complete(self) -> None:
        """Ends the answer as complete."""

    def abort(self) -> None:
        """Ends the answer so that the caller sees it as incomplete."""

    def set_source(self, source: "HttpAttempt | None") -> None:
        """Sets the attempt to pause while the caller does not read."""


class GivenUp(enum.Enum):
    """Why an attempt was ended here and not by its endpoint."""

    DEADLINE = "deadline"
    RESTARTED = "restarted"
    SUPERSEDED = "superseded"


class _Stage(enum.Enum):
    WAITING = "waiting"
    BUFFERING = "gathering"
    FORWARDING = "passing"
    REFUSED = "refused"
    WITHHELD = "kept"


class Outcome(msgspec.Struct):
    """How an attempt ended.

    Attributes:
      ended: None if the caller received the whole answer.
      answer: the response head, None if none arrived.
      first_event_s: time from sending to the first forwarded data.
      sent_at: when the request was sent.
      begun: whether part of the body arrived.
      first_data_at: when the first part of the body arrived, infinity if none
        did.
      withheld: the body of a failure that was not forwarded.
      framing: what tells the end of the answer, None if none arrived.
      in_event: whether the answer is a stream that ended inside an event.
      is_resumable: whether another endpoint can go on behind its last event.
      given_up: why it was ended here, None if it was not.
    """

    ended: Ended | None
    answer: Answer | None = None
    first_event_s: float = 0.0
    end: End = End.COMPLETE
    sent_at: float = 0.0
    begun: bool = False
    first_data_at: float = float("inf")
    withheld: bytes = b""
    framing: Framing | None = None
    in_event: bool = False
    is_resumable: bool = False
    given_up: GivenUp | None = None


class AttemptCallbacks(msgspec.Struct, frozen=True):
    """What an attempt tells its owner.

    Attributes:
      on_overdue: receives it while its endpoint is silent for too long.
      on_claim: receives it before it forwards something, if another attempt of
        the call may have done so before.
      on_first_data: called when the first data is to be forwarded.
      on_first_event: called before the first whole event is forwarded, on a
        route whose streams may be resumed.
      on_events: receives how many events a piece of a forwarded stream has
        completed; 0 when its caller's reading is paused.
      confirm_registry: calls back with whether all endpoints that had
        registered when it was called are known.
    """

    on_overdue: Callable[["HttpAttempt"], None]
    on_claim: Callable[["HttpAttempt"], None]
    on_first_data: Callable[[], None]
    on_first_event: Callable[[], None]
    on_events: Callable[[int], None]
    confirm_registry: Confirm


class HttpAttempt:
    """Sends a request to one endpoint and forwards the answer.

    It receives the connection's events. `done` fires once with the Outcome.

    Attributes:
      contested: whether another attempt of the call runs beside it, so that it
        claims the caller with a whole event only.

    Args:
      answer_due_at: without an answer by then, it is overdue.
    """

    def __init__(
        self,
        call: ForwardCall,
        dispatch: Dispatch,
        peer: Peer,
        progress: Progress,
        sink: ForwardSink,
        now: float,
        answer_due_at: float,
        callbacks: AttemptCallbacks,
    ):
        self.contested = False
        self._has_claimed = False
        self._answer_due_at = answer_due_at
        self._callbacks = callbacks
        self._is_source = False
        self._is_paused = False
        self._read_since = now
        self._paused_at = now
        self._end_check = EndCheck(peer, now, callbacks.confirm_registry)
        self._event_forwarded = False
        self.done: Deferred[Outcome] = Deferred(self._cancelled)
        self.peer = peer
        self.dispatch = dispatch
        self.sent_at = now
        self.last_contact_at = now
        self.answered = False
        self._answered_at = float("inf")
        self.begun = False
        self.identity = call.identity
        self._call = call
        self._progress = progress
        self._sink = sink
        self._clock = lambda: now
        self._stage = _Stage.WAITING
        self._answer: Answer | None = None
        self._framing: Framing | None = None
        self._boundary: EventBoundary | None = None
        self._buffer: list[bytes] = []
        self._buffered = 0
        self._first_event_s = 0.0
        self._first_data_at = float("inf")
        self._splitter: EventSplitter | None = None
        self._pending_request: PendingRequest | None = None
        self._drop_end = End.COMPLETE
        self._event_count = 0
        self._given_up: GivenUp | None = None

    def start(self, clock) -> None:
        """Sends the request."""
        self._clock = clock
        left = self._call.deadline - clock()
        request = endpoint_request(self._call, self.dispatch, left)
        name = self._call.name
        self._pending_request = self.peer.pool.send(
            request,
            self,
            lambda head, is_first: answers(name, head, is_first),
            self._call.body.blocks(),
        )

    @property
    def start_id(self) -> EndpointId:
        """The start of the endpoint that it was sent to."""
        return self.peer.start_id

    def state(self, now: float) -> CallState:
        """Returns the progress of the attempt."""
        phase = Phase.WRITING if self._first_event_s else Phase.READING
        return CallState(phase, now - self.last_contact_at)

    def pause(self) -> None:
        """Stops reading the answer; its endpoint can send little more."""
        self._is_paused = True
        self._paused_at = self._clock()
        self._callbacks.on_events(0)
        self._pending_request.pause()

    def resume(self) -> None:
        """Resumes reading the answer."""
        self._is_paused = False
        self._read_since = now = self._clock()
        self._end_check.record_resumed(now, now - self._paused_at)
        self._pending_request.resume()

    def waits_since(self, now: float) -> float:
        """Returns since when its endpoint could have sent something."""
        expects_none = self._is_paused or self._end_check.is_running
        return now if expects_none else self._read_since

    def sweep(self, now: float) -> None:
        """Ends the attempt if it is past its deadline or orphaned.

        Its endpoint's silence does not end it: the endpoint may go on. Whoever
        `on_overdue` tells of it may try another one beside it.
        """
        self._end_check.sweep(now)
        if now >= self._call.deadline:
            self._give_up(GivenUp.DEADLINE)
        elif self._end_check.is_running:
            return
        elif self._is_orphaned():
            self._give_up(GivenUp.RESTARTED)
        elif self._is_failure_late(now):
            self._pending_request.drop()
        elif self._is_overdue(now) and self._can_be_superseded:
            self._callbacks.on_overdue(self)

    def supersede(self) -> None:
        """Ends the attempt because another one's answer is forwarded."""
        if self._is_overdue(self._clock()):
            self._give_up(GivenUp.SUPERSEDED)
            return
        self._given_up = GivenUp.SUPERSEDED
        self._pending_request.drop()
        if self._end_check.is_running:
            self._finish(End.DROPPED)

    def cancel(self) -> None:
        """Ends the attempt because its call has ended."""
        if self.done is not None:
            self.done.cancel()

    def fail(self, exc: BaseException) -> None:
        """Ends the attempt with an exception, which ends its call."""
        done, self.done = self.done, None
        self._release_sink()
        self._drop_request()
        if done is not None:
            done.errback(exc)

    def abort_unless_started(self) -> None:
        """Drops the attempt of a crashing request if no data has arrived."""
        if not self.begun:
            self._pending_request.drop()

    def _give_up(self, reason: GivenUp) -> None:
        self._given_up = reason
        self._pending_request.time_out()
        if self._end_check.is_running:
            self._finish(End.SILENT)

    @property
    def _can_be_superseded(self) -> bool:
        """Whether another endpoint's answer can take this one's place."""
        is_forwarding = self._stage is _Stage.FORWARDING
        return not is_forwarding or self._is_resumable

    @property
    def has_begun_stream(self) -> bool:
        """Whether it goes on with a stream of which the caller has a part."""
        return self._event_forwarded or self.dispatch.resume_after > 0

    def _is_failure_late(self, now: float) -> bool:
        """Whether the rest of a refusal or failure takes too long to wait."""
        is_failure = self._stage in (_Stage.REFUSED, _Stage.WITHHELD)
        return is_failure and now - self._answered_at > _FAILURE_BODY_S

    def _is_overdue(self, now: float) -> bool:
        """Whether to try another endpoint, if that is allowed.

        Without this, a stream from an engine that lost power would stay open
        until its caller leaves with half an answer.
        """
        if self._event_forwarded:
            silent_s = now - max(self.peer.last_contact_at, self._read_since)
            return self.peer.unresponsive and silent_s >= _STREAM_SILENT_S
        if self.peer.unresponsive:
            return True
        return not self.answered and now >= self._answer_due_at

    def _is_orphaned(self) -> bool:
        """Whether the endpoint has restarted since the request was sent."""
        restarted_at = self.peer.restarted_at
        return (
            restarted_at is not None
            and self.sent_at < restarted_at - _RESTART_DETECTION_S
        )

    def on_head(self, head: Head) -> None:
        """Handles the endpoint's status line and headers."""
        self._record_contact()
        self.answered = True
        self._answered_at = self.last_contact_at
        answer = self._answer = read_answer(head)
        self._record_notices(head)
        self._framing = head.framing
        stream = self._is_stream(head)
        if stream:
            self._boundary = EventBoundary()
        if answer.not_run:
            self._stage = _Stage.REFUSED
        elif self._is_withheld(answer):
            self._stage = _Stage.WITHHELD
        elif answer.status in _GOOD and not self._is_valid(answer, stream):
            self._drop_end = End.MALFORMED
            self._pending_request.drop()
        elif stream or self._call.route.form is RouteType.STREAMING:
            self._forward(stream)
        else:
            self._stage = _Stage.BUFFERING

    def _is_stream(self, head: Head) -> bool:
        """Whether the body is a stream of events, which only a success has.

        On a streaming route it is one also without a content type.
        """
        if head.status not in _GOOD:
            return False
        content_type = head.get(b"content-type")
        if content_type is None:
            return self._call.route.form is RouteType.STREAMING
        return content_type.lower().startswith(_EVENT_STREAM)

    def _record_notices(self, head: Head) -> None:
        """Records what the answer says of its endpoint."""
        endpoint = self.peer.listed.endpoint
        notices = read_notices(head.status, head.headers, endpoint)
        self.peer.record_notices(
            ReceivedNotices(notices, self.sent_at, self.last_contact_at)
        )

    def _is_withheld(self, answer: Answer) -> bool:
        """Whether a failure is withheld while other endpoints can be tried."""
        if self._sink.opened:
            return answer.status not in _GOOD
        return answer.status in _FAILED and self._call.kind.idempotent

    def _is_valid(self, answer: Answer, stream: bool) -> bool:
        """Whether a success has its stamp, and is a stream where it must be."""
        if self._sink.opened and not (stream and self._call.route.resumable):
            return False
        return answer.stamped

    def _forward(self, stream: bool) -> None:
        self._stage = _Stage.FORWARDING
        if stream and self._call.route.resumable:
            self._splitter = EventSplitter(self._progress.seq)

    def _claim(self) -> None:
        """Becomes the attempt whose answer the caller gets."""
        self.contested = False
        self._has_claimed = True
        self._callbacks.on_claim(self)
        self._is_source = True
        self._sink.set_source(self)
        if not self._sink.opened:
            answer = self._answer
            headers = answer.passed
            if self._boundary is not None:
                # An announced length does not hold if another engine goes on
                # with the stream, and would frame a partial event as complete.
                headers = [
                    (name, value)
                    for name, value in headers
                    if name != b"content-length"
                ]
            self._sink.head(answer.status, answer.reason, headers)

    def on_data(self, data: bytes) -> None:
        """Handles a piece of the endpoint's body."""
        self._record_contact()
        if not self.begun:
            self.begun = True
            self._first_data_at = self.last_contact_at
        events = self._boundary.feed(data) if self._boundary else 0
        self._event_count += events
        if self._stage is _Stage.FORWARDING:
            self._deliver(data)
            if events and not self._is_paused:
                self._callbacks.on_events(events)
        elif self._stage is _Stage.BUFFERING:
            self._buffer_data(data)
        else:
            self._buffer_failure(data)

    def _record_contact(self) -> None:
        self.last_contact_at = self._clock()
        self.peer.record_contact(self.last_contact_at)

    def _buffer_failure(self, data: bytes) -> None:
        """Buffers the body of a refusal or failure, which must be short."""
        self._buffered += len(data)
        if self._buffered > _MAX_BUFFERED_BYTES:
            self._pending_request.drop()
        elif self._stage is _Stage.WITHHELD:
            self._buffer.append(data)

    def _buffer_data(self, data: bytes) -> None:
        """Buffers an answer that is not a stream until it is complete.

        If an endpoint fails in the middle of its answer, another one can only
        replace it while the caller has received nothing: two halves joined
        would be an answer that no endpoint gave. An answer that outgrows the
        buffer is forwarded, and can then not be retried.
        """
        self._buffer.append(data)
        self._buffered += len(data)
        if self._buffered > _MAX_BUFFERED_BYTES:
            self._forward_buffered()

    def _forward_buffered(self) -> None:
        self._forward(stream=False)
        pieces, self._buffer = self._buffer, []
        for piece in pieces:
            self._deliver(piece)

    def _deliver(self, data: bytes) -> None:
        if not self._has_claimed and not self.contested:
            self._claim()
        if not self._first_event_s:
            self._first_event_s = self.last_contact_at - self.sent_at
            self._callbacks.on_first_data()
            if self._progress.first_at is None:
                self._progress.first_at = self.last_contact_at
        if self._splitter is None:
            self._pass_on(data)
            return
        try:
            events = self._splitter.feed(data)
        except ValueError:
            self._drop_end = End.MALFORMED
            self._pending_request.drop()
            return
        if not events:
            return
        if not self._event_forwarded:
            self._event_forwarded = True
            self._callbacks.on_first_event()
        self._pass_on(events)
        self._progress.seq = self._splitter.last_id

    def _pass_on(self, data: bytes) -> None:
        if self.contested:
            self._claim()
        self._sink.data(data)

    def on_end(self, end: End) -> None:
        """Handles the end of the exchange."""
        if end is End.DROPPED and self._drop_end is not End.COMPLETE:
            end = self._drop_end
        if end is End.COMPLETE and self._is_inside_event:
            # Whatever told its end, a stream that ends inside an event has
            # been broken off.
            end = End.CLOSED
        if end is not End.COMPLETE or not self._is_unproven:
            self._finish(end)
        elif self._has_no_event:
            self._finish(End.CLOSED)
        else:
            self._end_check.start(
                self._clock(),
                self._call.deadline,
                self._boundary is not None,
                self._call.kind.idempotent,
                lambda state: self._finish(_ENDS[state]),
            )

    @property
    def _is_unproven(self) -> bool:
        """Whether the end may be that of the endpoint's process."""
        is_closed = self._framing is Framing.CLOSE
        return is_closed and self._stage is not _Stage.REFUSED

    @property
    def _has_no_event(self) -> bool:
        """Whether a stream has ended before the first event of its run.

        Every run makes at least one; a resumed one may have none left.
        """
        is_new_run = (
            self._boundary is not None and not self.dispatch.resume_after
        )
        return is_new_run and not self._event_count

    def _finish(self, end: End) -> None:
        """Reports how the attempt has ended, once."""
        self._end_check.stop()
        done, self.done = self.done, None
        if done is not None and end is End.COMPLETE:
            self._forward_rest()
        self._release_sink()
        if done is None:
            return
        outcome = self._outcome(end)
        outcome.end = end
        outcome.sent_at = self.sent_at
        outcome.begun = self.begun
        outcome.first_data_at = self._first_data_at
        outcome.answer = self._answer
        outcome.first_event_s = self._first_event_s
        outcome.framing = self._framing
        outcome.in_event = self._is_inside_event
        outcome.is_resumable = self._is_resumable
        outcome.given_up = self._given_up
        done.callback(outcome)

    def _forward_rest(self) -> None:
        """Forwards what has not been, of an answer that is complete."""
        if self._stage is _Stage.BUFFERING:
            self._forward_buffered()
        if self._stage is _Stage.FORWARDING and not self._has_claimed:
            self._claim()
        if self._event_forwarded and (rest := self._splitter.take_rest()):
            self._sink.data(rest)

    def _release_sink(self) -> None:
        if self._is_source:
            self._is_source = False
            self._sink.set_source(None)

    def _outcome(self, end: End) -> Outcome:
        if self._stage is _Stage.REFUSED:
            sent = 0 if self._answer.misdirected else 1
            return Outcome(Ended(Ending.NOT_RUN, self._refusal(), sent))
        if end is End.UNSENT:
            failure = failed(Code.CONNECTION_REFUSED, retry_after_s=0.5)
            return Outcome(Ended(Ending.UNSENT, failure))
        if end is not End.COMPLETE:
            return Outcome(Ended(self._lost_ending(), self._lost(end)))
        if self._stage is _Stage.WITHHELD:
            reason = f"status {self._answer.status}"
            failure = failed(Code.ENDPOINT_FAILED, reason)
            withheld = b"".join(self._buffer)
            return Outcome(Ended(Ending.FAILED, failure), withheld=withheld)
        return Outcome(None)

    @property
    def _is_inside_event(self) -> bool:
        if self._splitter is not None:
            return self._splitter.has_partial_event
        return self._boundary is not None and self._boundary.is_inside_event

    def _lost_ending(self) -> Ending:
        passing = self._stage is _Stage.FORWARDING and not self._is_resumable
        return Ending.CUT if passing else Ending.LOST

    @property
    def _is_resumable(self) -> bool:
        """Whether another endpoint can go on behind the last event."""
        return self._splitter is not None and self._splitter.is_numbered

    def _refusal(self) -> Failure:
        code = Code.QUEUE_FULL
        after_s = _PLAIN_RETRY_AFTER_S
        if self._answer.misdirected:
            code = Code.WRONG_ENDPOINT
        elif self.peer.rest.is_resting(self.last_contact_at):
            code = Code.RESTING
        if self.peer.load or code is not Code.QUEUE_FULL:
            after_s = _PASSED_OVER_RETRY_AFTER_S
        reason = f"status {self._answer.status}"
        return failed(code, reason, executed=Executed.NO, retry_after_s=after_s)

    def _lost(self, end: End) -> Failure:
        return failed(Code.OUTCOME_UNKNOWN, f"the answer was {end.value}")

    def _cancelled(self, _: Deferred) -> None:
        """Drops the exchange, except for a non-idempotent request.

        A non-idempotent request may be half done. Its answer is no longer
        needed, but dropping it would leave the endpoint with half a booking,
        of which the caller could not find out.
        """
        self.done = None
        self._release_sink()
        self._drop_request()

    def _drop_request(self) -> None:
        """Drops the exchange, unless it may leave half a booking."""
        is_sent = self._pending_request is not None
        if is_sent and self._call.route.form is not RouteType.NON_IDEMPOTENT:
            self._pending_request.drop()
