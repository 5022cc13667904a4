"""Attempts that go to endpoints through their sidecars."""

import msgspec
from twisted.internet.defer import ensureDeferred

from magnolialug.attempt import Attempt
from magnolialug.config.current import Current
from magnolialug.entry.call import PromptCall, Sink
from magnolialug.entry.claims import ClaimResult, ClaimStore
from magnolialug.entry.exchange import Exchange, Start
from magnolialug.entry.fleet import Fleet
from magnolialug.entry.progress import Ended, Progress, Served
from magnolialug.entry.serving import Means
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId, new_request_id
from magnolialug.policy.claim import ClaimNext
from magnolialug.policy.placement import Placement
from magnolialug.policy.retry import Ending
from magnolialug.result import Code, Failure, failed
from magnolialug.wire.messages import Done

__all__ = ["LinkCarrier"]

_SAYS_NOTHING_OF_THE_ENDPOINT = (
    Code.WRONG_WEIGHTS,
    Code.SEALED,
    Code.STALE_DISPATCH,
    Code.STALE_INCARNATION,
)


class LinkCarrier:
    """Places a call at a sidecar; claims it first if it may run only once."""

    def __init__(
        self,
        means: Means,
        current: Current,
        fleet: Fleet,
        claims: ClaimStore,
        call: PromptCall,
        sink: Sink,
    ):
        self._means = means
        self._current = current
        self._fleet = fleet
        self._claims = claims
        self._call = call
        self._sink = sink
        self._progress = Progress()
        self._avoid: set[EndpointId] = set()
        self._number = 0
        self._held: ClaimResult | None = None

    async def attempt(self, progress: Progress) -> Served | Ended | Failure:
        """Places and makes one attempt."""
        self._progress = progress
        end = await self._attempt()
        if isinstance(end, Done | str):
            return await self._whole(end)
        if isinstance(end, Ended):
            self._take_weights_in_force(end)
        return end

    async def unrun(self) -> None:
        """Marks the claim of a call whose attempts did not run."""
        if self._held:
            await self._claims.unrun(self._call, self._held)

    def _take_weights_in_force(self, end: Ended) -> None:
        """Takes the version that new requests must use.

        The version can change between routing and dispatch; the sidecar then
        refuses the old one as not run. An answer that has begun keeps its
        version.
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
        """Makes one attempt; a str is an answer found beside its claim."""
        placed = self._place()
        if isinstance(placed, Failure):
            self._fleet.log(self._call, placed, "")
            return await self._unplaced(placed)
        endpoint = placed.best.endpoint
        upstream = self._fleet.upstreams[endpoint]
        if not upstream.ready:
            self._avoid.add(endpoint)
            return Ended(Ending.UNSENT, failed(Code.CONNECTION_REFUSED))
        self._number += 1
        attempt = Attempt(
            self._call.team,
            new_request_id(endpoint, self._means.new_hex()),
            self._number,
            upstream.incarnation,
            upstream.born(),
        )
        self._fleet.log(self._call, placed, attempt.request_id)
        if self._call.kind.idempotent:
            return await self._exchange(endpoint, attempt, Start.DISPATCH)
        return await self._claimed(endpoint, attempt)

    def _place(self) -> Placement | Failure:
        wait_s = self._call.deadline - self._means.clock.seconds()
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
            self._sink.opened(attempt.request_id)
        exchange = Exchange(
            self._call,
            attempt,
            upstream,
            self._progress,
            self._sink,
            self._means.clock,
        )
        end = await exchange.run(start)
        if isinstance(end, Done):
            self._fleet.learned(self._call, endpoint, end)
        elif end.failure.code not in _SAYS_NOTHING_OF_THE_ENDPOINT:
            self._avoid.add(endpoint)
        return end

    async def _claimed(
        self, endpoint: EndpointId, attempt: Attempt
    ) -> Done | str | Ended | Failure:
        """Runs a non-idempotent attempt under its claim."""
        claims = self._claims
        mine = claims.new_claim(self._call, endpoint, attempt)
        revision = self._held.revision if self._held else 0
        held = await claims.acquire(self._call, mine, revision)
        while isinstance(held, ClaimResult) and held.next is ClaimNext.MOVE:
            held = await claims.acquire(self._call, mine, held.revision)
        if isinstance(held, Failure):
            return held
        if held.next is ClaimNext.ANSWERED:
            return self._found(held)
        self._held = held
        following = held.next is ClaimNext.FOLLOW
        made = Event.CLAIM_MOVED if self._number > 1 else Event.CLAIM_MADE
        emit(
            Event.CLAIM_FOLLOWED if following else made,
            team=self._call.team,
            request=held.claim.attempt.request_id,
        )
        return await self._under_claim(
            Start.FOLLOW if following else Start.DISPATCH
        )

    async def _unplaced(self, refusal: Failure) -> Done | str | Ended | Failure:
        """Looks for an earlier run before "not run" is said of a key.

        A duplicate can come while no endpoint can take new work, as after
        the restart of the sidecar that ran the first request. Refusing it as
        not run, because it has no endpoint, would be wrong of its key: the
        caller would book again under another one. So the claim is read, and
        if one stands its word counts.
        """
        if self._call.kind.idempotent or self._held:
            return refusal
        held = await self._claims.lookup(self._call)
        if held is None:
            return refusal
        if isinstance(held, Failure):
            reused = held.code is Code.KEY_REUSED
            return held if reused else refusal
        if held.next is ClaimNext.ANSWERED:
            return self._found(held)
        self._held = held
        end = await self._under_claim(Start.FOLLOW)
        unrun = isinstance(end, Ended) and end.ending is Ending.NOT_RUN
        return refusal if unrun else end

    def _found(self, held: ClaimResult) -> str:
        emit(Event.CLAIM_FOLLOWED, team=self._call.team, answered=True)
        self._sink.opened(held.claim.attempt.request_id)
        return held.claim.answer

    async def _under_claim(self, start: Start) -> Done | Ended:
        held = self._held
        end = await self._exchange(
            held.claim.endpoint, held.claim.attempt, start
        )
        if isinstance(end, Done):
            answer = "".join(self._progress.text)
            ensureDeferred(self._claims.answered(self._call, held, answer))
        return end

    async def _whole(self, end: Done | str) -> Served:
        now = self._means.clock.seconds()
        if isinstance(end, str):
            await self._sink.piece(1, end)
            return Served(None, 1, now - self._call.arrived)
        first_at = self._progress.first_at or now
        ttft_s = first_at - self._call.arrived
        return Served(end, self._progress.seq, ttft_s)
