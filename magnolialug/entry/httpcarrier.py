"""Attempts that go straight to endpoints over HTTP."""

from twisted.internet.defer import CancelledError

from magnolialug.carrier.taker import End
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.httpattempt import ForwardSink, HttpAttempt, Outcome
from magnolialug.entry.peer import Peer
from magnolialug.entry.placer import Placer
from magnolialug.entry.progress import Ended, Progress, Served
from magnolialug.ids import EndpointId
from magnolialug.policy.retry import Ending
from magnolialug.result import Failure

__all__ = ["HttpCarrier"]

_ENDPOINT_AT_FAULT = (End.RESET, End.CLOSED, End.GARBAGE, End.SILENT)


class HttpCarrier:
    """Places a call at an endpoint and passes its answer on.

    Args:
      placer: chooses the endpoints.
      underway: the attempts that the process watches for silence.
    """

    def __init__(
        self,
        placer: Placer,
        underway: set[HttpAttempt],
        clock,
        call: ForwardCall,
        sink: ForwardSink,
    ):
        self._placer = placer
        self._underway = underway
        self._clock = clock
        self._call = call
        self._sink = sink
        self._avoid: set[EndpointId] = set()
        self._kept: Outcome | None = None
        self._progress = Progress(seq=call.resume_after)

    async def attempt(self, progress: Progress) -> Served | Ended | Failure:
        """Places and makes one attempt."""
        progress.seq = max(progress.seq, self._call.resume_after)
        placed = self._placer.place(self._call, progress, self._avoid)
        if isinstance(placed, Failure):
            return self._kept_answer() or placed
        peer, dispatch = placed
        outcome = await self._run(peer, dispatch, progress)
        self._learn(peer, dispatch, outcome)
        if outcome.ended is None:
            return self._served(progress)
        self._avoid.add(dispatch.endpoint)
        if outcome.kept or outcome.ended.ending is Ending.FAILED:
            self._kept = outcome
        return outcome.ended

    async def unrun(self) -> None:
        """Has nothing to undo."""

    def deliver_kept(self) -> bool:
        """Passes on a failure that was kept back; false if there is none."""
        kept, self._kept = self._kept, None
        if kept is None or self._sink.opened or kept.answer is None:
            return False
        answer = kept.answer
        self._sink.head(answer.status, answer.reason, answer.passed)
        self._sink.data(kept.kept)
        self._sink.whole()
        return True

    def _kept_answer(self) -> Served | None:
        if not self.deliver_kept():
            return None
        return Served(None, 0, 0.0)

    async def _run(
        self, peer: Peer, dispatch: Dispatch, progress: Progress
    ) -> Outcome:
        now = self._clock()
        attempt = HttpAttempt(
            self._call, dispatch, peer, progress, self._sink, now
        )
        self._placer.sent(self._call, peer, dispatch, now)
        self._underway.add(attempt)
        try:
            attempt.start(self._clock)
            return await attempt.done
        except CancelledError:
            peer.health.probing = False
            raise
        finally:
            self._underway.discard(attempt)
            self._placer.over(self._call, peer)

    def _served(self, progress: Progress) -> Served:
        self._sink.whole()
        first_at = progress.first_at or self._clock()
        return Served(None, progress.seq, first_at - self._call.arrived)

    def _learn(self, peer: Peer, dispatch: Dispatch, outcome: Outcome) -> None:
        """Takes what the attempt tells of its endpoint."""
        answer = outcome.answer
        if answer is not None and answer.misdirected:
            self._placer.misdirected(self._call, peer, dispatch, answer)
        elif outcome.end is End.UNSENT or outcome.end in _ENDPOINT_AT_FAULT:
            peer.health.broke(self._clock())
        elif answer is not None and not answer.not_run:
            peer.health.answered(answer.status < 500)
            if answer.weights and self._call.prompt:
                peer.heard_weights(self._call.prompt.model, answer.weights)
        else:
            peer.health.probing = False
