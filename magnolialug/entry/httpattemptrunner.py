"""Makes a call's attempts directly at endpoints over HTTP."""

from collections.abc import Callable
from functools import partial
from itertools import islice

import msgspec

from magnolialug.background import background
from magnolialug.carrier.reader import Framing
from magnolialug.carrier.responsereceiver import End
from magnolialug.entry.admissionrules import (
    flows_of,
    queued_work_limit_s,
    waiting_prompt,
)
from magnolialug.entry.attemptrace import AttemptRace
from magnolialug.entry.callstate import CallState, Phase
from magnolialug.entry.candidateprober import CandidateProber
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.endconfirmation import EndConfirmation, EndProof
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.hedging import Hedging
from magnolialug.entry.httpattempt import (
    AttemptCallbacks,
    ForwardSink,
    HttpAttempt,
    Outcome,
)
from magnolialug.entry.peer import Peer
from magnolialug.entry.placer import Placed, Placer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.entry.progress import AnswerEnd, Ended, Progress, Served
from magnolialug.entry.streamreturn import bind_to_origin, registry_unconfirmed
from magnolialug.events import Event, explain
from magnolialug.ids import EndpointId, EngineBuild, SoftwareVersion
from magnolialug.owners.admissionclient import AdmissionClient, AdmissionRequest
from magnolialug.policy.admissionlead import NO_LEAD, AdmissionLead
from magnolialug.policy.choice import must_wait
from magnolialug.policy.prompt import Prompt
from magnolialug.policy.retry import Budget, Ending
from magnolialug.quarantine.crashdetector import LostAttempt
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.requestlog import RequestLog
from magnolialug.result import Code, Failure, failed
from magnolialug.streamorigins.wiring import StreamOrigins

__all__ = ["HttpAttemptRunner"]

# Engines in whose admission queues a prompt waits at the same time. With more,
# owners reserve memory for prompts that are admitted elsewhere; with one, a
# prompt waits behind a slow answer while other engines become free.
_MAX_ADMISSION_QUEUES = 4
# Endpoints of which one must be sound before their owners are asked for an
# attempt beside another; twice as many with each search. Where all endpoints
# are silent at once, every request in progress searches.
# A log line names so many parts of a prompt, by so much of their names.
_LOGGED_PARTS = 256
_LOGGED_CHARS = 64
_HEDGE_SHORTLIST_SIZE = 4
# Bounds the questions about one stream beyond its route's attempts.
_MAX_ASKED = 2
_SUCCESS = range(200, 300)
_FETCHED = {"moved": "fetched"}
_SAVED = {"moved": "saved"}
_CONNECTION_LOST = (End.RESET, End.CLOSED)
_ENDPOINT_AT_FAULT = (*_CONNECTION_LOST, End.MALFORMED, End.SILENT)


class HttpAttemptRunner:
    """Places a call at an endpoint and forwards its answer.

    Args:
      placer: chooses the endpoints.
      prober: queries the load of the endpoints.
      admission: queues large prompts until an engine has memory.
      quarantine: refuses requests that crash endpoints.
      origins: knows which versions began streams.
      active_attempts: the attempts in progress in this process.
    """

    def __init__(
        self,
        placer: Placer,
        prober: CandidateProber,
        admission: AdmissionClient,
        quarantine: Quarantine,
        origins: StreamOrigins,
        active_attempts: set[HttpAttempt],
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
        self._origins = origins
        self._active_attempts = active_attempts
        self._clock = clock
        self._call = call
        self._sink = sink
        self._avoid: set[EndpointId] = set()
        self._misdirected: set[EndpointId] = set()
        self._withheld: Outcome | None = None
        self._attempts: list[HttpAttempt] = []
        self._unsent = 0
        self._hedges: set[HttpAttempt] = set()
        self._searches = 0
        self._waited_s = 0.0
        self._lead = NO_LEAD
        self._answer_end: AnswerEnd | None = None
        self._is_resumable = False
        self._confirmation = EndConfirmation(
            self._unproven_source,
            self._place_confirmation,
            self._ask_for_rest,
            self._record_end,
        )

    async def attempt(self, progress: Progress) -> Served | Ended | Failure:
        """Places and makes one attempt."""
        placed = await self._place(progress)
        if isinstance(placed, Failure):
            self._log.emit(
                Event.NOT_PLACED, **self._lead_fields(), **explain(placed)
            )
            return self._withheld_answer() or placed
        self._log_placed(placed)
        sent_before = self._sent_count
        ended = await self._run(placed, progress)
        if ended is not None:
            return ended
        ended = await self._confirmation.confirm(progress)
        if ended is None:
            return self._served(progress)
        sent = self._sent_count - sent_before
        return msgspec.structs.replace(ended, sent=sent)

    @property
    def _sent_count(self) -> int:
        """The number of attempts that endpoints may have received."""
        return len(self._attempts) - self._unsent

    async def _place(self, progress: Progress) -> Placed | Failure:
        """Returns a placement, or the reason why there is none."""
        refusal = await self._why_not_continued()
        if refusal:
            return refusal
        progress.seq = max(progress.seq, self._call.resume_after)
        refusal = self._quarantine.refusal(self._call.identity)
        if refusal:
            return refusal
        results = await self._prober.probe(self._call, self._avoid)
        admitted_by = await self._admit(results)
        if isinstance(admitted_by, Failure):
            return admitted_by
        if admitted_by is not None and self._placer.is_limited(admitted_by):
            # The permit to send to it has expired while the prompt waited.
            results = await self._prober.probe(self._call, self._avoid)
        # The request may have been quarantined while it waited.
        refusal = self._quarantine.refusal(self._call.identity)
        if refusal:
            return refusal
        placed = self._placer.place(
            self._call,
            progress,
            self._avoid,
            results,
            admitted_by,
            frozenset(self._misdirected),
        )
        if results.limited:
            self._count_limited(placed)
        if isinstance(placed, Failure) and placed.code is Code.VERSION_GONE:
            refusal = await self._confirm_gone()
            return refusal or registry_unconfirmed(self._call.software)
        return placed

    async def _why_not_continued(self) -> Failure | None:
        """Returns why no endpoint can go on with a stream, None if one can."""
        if self._call.takes_up_stream and self._call.software is None:
            bound = await bind_to_origin(
                self._call, self._origins, self._metrics, self._log
            )
            if isinstance(bound, Failure):
                return bound
            self._call = bound
        if self._placer.lists_version(self._call):
            return None
        return await self._confirm_gone()

    async def _confirm_gone(self) -> Failure | None:
        """Returns the refusal of a stream whose version is not listed here.

        Returns:
          None if an endpoint of it has registered meanwhile.
        """
        if not await self._origins.registry.confirm(self._call.deadline):
            return registry_unconfirmed(self._call.software)
        if self._placer.lists_version(self._call):
            return None
        return failed(Code.VERSION_GONE, value=self._call.software)

    def _count_limited(self, placed: Placed | Failure) -> None:
        """Counts a request that an endpoint's limit has turned away."""
        if isinstance(placed, Failure):
            self._metrics.limited.add(1, {"result": "refused"})
        elif placed.peer.limit.rate is None:
            self._metrics.limited.add(1, {"result": "elsewhere"})

    async def _admit(
        self, results: ProbeResults
    ) -> EndpointId | Failure | None:
        """Queues a first attempt until an engine has room, if none has now.

        Returns:
          the engine that has reserved memory; None if no queueing was needed.
        """
        if self._attempts or not must_wait(results.candidates):
            return None
        begun = self._clock()
        try:
            return await self._admission.enqueue(
                waiting_prompt(self._call),
                self._admission_requests(results),
                queued_work_limit_s(self._call),
                partial(self._quarantine.refusal, self._call.identity),
                flows_of(self._call),
                self._record_lead,
            )
        finally:
            self._waited_s = self._clock() - begun
            self._metrics.record_admission(
                self._call.route.name, self._waited_s, self._lead.reason.value
            )

    def _lead_fields(self) -> dict[str, object]:
        if self._lead == NO_LEAD:
            return {}
        return {
            "lead_s": self._lead.lead_s,
            "lead_reason": self._lead.reason.value,
        }

    def _record_lead(self, lead: AdmissionLead) -> None:
        self._lead = lead

    def _admission_requests(
        self, results: ProbeResults
    ) -> list[AdmissionRequest]:
        """Returns admission requests for the cheapest healthy engines."""
        sound = [row for row in results.candidates if row.sound]
        sound.sort(key=lambda row: row.cost)
        return [
            self._placer.admission_request(self._call, row.endpoint, results)
            for row in sound[:_MAX_ADMISSION_QUEUES]
        ]

    @property
    def state(self) -> CallState:
        """The progress of the newest attempt, of those in progress if any."""
        if not self._attempts:
            return CallState(Phase.UNPLACED, 0.0)
        running = [one for one in self._attempts if one.done is not None]
        newest = (running or self._attempts)[-1]
        return newest.state(self._clock())

    @property
    def has_sent(self) -> bool:
        """Whether an attempt was made, so that the request may have run."""
        return bool(self._attempts)

    async def mark_not_run(self) -> None:
        """Does nothing: attempts over HTTP have no claim."""

    def deliver_withheld(self) -> bool:
        """Forwards a withheld failure; returns false if there is none."""
        withheld, self._withheld = self._withheld, None
        if withheld is None or self._sink.opened or withheld.answer is None:
            return False
        answer = withheld.answer
        self._sink.head(answer.status, answer.reason, answer.passed)
        self._sink.data(withheld.withheld)
        self._sink.complete()
        return True

    def _withheld_answer(self) -> Served | None:
        if not self.deliver_withheld():
            return None
        return Served(None, 0, 0.0)

    def _log_placed(self, placed: Placed) -> None:
        to = placed.dispatch
        prompt = self._call.prompt
        if prompt is not None:
            tokens = self._metrics.tokens
            tokens.add(placed.unread_tokens, {"source": "read"})
            tokens.add(
                prompt.input_tokens - placed.unread_tokens, {"source": "kept"}
            )
            self._metrics.parts.add(sum(map(bool, to.fetch)), _FETCHED)
            self._metrics.parts.add(sum(map(bool, to.save)), _SAVED)
        self._log.emit(
            Event.PLACED,
            route=self._call.route.name,
            team=self._call.team,
            endpoint=to.endpoint,
            weights=to.weights,
            priority=to.priority,
            unread=placed.unread_tokens,
            waited_s=round(self._waited_s, 3),
            **self._lead_fields(),
            room=placed.room,
            pace=round(placed.peer.load.measured_rate)
            if placed.peer.load
            else 0,
            fetched=sum(map(bool, to.fetch)),
            saved=sum(map(bool, to.save)),
            salt=to.cache_namespace,
            parts=_named_sources(prompt, to),
            after_event=to.resume_after,
            software=placed.peer.listed.software,
            resumes=self._call.resumes,
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
            framing=outcome.framing.value if outcome.framing else "",
            in_event=outcome.in_event,
            given_up=outcome.given_up.value if outcome.given_up else "",
            **explain(outcome.ended.failure),
        )

    async def _run(self, placed: Placed, progress: Progress) -> Ended | None:
        """Makes an attempt, and others beside it while it is overdue.

        Returns:
          how they ended, None if the caller received the whole answer.
        """
        race = AttemptRace(self._on_attempt_end)
        hedging = Hedging(
            race,
            partial(self._place_hedge, progress),
            lambda hedge: self._send(hedge, progress, race, hedging.on_overdue),
            self._clock,
        )
        self._send(placed, progress, race, hedging.on_overdue)
        try:
            return await race.done
        finally:
            hedging.stop()

    async def _place_hedge(
        self, progress: Progress, overdue: HttpAttempt
    ) -> Placed | None:
        """Returns where an overdue attempt is made again beside it.

        Returns:
          None if it is not, for now.
        """
        placed = await self._place_spare(progress, overdue.dispatch.endpoint)
        if placed is None:
            return None
        self._log.emit(
            Event.HEDGED,
            endpoint=overdue.dispatch.endpoint,
            silent_s=round(self._clock() - overdue.last_contact_at, 3),
        )
        self._log_placed(placed)
        return placed

    async def _place_spare(
        self, progress: Progress, avoided: EndpointId
    ) -> Placed | None:
        """Returns where the request goes beside or behind a sound attempt.

        Returns:
          None if nowhere, for now.
        """
        if not self._may_hedge():
            return None
        self._avoid.add(avoided)
        self._searches += 1
        count = _HEDGE_SHORTLIST_SIZE * 2**self._searches
        if not self._placer.has_sound(self._call, self._avoid, count):
            return None
        results = await self._prober.probe(self._call, self._avoid)
        placed = self._placer.place_hedge(self._call, progress, results)
        if placed is None or not self._may_hedge():
            return None
        self._count_retry()
        return placed

    def _unproven_source(self, progress: Progress) -> EndpointId | None:
        """Returns the endpoint of a stream's end that only a close has told.

        Returns:
          None also if no other endpoint can go on with the stream.
        """
        end = self._answer_end
        is_proved = end.framing is not Framing.CLOSE
        if is_proved or not self._is_resumable or not progress.seq:
            return None
        return end.endpoint

    async def _place_confirmation(
        self, progress: Progress, source: EndpointId
    ) -> Placed | None:
        """Returns where to ask whether a stream goes on, None if nowhere.

        Half of the retry budget is kept for requests that have no answer.
        """
        budget = self._budget
        if budget.left(self._call.service) < max(1.0, budget.limit / 2):
            return None
        if self._may_hedge():
            spare = await self._place_spare(progress, source)
            return spare or await self._place_unhealthy(progress)
        return await self._place_again(progress, source)

    async def _place_unhealthy(self, progress: Progress) -> Placed | None:
        """Returns an endpoint that responds, though many requests fail there.

        What it adds proves an end false as well as any other's.
        """
        results = await self._prober.probe(self._call, self._avoid)
        if not results.candidates or not self._may_hedge():
            return None
        placed = self._placer.place(self._call, progress, self._avoid, results)
        if isinstance(placed, Failure) or placed.peer.unresponsive:
            return None
        if placed.dispatch.endpoint in self._avoid:
            return None
        self._count_retry()
        return placed

    async def _place_again(
        self, progress: Progress, source: EndpointId
    ) -> Placed | None:
        """Returns an endpoint that the request was sent to before.

        A call may reach no more endpoints than its route allows, so the one
        whose end has proved false is asked about the other's.
        """
        tried = {row.dispatch.endpoint for row in self._attempts} - {source}
        if not tried or self._sent_count >= self._call.attempts + _MAX_ASKED:
            return None
        if self._quarantine.refusal(self._call.identity) is not None:
            return None
        results = await self._prober.probe(self._call, self._avoid - tried)
        rows = [row for row in results.candidates if row.endpoint in tried]
        results = msgspec.structs.replace(results, candidates=rows)
        placed = self._placer.place_hedge(self._call, progress, results)
        if placed is not None:
            self._count_retry()
        return placed

    def _count_retry(self) -> None:
        self._budget.withdraw(self._call.service)
        self._metrics.retries.add(1, {"service": self._call.service})

    async def _ask_for_rest(
        self, placed: Placed, progress: Progress
    ) -> Ended | None:
        """Makes an attempt that ends when it is overdue."""
        self._log_placed(placed)
        race = AttemptRace(self._on_attempt_end)
        self._send(placed, progress, race, lambda attempt: attempt.supersede())
        return await race.done

    def _record_end(
        self, endpoint: EndpointId, seq: int, proof: EndProof
    ) -> None:
        self._metrics.ends_unproven.add(1, {"result": proof.value})
        self._log.emit(
            Event.END_UNPROVEN, endpoint=endpoint, after=seq, result=proof.value
        )

    def _may_hedge(self) -> bool:
        """Whether the request may be sent to one more endpoint."""
        return (
            self._call.kind.idempotent
            and self._sent_count < self._call.attempts
            and self._budget.left(self._call.service) >= 1.0
            and self._quarantine.refusal(self._call.identity) is None
        )

    def _send(
        self,
        placed: Placed,
        progress: Progress,
        race: AttemptRace,
        on_overdue: Callable[[HttpAttempt], None],
    ) -> None:
        peer, dispatch = placed.peer, placed.dispatch
        now = self._clock()
        attempt = HttpAttempt(
            self._call,
            dispatch,
            peer,
            progress,
            self._sink,
            now,
            now + placed.answer_timeout_s,
            AttemptCallbacks(
                on_overdue,
                race.win,
                lambda: self._count_pace_sample(
                    self._placer.record_first_event(self._call, peer)
                ),
                partial(self._record_beginning, peer.listed.software),
                lambda count: self._count_pace_sample(
                    self._placer.record_events(self._call, peer, count)
                ),
                self._confirm_registry,
            ),
        )
        self._attempts.append(attempt)
        self._placer.record_sent(
            self._call, peer, dispatch, placed.unread_tokens, now
        )
        self._active_attempts.add(attempt)
        if race.running_count:
            self._hedges.add(attempt)
        race.add(attempt)
        try:
            attempt.start(self._clock)
        except Exception as exc:
            # The gateway sweeps it until it has ended.
            attempt.fail(exc)

    def _confirm_registry(self, done: Callable[[bool], None]) -> None:
        async def confirm() -> None:
            registry = self._origins.registry
            done(await registry.confirm(self._call.deadline))

        background("registry check", confirm())

    def _on_attempt_end(
        self, attempt: HttpAttempt, outcome: Outcome | None
    ) -> None:
        """Records how an attempt ended.

        Args:
          outcome: None if it was cancelled.
        """
        peer, dispatch = attempt.peer, attempt.dispatch
        self._active_attempts.discard(attempt)
        self._placer.record_ended(self._call, peer)
        if outcome is None:
            peer.health.probing = False
            return
        self._record_outcome(peer, dispatch, outcome)
        self._log_outcome(dispatch, outcome)
        if outcome.ended is None:
            self._answer_end = AnswerEnd(
                dispatch.endpoint, outcome.framing, peer.pool.connection_count
            )
            self._is_resumable = outcome.is_resumable
            return
        if outcome.ended.ending is Ending.UNSENT:
            self._record_unsent(attempt)
        elif not outcome.ended.sent:
            self._unsent += 1
        if outcome.ended.ending in (Ending.UNSENT, Ending.NOT_RUN):
            self._placer.record_not_run(self._call, dispatch)
        self._avoid.add(dispatch.endpoint)
        if outcome.answer is not None and outcome.answer.misdirected:
            self._misdirected.add(dispatch.endpoint)
        else:
            self._misdirected.discard(dispatch.endpoint)
        if outcome.withheld or outcome.ended.ending is Ending.FAILED:
            self._withheld = outcome

    def _count_pace_sample(self, measured: bool) -> None:
        if measured:
            self._metrics.pace_samples.add(1)

    def _record_unsent(self, attempt: HttpAttempt) -> None:
        """Counts an attempt that no endpoint received as not made."""
        self._unsent += 1
        if attempt in self._hedges:
            self._budget.restore(self._call.service)

    def _record_beginning(self, software: SoftwareVersion) -> None:
        """Binds further attempts, and the caller's, to a stream's version."""
        self._origins.record(self._call, software)
        if self._call.software is None:
            self._call = msgspec.structs.replace(self._call, software=software)

    def _served(self, progress: Progress) -> Served:
        self._sink.complete()
        first_at = progress.first_at or self._clock()
        ttft_s = first_at - self._call.arrived
        return Served(None, progress.seq, ttft_s, self._answer_end)

    def _record_outcome(
        self, peer: Peer, dispatch: Dispatch, outcome: Outcome
    ) -> None:
        """Updates the endpoint's health and the quarantine from an outcome."""
        self._record_survival(peer, outcome)
        answer = outcome.answer
        if answer is not None and answer.misdirected:
            peer.health.probing = False
            self._placer.record_misdirected(self._call, peer, dispatch, answer)
        elif answer is not None and answer.not_run:
            peer.health.probing = False
            peer.record_refusal(self._clock())
        elif (
            outcome.end is End.SILENT and peer.last_contact_at > outcome.sent_at
        ):
            peer.health.record_answer(False)
        elif outcome.end is End.UNSENT or outcome.end in _ENDPOINT_AT_FAULT:
            peer.health.record_failure(self._clock())
            peer.unreachable = False
            if outcome.end is End.UNSENT:
                self._placer.record_unreachable(peer)
        elif answer is not None:
            peer.health.record_answer(answer.status < 500)
            if answer.weights and self._call.prompt:
                peer.record_weights(self._call.prompt.model, answer.weights)
        else:
            peer.health.probing = False

    def _record_survival(self, peer: Peer, outcome: Outcome) -> None:
        """Reports to the quarantine whether the endpoint survived the request.

        A lost connection to an endpoint that is leaving does not count: it
        shuts down in order and closes what is left.
        """
        answer = outcome.answer
        if answer is not None and answer.not_run:
            return
        identity, build = self._call.identity, self._engine_build(peer)
        if outcome.end is End.COMPLETE:
            served = answer is not None and answer.status in _SUCCESS
            self._quarantine.record_completion(identity, build, served)
        elif outcome.end in _CONNECTION_LOST and not peer.leaving:
            loss = LostAttempt(
                identity,
                build,
                outcome.begun,
                outcome.sent_at,
                outcome.first_data_at,
                self._clock(),
            )
            self._quarantine.record_loss(peer.start_id, peer.pool, loss)

    def _engine_build(self, peer: Peer) -> EngineBuild:
        prompt = self._call.prompt
        return peer.build(prompt.model) if prompt else EngineBuild("")


def _named_sources(
    prompt: Prompt | None, to: Dispatch
) -> list[tuple[str, int, str]]:
    """Returns name, tokens and source of each shared part, for the log."""
    if prompt is None:
        return []
    rows = zip(prompt.shared, to.sources, strict=True)
    return [
        (part.name[:_LOGGED_CHARS], part.tokens, source)
        for part, source in islice(rows, _LOGGED_PARTS)
    ]
