"""What this system asks of a store VM."""

from typing import Protocol

from magnolialug.ids import BlockId
from magnolialug.policy.storedblock import BlockMeta, StoredBlock, Tier
from magnolialug.result import Failure

__all__ = ["Store"]


class Store(Protocol):
    """A store VM with memory and disk."""

    async def lookup(
        self, ids: list[BlockId]
    ) -> dict[BlockId, StoredBlock] | Failure:
        """Returns the sealed blocks among the ids."""

    async def read(self, stored: StoredBlock) -> bytes | Failure:
        """Returns the bytes of that very generation."""

    async def stage(
        self, block: BlockId, data: bytes, tier: Tier
    ) -> int | Failure:
        """Writes bytes that nobody can read yet; returns the generation."""

    async def seal(
        self,
        block: BlockId,
        generation: int,
        length: int,
        digest: str,
        meta: BlockMeta,
    ) -> None | Failure:
        """Makes a staged block readable if length and digest agree."""

    async def sample(
        self, tier: Tier, count: int
    ) -> list[StoredBlock] | Failure:
        """Returns some sealed blocks, drawn at random."""

    async def move(self, stored: StoredBlock, tier: Tier) -> None | Failure:
        """Moves that very generation to another tier inside the store."""

    async def remove(self, block: BlockId, generation: int) -> None | Failure:
        """Frees that very generation once nobody reads it."""
