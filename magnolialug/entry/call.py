"""One caller's request, and where its answer goes."""

from typing import Protocol

import msgspec

from magnolialug.config.deployment import Kind
from magnolialug.ids import KindName, RequestId, ServiceName, TeamId

__all__ = ["Call", "PromptCall", "Sink"]

# Completions go to as many endpoints as the wait and the budget allow.
_ANY_NUMBER = 1000


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A checked request, as retries and placement see it.

    Attributes:
      name: the caller's own id of it, for logs.
      root: the placement key of the prompt.
      deadline: when it stops being of use, on the entry's clock.
      attempts: the most endpoints that it may be sent to.
    """

    team: TeamId
    service: ServiceName
    kind_name: KindName
    kind: Kind
    root: str
    deadline: float
    arrived: float
    name: str = ""
    attempts: int = _ANY_NUMBER


class PromptCall(Call, frozen=True, kw_only=True):
    """A request of the completions API.

    Attributes:
      body: prompt text for a model, JSON text for a plain service.
      key: its idempotency key, "" if none.
      params: sampling options as JSON, passed to the engine.
    """

    model: str
    weights: str
    body: str
    max_tokens: int
    key: str
    params: str = "{}"


class Sink(Protocol):
    """Takes an answer on its way to the caller."""

    gone: bool

    def opened(self, request_id: RequestId) -> None:
        """Learns the id under which the answer can be asked for."""

    async def piece(self, seq: int, text: str) -> None:
        """Takes one piece; returns when the caller has room for more."""
