"""One attempt over a sidecar connection: dispatch, stream, resume, end."""

import enum

from twisted.internet.defer import CancelledError
from twisted.internet.interfaces import IReactorTime

from magnolialug.attempt import Attempt, AttemptState
from magnolialug.entry.call import PromptCall, Sink
from magnolialug.entry.mailbox import Mailbox
from magnolialug.entry.progress import Ended, Progress
from magnolialug.entry.upstream import LinkLost, Upstream
from magnolialug.events import Event, emit
from magnolialug.policy.retry import Ending
from magnolialug.result import Code, Executed, Failure, failed
from magnolialug.timing import TIMED_OUT, sleep
from magnolialug.wire import messages as msg

__all__ = ["Exchange", "Start"]

_FIRST_TOKEN_GRACE_S = 0.5
_IDEMPOTENT_RESUME_WAIT_S = 1.0
_NON_IDEMPOTENT_RESUME_WAIT_S = 15.0
_STREAM_IDLE_TIMEOUT_S = 3600.0
_SEAL_DELAY_S = 0.5
_PIECES_PER_ACK = 16


class Start(enum.Enum):
    """How an exchange begins."""

    DISPATCH = "dispatch"
    FOLLOW = "follow"


class Exchange:
    """Runs one attempt, resuming it over new connections when one is lost.

    After a connection is lost, the entry does not know whether the attempt ran.
    It asks the same start of the sidecar on a new connection, which seals the
    attempt if the dispatch never arrived. So only the sidecar ever reports an
    attempt as "not run".

    Args:
      max_chars: the longest answer; sidecars keep to it too.
    """

    def __init__(
        self,
        call: PromptCall,
        attempt: Attempt,
        upstream: Upstream,
        progress: Progress,
        sink: Sink,
        clock: IReactorTime,
        max_chars: int,
    ):
        self._call = call
        self._attempt = attempt
        self._upstream = upstream
        self._progress = progress
        self._sink = sink
        self._clock = clock
        self._max_chars = max_chars
        self._acked = progress.seq
        self._seals = True

    async def run(self, start: Start) -> msg.Done | Ended:
        """Runs the attempt; returns the end of the answer, or the failure."""
        request_id = self._attempt.request_id
        mailbox = self._upstream.open_mailbox(request_id)
        try:
            return await self._run(start, mailbox)
        except CancelledError:
            self._upstream.send(msg.Cancel(self._attempt))
            raise
        finally:
            self._upstream.close_mailbox(request_id, mailbox)

    async def replay(self, find: msg.Find) -> msg.Done | Ended:
        """Streams the answer of an earlier request that is found by its id."""
        mailbox = self._upstream.open_mailbox(find.request_id)
        try:
            self._upstream.send(find)
            message = await mailbox.get(self._receive_timeout_s())
            if hasattr(message, "attempt"):
                self._attempt = message.attempt
            end = await self._handle(message)
            return end or await self._receive(mailbox)
        finally:
            self._upstream.close_mailbox(find.request_id, mailbox)

    async def _run(self, start: Start, mailbox: Mailbox) -> msg.Done | Ended:
        if start is Start.DISPATCH:
            sent = self._upstream.send(self._dispatch())
            if not sent and self._upstream.incarnation == "":
                return self._ended(
                    Ending.NOT_RUN, failed(Code.CONNECTION_REFUSED)
                )
        else:
            sent = False
            self._seals = False
        if not sent:
            lost = await self._resume()
            if lost:
                return lost
        return await self._receive(mailbox)

    async def _receive(self, mailbox: Mailbox) -> msg.Done | Ended:
        while True:
            message = await mailbox.get(self._receive_timeout_s())
            end = await self._handle(message)
            if end is not None:
                return end

    async def _handle(self, message) -> msg.Done | Ended | None:
        if message is TIMED_OUT:
            return self._timed_out()
        if isinstance(message, LinkLost):
            return await self._resume()
        if message.attempt.key != self._attempt.key:
            return None
        if isinstance(message, msg.Token):
            return await self._token(message)
        if isinstance(message, msg.Done):
            return await self._done(message)
        if isinstance(message, msg.Refused):
            failure = failed(
                Code(message.code),
                message.reason,
                retry_after_s=message.retry_after_s,
                executed=Executed.NO,
            )
            return self._ended(Ending.NOT_RUN, failure)
        if message.state is AttemptState.FORGOTTEN and not message.sealing:
            return await self._seal()
        return self._outcome(message)

    async def _seal(self) -> Ended | None:
        """Resumes again after a delay, this time with sealing.

        A duplicate that finds a claim can reach the sidecar before the dispatch
        of that claim. If it sealed at once, the dispatch would be refused, and
        racing duplicates would keep refusing each other's attempts. A reply
        reaches every exchange that waits for the request; one that already
        seals ignores a reply to another's resume.
        """
        if self._seals:
            return None
        await sleep(self._clock, _SEAL_DELAY_S)
        self._seals = True
        return await self._resume()

    async def _token(self, token: msg.Token) -> Ended | None:
        """Delivers a piece once and in order.

        Pieces of an older connection can arrive late or twice, and pieces can
        be lost with a connection; the caller would see doubled or missing
        words. By its sequence number, an old piece is dropped, and a gap is
        requested again.
        """
        if token.seq <= self._progress.seq:
            return None
        if token.seq > self._progress.seq + 1:
            return await self._resume()
        self._progress.chars += len(token.text)
        if self._progress.chars > self._max_chars:
            return self._too_large()
        if self._progress.first_at is None:
            self._progress.first_at = self._clock.seconds()
        self._progress.seq = token.seq
        self._progress.text.append(token.text)
        await self._sink.write_piece(token.seq, token.text)
        if self._sink.gone and self._call.kind.idempotent:
            self._upstream.send(msg.Cancel(self._attempt))
            return self._ended(Ending.FAILED, failed(Code.CANCELLED))
        if token.seq - self._acked >= _PIECES_PER_ACK:
            self._ack()
        return None

    def _too_large(self) -> Ended:
        if self._call.kind.idempotent:
            self._upstream.send(msg.Cancel(self._attempt))
        failure = failed(Code.ANSWER_TOO_LARGE, value=self._progress.chars)
        return self._ended(Ending.FAILED, failure)

    async def _done(self, done: msg.Done) -> msg.Done | Ended | None:
        if self._progress.seq < done.last_seq:
            return await self._resume()
        self._ack()
        return done

    def _ack(self) -> None:
        self._acked = self._progress.seq
        self._upstream.send(msg.Ack(self._attempt, self._acked))

    def _outcome(self, outcome: msg.Outcome) -> Ended:
        code = Code(outcome.code)
        if outcome.state is AttemptState.FORGOTTEN:
            code = Code.OUTCOME_UNKNOWN
        ending = Ending.FAILED
        if outcome.state is AttemptState.FORGOTTEN:
            ending = Ending.LOST
        failure = failed(code, outcome.reason, executed=Executed.UNKNOWN)
        return self._ended(ending, failure)

    def _timed_out(self) -> Ended:
        failure = failed(
            Code.OUTCOME_UNKNOWN, "no first token within the kind's wait limit"
        )
        if self._call.kind.idempotent:
            self._upstream.send(msg.Cancel(self._attempt))
        return self._ended(Ending.FAILED, failure)

    async def _resume(self) -> Ended | None:
        """Requests the rest from the same sidecar start on a new connection."""
        limit = _NON_IDEMPOTENT_RESUME_WAIT_S
        if self._call.kind.idempotent:
            limit = _IDEMPOTENT_RESUME_WAIT_S
        if not await self._upstream.wait_ready(limit):
            return self._lost()
        if self._upstream.incarnation != self._attempt.incarnation:
            return self._lost()
        emit(
            Event.RESUMED,
            request=self._attempt.request_id,
            after=self._progress.seq,
        )
        self._upstream.send(
            msg.Resume(self._attempt, self._progress.seq, self._seals)
        )
        return None

    def _lost(self) -> Ended:
        return self._ended(Ending.LOST, failed(Code.OUTCOME_UNKNOWN))

    def _ended(self, ending: Ending, failure: Failure) -> Ended:
        return Ended(ending, failure)

    def _receive_timeout_s(self) -> float:
        if self._progress.first_at is not None:
            return _STREAM_IDLE_TIMEOUT_S
        left = self._call.deadline - self._clock.seconds()
        return max(0.0, left) + _FIRST_TOKEN_GRACE_S

    def _dispatch(self) -> msg.Dispatch:
        call = self._call
        left = call.deadline - self._clock.seconds()
        if self._progress.first_at is not None:
            left = call.kind.max_wait_s
        return msg.Dispatch(
            attempt=self._attempt,
            service=call.service,
            kind=call.kind_name,
            model=call.model,
            weights=call.weights,
            root=call.root,
            body=call.body,
            max_tokens=call.max_tokens,
            wait_s=max(0.0, left),
            idempotent=call.kind.idempotent,
            resume_after=self._progress.seq,
            resume_text="".join(self._progress.text),
            params=call.params,
        )
