"""Attempts that go straight to endpoints over HTTP."""

from twisted.internet.defer import CancelledError

from magnolialug.carrier.responsereceiver import End
from magnolialug.entry.admissionrules import ahead_limit_s, waiting_of
from magnolialug.entry.callstate import CallState, Phase
from magnolialug.entry.candidateprober import CandidateProber
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.httpattempt import ForwardSink, HttpAttempt, Outcome
from magnolialug.entry.peer import Peer
from magnolialug.entry.placer import Placed, Placer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.entry.progress import Ended, Progress, Served
from magnolialug.events import Event, explain
from magnolialug.ids import EndpointId
from magnolialug.owners.admissionclient import AdmissionClient, AdmissionRequest
from magnolialug.policy.choice import must_wait
from magnolialug.policy.prompt import Prompt
from magnolialug.policy.retry import Budget, Ending
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.requestlog import RequestLog
from magnolialug.result import Failure

__all__ = ["HttpCarrier"]

# Engines for whose memory a prompt waits at once. With more, owners promise
# room that is taken elsewhere; with one, a prompt stands behind a slow answer
# while others end.
_LISTS = 4
_FETCHED = {"moved": "fetched"}
_SAVED = {"moved": "saved"}
_CLOSED_ON_US = (End.RESET, End.CLOSED)
_ENDPOINT_AT_FAULT = (*_CLOSED_ON_US, End.MALFORMED, End.SILENT)


class HttpCarrier:
    """Places a call at an endpoint and passes its answer on.

    Args:
      placer: chooses the endpoints.
      prober: finds out what they have to do.
      admission: where long prompts wait for memory.
      quarantine: refuses requests that crash endpoints.
      underway: the attempts that the process watches for silence.
    """

    def __init__(
        self,
        placer: Placer,
        prober: CandidateProber,
        admission: AdmissionClient,
        quarantine: Quarantine,
        underway: set[HttpAttempt],
        clock,
        call: ForwardCall,
        sink: ForwardSink,
        log: RequestLog,
        metrics: GatewayMetrics,
        budget: Budget,
    ):
        self._log = log
        self._budget = budget
        self._metrics = metrics
        self._placer = placer
        self._prober = prober
        self._admission = admission
        self._quarantine = quarantine
        self._underway = underway
        self._clock = clock
        self._call = call
        self._sink = sink
        self._avoid: set[EndpointId] = set()
        self._kept: Outcome | None = None
        self._number = 0
        self._attempt: HttpAttempt | None = None
        self._waited_s = 0.0

    async def attempt(self, progress: Progress) -> Served | Ended | Failure:
        """Places and makes one attempt."""
        placed = await self._place(progress)
        if isinstance(placed, Failure):
            self._log.emit(Event.NOT_PLACED, **explain(placed))
            return self._kept_answer() or placed
        peer, dispatch = placed.peer, placed.dispatch
        self._log_placed(placed)
        outcome = await self._run(placed, progress)
        self._learn(peer, dispatch, outcome)
        self._log_outcome(dispatch, outcome)
        if outcome.ended is None:
            return self._served(progress)
        if outcome.ended.ending in (Ending.UNSENT, Ending.NOT_RUN):
            self._placer.not_run(self._call, dispatch)
        self._avoid.add(dispatch.endpoint)
        if outcome.kept or outcome.ended.ending is Ending.FAILED:
            self._kept = outcome
        return outcome.ended

    async def _place(self, progress: Progress) -> Placed | Failure:
        """Returns an endpoint, or why there is none."""
        progress.seq = max(progress.seq, self._call.resume_after)
        refusal = self._quarantine.refusal(self._call.digest)
        if refusal:
            return refusal
        known = await self._prober.probe(self._call, self._avoid)
        admitted_by = await self._admit(known)
        if isinstance(admitted_by, Failure):
            return admitted_by
        # The request may have been quarantined while it waited.
        refusal = self._quarantine.refusal(self._call.digest)
        if refusal:
            return refusal
        return self._placer.place(
            self._call, progress, self._avoid, known, admitted_by
        )

    async def _admit(self, known: ProbeResults) -> EndpointId | Failure | None:
        """Waits until an engine has room for a first attempt.

        Returns:
          the engine that has reserved its memory; None if there is no need.
        """
        if self._number or not must_wait(known.candidates):
            return None
        begun = self._clock()
        admitted_by = await self._admission.enqueue(
            waiting_of(self._call),
            self._admission_requests(known),
            ahead_limit_s(self._call),
        )
        self._waited_s = self._clock() - begun
        return admitted_by

    def _admission_requests(
        self, known: ProbeResults
    ) -> list[AdmissionRequest]:
        """Returns what the call would take of the cheapest engines."""
        sound = [row for row in known.candidates if row.sound]
        sound.sort(key=lambda row: row.cost)
        return [
            self._placer.admission_request(self._call, row.endpoint, known)
            for row in sound[:_LISTS]
        ]

    @property
    def state(self) -> CallState:
        """How far the newest attempt has come."""
        attempt = self._attempt
        if attempt is None:
            return CallState(Phase.UNPLACED, 0.0)
        return attempt.state(self._clock())

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

    def _may_move(self) -> bool:
        """Whether another endpoint may be tried while this one is silent."""
        return (
            self._call.kind.idempotent
            and self._number < self._call.attempts
            and self._budget.left(self._call.service) >= 1.0
        )

    def _kept_answer(self) -> Served | None:
        if not self.deliver_kept():
            return None
        return Served(None, 0, 0.0)

    def _log_placed(self, placed: Placed) -> None:
        to = placed.dispatch
        prompt = self._call.prompt
        if prompt is not None:
            tokens = self._metrics.tokens
            tokens.add(placed.unread, {"source": "read"})
            tokens.add(prompt.tokens_in - placed.unread, {"source": "kept"})
            self._metrics.parts.add(sum(map(bool, to.fetch)), _FETCHED)
            self._metrics.parts.add(sum(map(bool, to.save)), _SAVED)
        self._log.emit(
            Event.PLACED,
            route=self._call.route.name,
            team=self._call.team,
            endpoint=to.endpoint,
            weights=to.weights,
            priority=to.priority,
            unread=placed.unread,
            waited_s=round(self._waited_s, 3),
            room=placed.room,
            fetched=sum(map(bool, to.fetch)),
            saved=sum(map(bool, to.save)),
            salt=to.salt,
            parts=_named_sources(prompt, to),
            after_event=to.resume_after,
            left_s=round(self._call.deadline - self._clock(), 3),
            costs=[
                (row.endpoint, round(row.cost, 4), row.sound)
                for row in placed.compared
            ],
        )

    def _log_outcome(self, to: Dispatch, outcome: Outcome) -> None:
        ending = outcome.ended.ending.value if outcome.ended else "whole"
        self._metrics.attempts.add(
            1, {"service": self._call.service, "ending": ending}
        )
        if outcome.ended is None:
            return
        answer = outcome.answer
        self._log.emit(
            Event.ANSWERED,
            endpoint=to.endpoint,
            digest=self._call.digest,
            ending=outcome.ended.ending.value,
            end=outcome.end.value,
            status=answer.status if answer else 0,
            instance=answer.instance if answer else "",
            weights=answer.weights if answer else 0,
            first_s=round(outcome.first_event_s, 4),
            **explain(outcome.ended.failure),
        )

    async def _run(self, placed: Placed, progress: Progress) -> Outcome:
        peer, dispatch = placed.peer, placed.dispatch
        now = self._clock()
        attempt = HttpAttempt(
            self._call,
            dispatch,
            peer,
            progress,
            self._sink,
            now,
            now + placed.patience_s,
            self._may_move,
            lambda: self._placer.first_event(self._call, peer),
        )
        self._attempt = attempt
        self._number += 1
        self._placer.sent(self._call, peer, dispatch, placed.unread, now)
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
        """Takes what the attempt tells of its endpoint, and of the request."""
        self._learn_of_request(peer, outcome)
        answer = outcome.answer
        if answer is not None and answer.misdirected:
            self._placer.misdirected(self._call, peer, dispatch, answer)
        elif answer is not None and answer.not_run:
            peer.health.probing = False
            if peer.load is not None:
                peer.turned_away(self._clock())
        elif outcome.end is End.SILENT and peer.heard_at > outcome.sent_at:
            peer.health.answered(False)
        elif outcome.end is End.UNSENT or outcome.end in _ENDPOINT_AT_FAULT:
            peer.health.broke(self._clock())
            peer.unreachable = outcome.end is End.UNSENT
        elif answer is not None:
            peer.health.answered(answer.status < 500)
            if answer.weights and self._call.prompt:
                peer.heard_weights(self._call.prompt.model, answer.weights)
        else:
            peer.health.probing = False

    def _learn_of_request(self, peer: Peer, outcome: Outcome) -> None:
        """Notes whether the endpoint lived through the request.

        One that leaves ends in order with what it has left.
        """
        answer = outcome.answer
        if answer is not None and answer.not_run:
            return
        if outcome.end is End.COMPLETE:
            self._quarantine.survived(self._call.digest)
        elif outcome.end in _CLOSED_ON_US and not peer.leaving:
            self._quarantine.lost(
                peer.start, peer.pool, self._call.digest, outcome.begun
            )


def _named_sources(
    prompt: Prompt | None, to: Dispatch
) -> list[tuple[str, int, str]]:
    """Returns name, tokens and source of each shared part, for the log."""
    if prompt is None:
        return []
    rows = zip(prompt.shared, to.sources, strict=True)
    return [(part.name, part.tokens, source) for part, source in rows]
