"""A store VM over HTTP."""

import msgspec

from magnolialug.ids import BlockId
from magnolialug.jsoninput import Count, decode_json
from magnolialug.platform.http import HttpClient, Reply
from magnolialug.policy.storedblock import BlockMeta, StoredBlock, Tier
from magnolialug.result import Code, Failure, failed

__all__ = ["StoreHttp"]

_STATUS = {
    404: Code.BLOCK_MISSING,
    422: Code.BLOCK_DAMAGED,
    507: Code.STORE_FULL,
}


class _Staged(msgspec.Struct):
    """The answer to a staged block."""

    generation: Count


class StoreHttp:
    """Implements Store over HTTP."""

    def __init__(self, http: HttpClient, base: str, timeout_s: float = 10.0):
        self._http = http
        self._base = base.rstrip("/")
        self._timeout_s = timeout_s

    async def lookup(
        self, ids: list[BlockId]
    ) -> dict[BlockId, StoredBlock] | Failure:
        """Returns the sealed blocks among the ids."""
        reply = await self._ask("POST", "lookup", {"ids": ids})
        if isinstance(reply, Failure):
            return reply
        found = self._read(reply, list[StoredBlock])
        if isinstance(found, Failure):
            return found
        return {stored.block: stored for stored in found}

    async def read(self, stored: StoredBlock) -> bytes | Failure:
        """Returns the bytes of that very generation."""
        path = f"blocks/{stored.block}?generation={stored.generation}"
        reply = await self._ask("GET", path)
        return reply if isinstance(reply, Failure) else reply.body

    async def stage(
        self, block: BlockId, data: bytes, tier: Tier
    ) -> int | Failure:
        """Writes bytes that nobody can read yet; returns the generation."""
        path = f"blocks/{block}?tier={tier.value}"
        reply = await self._ask("PUT", path, data)
        if isinstance(reply, Failure):
            return reply
        staged = self._read(reply, _Staged)
        return staged if isinstance(staged, Failure) else staged.generation

    async def seal(
        self,
        block: BlockId,
        generation: int,
        length: int,
        digest: str,
        meta: BlockMeta,
    ) -> None | Failure:
        """Makes a staged block readable if length and digest agree."""
        body = {
            "generation": generation,
            "length": length,
            "digest": digest,
            "meta": msgspec.to_builtins(meta),
        }
        reply = await self._ask("POST", f"blocks/{block}/seal", body)
        return reply if isinstance(reply, Failure) else None

    async def sample(
        self, tier: Tier, count: int
    ) -> list[StoredBlock] | Failure:
        """Returns some sealed blocks, drawn at random."""
        reply = await self._ask(
            "GET", f"sample?tier={tier.value}&count={count}"
        )
        if isinstance(reply, Failure):
            return reply
        return self._read(reply, list[StoredBlock])

    async def move(self, stored: StoredBlock, tier: Tier) -> None | Failure:
        """Moves that very generation to another tier inside the store."""
        body = {"generation": stored.generation, "tier": tier.value}
        reply = await self._ask("POST", f"blocks/{stored.block}/move", body)
        return reply if isinstance(reply, Failure) else None

    async def remove(self, block: BlockId, generation: int) -> None | Failure:
        """Frees that very generation once nobody reads it."""
        path = f"blocks/{block}?generation={generation}"
        reply = await self._ask("DELETE", path)
        return reply if isinstance(reply, Failure) else None

    def _read(self, reply: Reply, form: type):
        return decode_json(reply.body, form, Code.STORE_UNAVAILABLE, self._base)

    async def _ask(self, method: str, path: str, body=b"") -> Reply | Failure:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        reply = await self._http.ask(
            method, f"{self._base}/{path}", data, timeout_s=self._timeout_s
        )
        if isinstance(reply, Failure):
            return failed(Code.STORE_UNAVAILABLE, reply.reason, self._base)
        if reply.status >= 300:
            code = _STATUS.get(reply.status, Code.STORE_UNAVAILABLE)
            return failed(code, f"status {reply.status}", path)
        return reply
