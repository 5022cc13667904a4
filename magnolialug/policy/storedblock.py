"""Metadata of a cache block in a store."""

import enum

import msgspec

from magnolialug.ids import BlockId

__all__ = ["BlockMeta", "StoredBlock", "Tier"]


class Tier(enum.Enum):
    """The storage tier of a block in a store."""

    MEMORY = "memory"
    DISK = "disk"


class BlockMeta(msgspec.Struct, frozen=True):
    """The writer's data on the value of a block, stored with the block.

    Attributes:
      kind: team and kind, by which return intervals are counted.
      root: the root of the prompt that the block belongs to.
      weights: the model and weight version that computed the block.
      work_s: time to recompute it, in seconds.
      used_at: wall-clock time of its last use, in seconds.
      visits: how often the prompt was requested.
      chance: the chance of a return within the planning horizon when the
        block was written.
    """

    kind: str = ""
    root: str = ""
    weights: str = ""
    work_s: float = 0.0
    used_at: float = 0.0
    visits: int = 0
    chance: float = 0.0


class StoredBlock(msgspec.Struct, frozen=True):
    """A complete block; two blocks with the same id differ in generation."""

    block: BlockId
    generation: int
    length: int
    digest: str
    tier: Tier
    meta: BlockMeta
