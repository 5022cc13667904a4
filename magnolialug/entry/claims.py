"""Makes, follows, moves and answers claims in the key-value service."""

from random import Random

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.attempt import Attempt
from magnolialug.entry.call import PromptCall
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.policy.claim import (
    Claim,
    ClaimAction,
    body_digest,
    claim_key,
    decode_claim,
    encode_claim,
    next_action,
)
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import sleep

__all__ = ["Claims", "Held"]

_ANSWER_LIMIT = 64 * 1024
_ANSWER_TRIES = 5
_WRITER_BITS = 96
_DAY_S = 86_400.0
_LEASE_PERIOD_S = 3600.0


class Held(msgspec.Struct, frozen=True):
    """What a look at a claim came to.

    Attributes:
      claim: the claim that is in force.
      revision: its revision in the KV.
    """

    next: ClaimAction
    claim: Claim
    revision: int


class Claims:
    """One entry's claim calls, each with its doubts resolved by reading.

    Claims outlive their writers: their leases are granted for the whole
    retention and never renewed, one lease for all claims of an hour.

    Attributes:
      keep_s: how long a claim stands, in seconds.
    """

    def __init__(
        self,
        kv: Kv,
        clock: IReactorTime,
        random: Random,
        keep_s: float = _DAY_S,
    ):
        self.keep_s = keep_s
        self._kv = kv
        self._clock = clock
        self._random = random
        self._lease = 0
        self._lease_until = 0.0

    def new_claim(
        self, call: PromptCall, endpoint: EndpointId, attempt: Attempt
    ) -> Claim:
        """Returns a claim that no earlier write has made."""
        return Claim(
            writer=f"{self._random.getrandbits(_WRITER_BITS):x}",
            digest=body_digest(call.kind_name, call.body),
            endpoint=endpoint,
            attempt=attempt,
        )

    async def take(
        self, call: PromptCall, mine: Claim, revision: int
    ) -> Held | Failure:
        """Writes a claim, or learns which one stands in its place.

        The KV can apply a write and lose its answer. Taking that for a
        refusal would leave a claim that nobody runs; taking it for success
        could run twice. So an unanswered write is read back and the writer
        compared, until the kind's wait is over.

        Args:
          mine: the claim to write.
          revision: that the key must still be at, 0 for absent.
        """
        key = claim_key(call.team, call.service, call.key)
        backoff = Backoff()
        while True:
            held = await self._try(key, mine, revision)
            if isinstance(held, Held):
                return held
            if held.code is Code.KEY_REUSED:
                return held
            pause = backoff.next(self._random)
            if self._clock.seconds() + pause >= call.deadline:
                return failed(Code.KV_UNAVAILABLE, retry_after_s=1.0)
            emit(Event.CLAIM_UNCERTAIN, team=call.team, why=held.reason)
            await sleep(self._clock, pause)

    async def look(self, call: PromptCall) -> Held | Failure | None:
        """Returns the claim that stands for a call's key, if it may have run.

        Returns:
          None if there is no claim, or one whose attempt is known not to
          have run.
        """
        found = await self._kv.get(claim_key(call.team, call.service, call.key))
        if found is None or isinstance(found, Failure):
            return found
        claim = decode_claim(found.value)
        if claim.digest != body_digest(call.kind_name, call.body):
            return failed(Code.KEY_REUSED, field="Idempotency-Key")
        if claim.answer is not None:
            return Held(ClaimAction.ANSWERED, claim, found.revision)
        if claim.unrun:
            return None
        return Held(ClaimAction.FOLLOW, claim, found.revision)

    async def _try(
        self, key: str, mine: Claim, revision: int
    ) -> Held | Failure:
        lease = await self._lease_now()
        if isinstance(lease, Failure):
            return lease
        swap = await self._kv.put_if(key, encode_claim(mine), revision, lease)
        if not isinstance(swap, Failure) and swap.won:
            return Held(ClaimAction.RUN, mine, swap.revision)
        found = swap if isinstance(swap, Failure) else swap.current
        if isinstance(found, Failure):
            found = await self._kv.get(key)
        if isinstance(found, Failure):
            return found
        return self._held(mine, found, revision)

    def _held(
        self, mine: Claim, found: KvEntry | None, revision: int
    ) -> Held | Failure:
        claim = decode_claim(found.value) if found else None
        step = next_action(mine, claim)
        if isinstance(step, Failure):
            return step
        unwritten = found is not None and found.revision == revision
        if step is ClaimAction.READ_BACK or unwritten:
            return failed(Code.KV_TIMEOUT, "the write has not been applied")
        return Held(step, claim, found.revision)

    async def _lease_now(self) -> int | Failure:
        now = self._clock.seconds()
        if now < self._lease_until:
            return self._lease
        lease = await self._kv.grant(self.keep_s + _LEASE_PERIOD_S)
        if isinstance(lease, Failure):
            return lease
        self._lease = lease
        self._lease_until = now + _LEASE_PERIOD_S
        return lease

    async def answered(self, call: PromptCall, held: Held, answer: str) -> None:
        """Writes the answer beside the claim, as well as that can be done.

        It lets a duplicate have the answer after the sidecar has restarted;
        without it the duplicate hears that the outcome is unknown.
        """
        if len(answer) > _ANSWER_LIMIT:
            return
        await self._rewrite(call, held, answer=answer)

    async def unrun(self, call: PromptCall, held: Held) -> None:
        """Notes that the claimed attempt did not run and never will."""
        await self._rewrite(call, held, unrun=True)

    async def _rewrite(self, call: PromptCall, held: Held, **changes) -> None:
        key = claim_key(call.team, call.service, call.key)
        claim = msgspec.structs.replace(held.claim, **changes)
        backoff = Backoff()
        for _ in range(_ANSWER_TRIES):
            swap = await self._kv.put_if(
                key, encode_claim(claim), held.revision, self._lease
            )
            if not isinstance(swap, Failure):
                return
            await sleep(self._clock, backoff.next(self._random))
