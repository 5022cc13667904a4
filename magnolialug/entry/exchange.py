"""One attempt as the entry sees it: dispatch, stream, resume, end."""

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

_GRACE_S = 0.5
_RESUME_IDEMPOTENT_S = 1.0
_RESUME_NON_IDEMPOTENT_S = 15.0
_IDLE_S = 3600.0
_SEAL_AFTER_S = 0.5
_ACK_EVERY = 16


class Start(enum.Enum):
    """How an exchange begins."""

    DISPATCH = "dispatch"
    FOLLOW = "follow"


class Exchange:
    """Runs one attempt over as many connections as it takes.

    A lost connection leaves open whether the attempt ran. The same sidecar
    start is asked again on a new connection, sealing the attempt if it never
    arrived, so that "not run" is always the sidecar's own word.
    """

    def __init__(
        self,
        call: PromptCall,
        attempt: Attempt,
        upstream: Upstream,
        progress: Progress,
        sink: Sink,
        clock: IReactorTime,
    ):
        self._call = call
        self._attempt = attempt
        self._upstream = upstream
        self._progress = progress
        self._sink = sink
        self._clock = clock
        self._acked = progress.seq
        self._seals = True

    async def run(self, start: Start) -> msg.Done | Ended:
        """Returns the end of the answer, or how the attempt ended."""
        request_id = self._attempt.request_id
        box = self._upstream.open_mailbox(request_id)
        try:
            return await self._run(start, box)
        except CancelledError:
            self._upstream.send(msg.Cancel(self._attempt))
            raise
        finally:
            self._upstream.close_mailbox(request_id, box)

    async def reread(self, find: msg.Find) -> msg.Done | Ended:
        """Returns the end of an answer that is asked for by its id alone."""
        box = self._upstream.open_mailbox(find.request_id)
        try:
            self._upstream.send(find)
            message = await box.get(self._patience())
            if hasattr(message, "attempt"):
                self._attempt = message.attempt
            end = await self._handle(message)
            return end or await self._listen(box)
        finally:
            self._upstream.close_mailbox(find.request_id, box)

    async def _run(self, start: Start, box: Mailbox) -> msg.Done | Ended:
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
        return await self._listen(box)

    async def _listen(self, box: Mailbox) -> msg.Done | Ended:
        while True:
            message = await box.get(self._patience())
            end = await self._handle(message)
            if end is not None:
                return end

    async def _handle(self, message) -> msg.Done | Ended | None:
        if message is TIMED_OUT:
            return self._give_up()
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
        """Asks again, sealing, after a moment.

        A duplicate that finds a claim can be faster than the claim's own
        dispatch. If it sealed at once, the dispatch would be refused, and
        duplicates that race would keep refusing each other's attempts. The
        answers to several who ask reach all of them; one is enough.
        """
        if self._seals:
            return None
        await sleep(self._clock, _SEAL_AFTER_S)
        self._seals = True
        return await self._resume()

    async def _token(self, token: msg.Token) -> Ended | None:
        """Delivers a piece once and in order.

        Pieces of an older connection can arrive late or again, and what
        lies between two pieces can be lost with a connection. One would
        notice doubled or missing words. The number tells: an old one is
        dropped, and a gap is asked for again.
        """
        if token.seq <= self._progress.seq:
            return None
        if token.seq > self._progress.seq + 1:
            return await self._resume()
        if self._progress.first_at is None:
            self._progress.first_at = self._clock.seconds()
        self._progress.seq = token.seq
        self._progress.text.append(token.text)
        await self._sink.piece(token.seq, token.text)
        if self._sink.gone and self._call.kind.idempotent:
            self._upstream.send(msg.Cancel(self._attempt))
            return self._ended(Ending.FAILED, failed(Code.CANCELLED))
        if token.seq - self._acked >= _ACK_EVERY:
            self._ack()
        return None

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

    def _give_up(self) -> Ended:
        failure = failed(
            Code.OUTCOME_UNKNOWN, "no first word within the kind's wait"
        )
        if self._call.kind.idempotent:
            self._upstream.send(msg.Cancel(self._attempt))
        return self._ended(Ending.FAILED, failure)

    async def _resume(self) -> Ended | None:
        """Asks the same sidecar start for the rest, on a new connection."""
        limit = _RESUME_NON_IDEMPOTENT_S
        if self._call.kind.idempotent:
            limit = _RESUME_IDEMPOTENT_S
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

    def _patience(self) -> float:
        if self._progress.first_at is not None:
            return _IDLE_S
        left = self._call.deadline - self._clock.seconds()
        return max(0.0, left) + _GRACE_S

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
