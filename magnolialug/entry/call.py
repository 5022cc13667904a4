"""A caller's request, and the sink of its answer."""

from typing import Protocol

import msgspec

from magnolialug.config.deployment import Kind
from magnolialug.ids import KindName, RequestId, ServiceName, TeamId

__all__ = ["Call", "PromptCall", "Sink"]

# Completions are retried as often as the deadline and retry budget allow.
_UNLIMITED_ATTEMPTS = 1000


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request, as used by retries and placement.

    Attributes:
      name: the caller's own id of the request, for logs.
      root: the placement key of the prompt.
      deadline: when its answer stops being useful, on the entry's clock.
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
    attempts: int = _UNLIMITED_ATTEMPTS


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
    """Writes an answer to the caller."""

    gone: bool

    def set_request_id(self, request_id: RequestId) -> None:
        """Sets the id by which the answer can be requested again."""

    async def write_piece(self, seq: int, text: str) -> None:
        """Writes one piece; returns when the caller can receive more."""
