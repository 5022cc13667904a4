"""Makes a call's attempts at endpoints through their sidecars."""

import msgspec
from twisted.internet.defer import ensureDeferred

from magnolialug.attempt import Attempt
from magnolialug.config.current import Current
from magnolialug.entry.call import PromptCall, Sink
from magnolialug.entry.claims import ClaimResult, ClaimStore
from magnolialug.entry.exchange import Exchange, Start
from magnolialug.entry.fleet import Fleet
from magnolialug.entry.progress import Ended, Progress, Served
from magnolialug.entry.retryloop import ServingContext
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId, new_request_id
from magnolialug.policy.claim import ClaimAction
from magnolialug.policy.placement import Placement
from magnolialug.policy.retry import Ending
from magnolialug.result import Code, Failure, failed
from magnolialug.wire.messages import Done

__all__ = ["SidecarAttemptRunner"]

_NOT_ENDPOINT_FAULTS = (
    Code.WRONG_WEIGHTS,
    Code.SEALED,
    Code.STALE_DISPATCH,
    Code.STALE_INCARNATION,
)


class SidecarAttemptRunner:
    """Places a call at a sidecar; claims a non-idempotent one first."""

    def __init__(
        self,
        context: ServingContext,
        current: Current,
        fleet: Fleet,
        claims: ClaimStore,
        call: PromptCall,
        sink: Sink,
    ):
        self._context = context
        self._current = current
        self._fleet = fleet
        self._claims = claims
        self._call = call
        self._sink = sink
        self._progress = Progress()
        self._avoid: set[EndpointId] = set()
        self._attempts_made = 0
        self._claim_result: ClaimResult | None = None

    async def attempt(self, progress: Progress) -> Served | Ended | Failure:
        """Places and makes one attempt."""
        self._progress = progress
        end = await self._attempt()
        if isinstance(end, Done | str):
            return await self._served(end)
        if isinstance(end, Ended):
            self._use_current_weights(end)
        return end

    @property
    def has_sent(self) -> bool:
        """Whether an attempt was made, so that the call may have run."""
        return bool(self._attempts_made)

    async def mark_not_run(self) -> None:
        """Marks the claim of a call as not run."""
        if self._claim_result:
            await self._claims.mark_not_run(self._call, self._claim_result)

    def _use_current_weights(self, end: Ended) -> None:
        """Switches the call to the current version of the weights.

        The version can change between routing and dispatch; the sidecar then
        refuses the old one as not run. A call whose answer has begun keeps
        its version.
        """
        wrong = end.failure.code is Code.WRONG_WEIGHTS
        if not wrong or self._progress.first_at is not None:
            return
        model = self._current.deployment.models.get(self._call.model)
        if model:
            self._call = msgspec.structs.replace(
                self._call, weights=model.weights
            )

    async def _attempt(self) -> Done | str | Ended | Failure:
        """Makes one attempt; a str is the answer stored in its claim."""
        placed = self._place()
        if isinstance(placed, Failure):
            self._fleet.log_placement(self._call, placed, "")
            return await self._follow_existing_claim(placed)
        endpoint = placed.best.endpoint
        upstream = self._fleet.upstreams[endpoint]
        if not upstream.ready:
            self._avoid.add(endpoint)
            return Ended(Ending.UNSENT, failed(Code.CONNECTION_REFUSED))
        self._attempts_made += 1
        attempt = Attempt(
            self._call.team,
            new_request_id(endpoint, self._context.new_hex()),
            self._attempts_made,
            upstream.incarnation,
            upstream.born(),
        )
        self._fleet.log_placement(self._call, placed, attempt.request_id)
        if self._call.kind.idempotent:
            return await self._exchange(endpoint, attempt, Start.DISPATCH)
        return await self._attempt_claimed(endpoint, attempt)

    def _place(self) -> Placement | Failure:
        wait_s = self._call.deadline - self._context.clock.seconds()
        if self._progress.first_at is not None:
            wait_s = self._call.kind.max_wait_s
        return self._fleet.place(self._call, self._avoid, wait_s)

    async def _exchange(
        self, endpoint: EndpointId, attempt: Attempt, start: Start
    ) -> Done | Ended:
        upstream = self._fleet.upstreams.get(endpoint)
        if upstream is None:
            return Ended(Ending.LOST, failed(Code.OUTCOME_UNKNOWN))
        if self._progress.seq == 0:
            self._sink.set_request_id(attempt.request_id)
        exchange = Exchange(
            self._call,
            attempt,
            upstream,
            self._progress,
            self._sink,
            self._context.clock,
            self._current.deployment.limits.answer_bytes,
        )
        end = await exchange.run(start)
        if isinstance(end, Done):
            self._fleet.record_cache_state(self._call, endpoint, end)
        elif end.failure.code not in _NOT_ENDPOINT_FAULTS:
            self._avoid.add(endpoint)
        return end

    async def _attempt_claimed(
        self, endpoint: EndpointId, attempt: Attempt
    ) -> Done | str | Ended | Failure:
        """Runs a non-idempotent attempt under its claim."""
        claims = self._claims
        mine = claims.new_claim(self._call, endpoint, attempt)
        revision = self._claim_result.revision if self._claim_result else 0
        claim_result = await claims.acquire(self._call, mine, revision)
        while (
            isinstance(claim_result, ClaimResult)
            and claim_result.next is ClaimAction.MOVE
        ):
            claim_result = await claims.acquire(
                self._call, mine, claim_result.revision
            )
        if isinstance(claim_result, Failure):
            return claim_result
        if claim_result.next is ClaimAction.ANSWERED:
            return self._stored_answer(claim_result)
        self._claim_result = claim_result
        following = claim_result.next is ClaimAction.FOLLOW
        made = (
            Event.CLAIM_MOVED if self._attempts_made > 1 else Event.CLAIM_MADE
        )
        emit(
            Event.CLAIM_FOLLOWED if following else made,
            team=self._call.team,
            request=claim_result.claim.attempt.request_id,
        )
        return await self._run_claimed(
            Start.FOLLOW if following else Start.DISPATCH
        )

    async def _follow_existing_claim(
        self, refusal: Failure
    ) -> Done | str | Ended | Failure:
        """Follows an earlier run of the call's key if there is no endpoint.

        A duplicate can arrive while no endpoint accepts new work, for example
        after a restart of the sidecar that ran the first request. Refusing it
        as not run would be wrong, because its key may have run: the caller
        would book again under another key. So the claim is read, and an
        existing claim decides the result.
        """
        if self._call.kind.idempotent or self._claim_result:
            return refusal
        claim_result = await self._claims.lookup(self._call)
        if claim_result is None:
            return refusal
        if isinstance(claim_result, Failure):
            reused = claim_result.code is Code.KEY_REUSED
            return claim_result if reused else refusal
        if claim_result.next is ClaimAction.ANSWERED:
            return self._stored_answer(claim_result)
        self._claim_result = claim_result
        end = await self._run_claimed(Start.FOLLOW)
        unrun = isinstance(end, Ended) and end.ending is Ending.NOT_RUN
        return refusal if unrun else end

    def _stored_answer(self, claim_result: ClaimResult) -> str:
        emit(Event.CLAIM_FOLLOWED, team=self._call.team, answered=True)
        self._sink.set_request_id(claim_result.claim.attempt.request_id)
        return claim_result.claim.answer

    async def _run_claimed(self, start: Start) -> Done | Ended:
        claim_result = self._claim_result
        end = await self._exchange(
            claim_result.claim.endpoint, claim_result.claim.attempt, start
        )
        if isinstance(end, Done):
            answer = "".join(self._progress.text)
            ensureDeferred(
                self._claims.store_answer(self._call, claim_result, answer)
            )
        return end

    async def _served(self, end: Done | str) -> Served:
        now = self._context.clock.seconds()
        if isinstance(end, str):
            await self._sink.write_piece(1, end)
            return Served(None, 1, now - self._call.arrived)
        first_at = self._progress.first_at or now
        ttft_s = first_at - self._call.arrived
        return Served(end, self._progress.seq, ttft_s)
