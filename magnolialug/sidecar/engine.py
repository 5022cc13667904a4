"""What this system asks of an endpoint: a model engine or plain service."""

from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from magnolialug.ids import BlockId
from magnolialug.result import Failure

__all__ = ["Engine", "EngineJob", "Order", "Run", "Usage"]


_MAX_ANSWER_BYTES = 1_000_000


class EngineJob(msgspec.Struct, frozen=True):
    """One run at an endpoint.

    Attributes:
      kind: the kind, by which a plain service is called.
      body: prompt text for a model, JSON text for a plain service.
      salt: hex seed of the prompt's block chain.
      resume_after: pieces of the answer that were delivered before.
      resume_text: those pieces.
      params: sampling options as JSON.
      max_bytes: the longest answer.
    """

    kind: str
    model: str
    weights: str
    body: str
    salt: str
    max_tokens: int
    priority: int
    resume_after: int = 0
    resume_text: str = ""
    params: str = "{}"
    max_bytes: int = _MAX_ANSWER_BYTES


class Usage(msgspec.Struct, frozen=True):
    """What a run used; cached tokens were not recomputed."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    finish: str = "stop"


class Order(msgspec.Struct, frozen=True):
    """An order to load weights, with the fence number that guards it."""

    model: str
    weights: str
    fence: int


class Run(Protocol):
    """A run in progress.

    Attributes:
      done: fires with the usage or a failure; never errs.
    """

    done: Deferred[Usage | Failure]

    def pause(self) -> None:
        """Stops taking pieces from the endpoint."""

    def resume(self) -> None:
        """Takes pieces again."""

    def cancel(self) -> None:
        """Ends the run at the endpoint."""


class Engine(Protocol):
    """An endpoint as its sidecar uses it."""

    def start(self, job: EngineJob, on_piece: Callable[[str], None]) -> Run:
        """Starts a run; on_piece gets the answer's text piece by piece."""

    async def held(self, ids: list[BlockId]) -> int | Failure:
        """Returns how many of the first ids are in the engine's cache."""

    async def export_block(self, block: BlockId) -> bytes | Failure:
        """Returns a cached block's bytes."""

    async def import_block(self, block: BlockId, data: bytes) -> None | Failure:
        """Puts a block into the engine's cache."""

    async def order(self, order: Order) -> None | Failure:
        """Gives an order; some engines refuse an old fence number."""
