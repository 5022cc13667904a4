"""Reads and writes idempotency claims in the key-value service."""

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

__all__ = ["ClaimResult", "ClaimStore"]

_MAX_ANSWER_CHARS = 64 * 1024
_REWRITE_ATTEMPTS = 5
_WRITER_BITS = 96
_DEFAULT_RETENTION_S = 86_400.0
_LEASE_PERIOD_S = 3600.0


class ClaimResult(msgspec.Struct, frozen=True):
    """The result of reading or writing a claim.

    Attributes:
      next: what the entry does next.
      claim: the claim that is stored.
      revision: its revision in the key-value service.
    """

    next: ClaimAction
    claim: Claim
    revision: int


class ClaimStore:
    """Reads and writes claims for one entry.

    A write whose outcome is unknown is resolved by reading the key back.
    Claims must outlive the entry that wrote them. Their leases are therefore
    granted for the whole retention time and never renewed; the claims of one
    hour share a lease.

    Attributes:
      retention_s: how long a claim is kept, in seconds.
    """

    def __init__(
        self,
        kv: Kv,
        clock: IReactorTime,
        random: Random,
        retention_s: float = _DEFAULT_RETENTION_S,
    ):
        self.retention_s = retention_s
        self._kv = kv
        self._clock = clock
        self._random = random
        self._lease = 0
        self._lease_until = 0.0

    def new_claim(
        self, call: PromptCall, endpoint: EndpointId, attempt: Attempt
    ) -> Claim:
        """Returns a claim with a new random writer id."""
        return Claim(
            writer=f"{self._random.getrandbits(_WRITER_BITS):x}",
            digest=body_digest(call.kind_name, call.body),
            endpoint=endpoint,
            attempt=attempt,
        )

    async def acquire(
        self, call: PromptCall, own_claim: Claim, revision: int
    ) -> ClaimResult | Failure:
        """Writes a claim, or returns the one that is stored instead.

        The key-value service can apply a write and lose its reply. If that
        counted as a refusal, the stored claim would never be run; if it
        counted as success, the request could run twice. After a write
        without a reply the key is therefore read back and the writer ids
        are compared, until the call's deadline.

        Args:
          own_claim: the claim to write.
          revision: the revision that the key must still have, 0 if absent.

        Returns:
          the claim that is stored, or KEY_REUSED if it belongs to another
          body, or KV_UNAVAILABLE at the deadline.
        """
        key = claim_key(call.team, call.service, call.key)
        backoff = Backoff()
        while True:
            result = await self._try_write(key, own_claim, revision)
            if isinstance(result, ClaimResult):
                return result
            if result.code is Code.KEY_REUSED:
                return result
            pause = backoff.next(self._random)
            if self._clock.seconds() + pause >= call.deadline:
                return failed(Code.KV_UNAVAILABLE, retry_after_s=1.0)
            emit(Event.CLAIM_UNCERTAIN, team=call.team, why=result.reason)
            await sleep(self._clock, pause)

    async def lookup(self, call: PromptCall) -> ClaimResult | Failure | None:
        """Returns the claim stored for a call's key if it may have run.

        Returns:
          None if no claim is stored, or if its attempt is known not to have
          run.
        """
        found = await self._kv.get(claim_key(call.team, call.service, call.key))
        if found is None or isinstance(found, Failure):
            return found
        claim = decode_claim(found.value)
        if claim.digest != body_digest(call.kind_name, call.body):
            return failed(Code.KEY_REUSED, field="Idempotency-Key")
        if claim.answer is not None:
            return ClaimResult(ClaimAction.ANSWERED, claim, found.revision)
        if claim.unrun:
            return None
        return ClaimResult(ClaimAction.FOLLOW, claim, found.revision)

    async def _try_write(
        self, key: str, own_claim: Claim, revision: int
    ) -> ClaimResult | Failure:
        lease = await self._current_lease()
        if isinstance(lease, Failure):
            return lease
        swap = await self._kv.put_if(
            key, encode_claim(own_claim), revision, lease
        )
        if not isinstance(swap, Failure) and swap.won:
            return ClaimResult(ClaimAction.RUN, own_claim, swap.revision)
        found = swap if isinstance(swap, Failure) else swap.current
        if isinstance(found, Failure):
            found = await self._kv.get(key)
        if isinstance(found, Failure):
            return found
        return self._resolve(own_claim, found, revision)

    def _resolve(
        self, own_claim: Claim, found: KvEntry | None, revision: int
    ) -> ClaimResult | Failure:
        claim = decode_claim(found.value) if found else None
        step = next_action(own_claim, claim)
        if isinstance(step, Failure):
            return step
        unwritten = found is not None and found.revision == revision
        if step is ClaimAction.READ_BACK or unwritten:
            return failed(Code.KV_TIMEOUT, "the write has not been applied")
        return ClaimResult(step, claim, found.revision)

    async def _current_lease(self) -> int | Failure:
        now = self._clock.seconds()
        if now < self._lease_until:
            return self._lease
        lease = await self._kv.grant(self.retention_s + _LEASE_PERIOD_S)
        if isinstance(lease, Failure):
            return lease
        self._lease = lease
        self._lease_until = now + _LEASE_PERIOD_S
        return lease

    async def store_answer(
        self, call: PromptCall, result: ClaimResult, answer: str
    ) -> None:
        """Stores the answer with its claim, on a best-effort basis.

        With it a duplicate gets the answer even after the sidecar has
        restarted; without it the duplicate gets an unknown outcome.
        """
        if len(answer) > _MAX_ANSWER_CHARS:
            return
        await self._rewrite(call, result, answer=answer)

    async def mark_not_run(self, call: PromptCall, result: ClaimResult) -> None:
        """Stores that the claimed attempt did not run and never will."""
        await self._rewrite(call, result, unrun=True)

    async def _rewrite(
        self, call: PromptCall, result: ClaimResult, **changes
    ) -> None:
        key = claim_key(call.team, call.service, call.key)
        claim = msgspec.structs.replace(result.claim, **changes)
        backoff = Backoff()
        for _ in range(_REWRITE_ATTEMPTS):
            swap = await self._kv.put_if(
                key, encode_claim(claim), result.revision, self._lease
            )
            if not isinstance(swap, Failure):
                return
            await sleep(self._clock, backoff.next(self._random))
