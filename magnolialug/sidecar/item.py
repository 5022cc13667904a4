"""A dispatch that waits for a slot."""

import msgspec

from magnolialug.attempt import Attempt
from magnolialug.config.deployment import Kind
from magnolialug.ids import BlockId
from magnolialug.policy.memorybudget import Charge
from magnolialug.sidecar.answer import Answer
from magnolialug.sidecar.mover import Moved
from magnolialug.wire.messages import Dispatch

__all__ = ["Item"]


class Item(msgspec.Struct, eq=False):
    """One admitted attempt.

    Attributes:
      arrived: the sidecar's clock when it came, in seconds.
      tokens: its prompt's length.
      salt: hex seed of its block chain.
      chain: its cache blocks.
      held: how many of them the engine has, imported ones included.
      moved: what was imported for it.
      charge: what is held for it.
    """

    dispatch: Dispatch
    kind: Kind
    answer: Answer
    arrived: float
    tokens: int
    salt: str = ""
    chain: list[BlockId] = []
    held: int = 0
    moved: Moved = msgspec.field(default_factory=Moved)
    charge: Charge = msgspec.field(default_factory=Charge)

    @property
    def attempt(self) -> Attempt:
        """The attempt."""
        return self.dispatch.attempt

    @property
    def deadline(self) -> float:
        """When its first word must have come, on the sidecar's clock."""
        return self.arrived + self.dispatch.wait_s
