"""The body of a caller's request while it is read, bounded in size."""

from typing import Protocol

from magnolialug.entry.callermemory import CallerMemory
from magnolialug.entry.requestbody import RequestBody
from magnolialug.policy.memorybudget import Charge
from magnolialug.result import Code, Failure, failed

__all__ = ["BodyChannel", "BoundedBody"]

# Bodies whose length nobody tells are counted in such steps.
_RESERVE_STEP_BYTES = 64 * 1024


class BodyChannel(Protocol):
    """The connection on which a body arrives."""

    memory: CallerMemory

    def body_limit(self) -> int:
        """Returns the maximum size of a body in bytes."""

    def reserve_body(self, size: int) -> bool:
        """Counts a body before it arrives; refuses it if there is no room."""

    def refuse(self, failure: Failure) -> None:
        """Refuses the request that is read."""


class BoundedBody:
    """Buffers a request's body in memory, up to the channel's `body_limit`.

    Attributes:
      received: the body as far as it has arrived, None before its head.
      charge: what is held for it.
      head_bytes: what its head costs.
      reserved: how long a body there is room for.
      pieces: in how many pieces it has come.
    """

    refused = False
    received: RequestBody | None = None
    head_bytes = 0
    reserved = 0
    pieces = 0

    def __init__(self, channel: BodyChannel, *args, **kwargs):
        super().__init__(channel, *args, **kwargs)
        self.charge = Charge()
        self._budget = channel.memory.budget

    def gotLength(self, length: int | None) -> None:
        """Starts buffering a body."""
        self.received = RequestBody()
        if length:
            self._check_size(length)
        if not self.refused:
            self.channel.reserve_body(length or 0)

    def handleContentChunk(self, data: bytes) -> None:
        """Adds a part of the body."""
        self.pieces += 1
        size = self.received.size + len(data)
        self._check_size(size)
        if not self.refused and size > self.reserved:
            self.channel.reserve_body(size + _RESERVE_STEP_BYTES)
        if not self.refused:
            self.received.append(data)

    def refuse(self, failure: Failure) -> None:
        """Refuses the request; its further input is discarded."""
        self.channel.refuse(failure)

    def release(self) -> None:
        """Lets go of the body, once nobody needs it any longer."""
        if self.received is not None:
            self.received.release()
        self._budget.release(self.charge)

    def _check_size(self, size: int) -> None:
        if not self.refused and size > self.channel.body_limit():
            self.refuse(failed(Code.BODY_TOO_LARGE, field="(body)", value=size))
