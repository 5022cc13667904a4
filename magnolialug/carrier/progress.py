"""Progress of the response to one call."""

from collections.abc import Callable

import msgspec

__all__ = ["Progress"]

# Timers fire up to this late; a call that ends then was not kept open.
_TIMER_SLACK_S = 0.01


class Progress(msgspec.Struct):
    """Arrival of one response. Times are the reactor's, in seconds.

    Attributes:
      started_at: when the call began.
      first_byte_at: when the response began to arrive, None before that.
      last_byte_at: when its latest bytes arrived, None before the first.
      received: the number of body bytes that have arrived.
      complete: whether the whole response has arrived.
      extended_s: how long past its own time-out the call was kept open, in
        seconds, since other responses of the peer were arriving.
      on_begin: called when the response begins to arrive.
    """

    started_at: float = 0.0
    first_byte_at: float | None = None
    last_byte_at: float | None = None
    received: int = 0
    complete: bool = False
    extended_s: float = 0.0
    on_begin: Callable[[], None] | None = None

    def begin(self, now: float) -> None:
        """Resets the record at the start of a call."""
        self.started_at = now
        self.first_byte_at = self.last_byte_at = None
        self.received = 0
        self.complete = False
        self.extended_s = 0.0

    def record(self, now: float, size: int) -> None:
        """Records the arrival of `size` body bytes, 0 for the head."""
        is_first = self.first_byte_at is None
        if is_first:
            self.first_byte_at = now
        self.last_byte_at = now
        self.received += size
        if is_first and self.on_begin is not None:
            self.on_begin()

    @property
    def is_arriving(self) -> bool:
        """Whether the response has begun to arrive and is incomplete."""
        return self.first_byte_at is not None and not self.complete

    @property
    def arrival_s(self) -> float:
        """Seconds between the first and the latest bytes of the response."""
        return (
            0.0
            if self.first_byte_at is None
            else self.last_byte_at - self.first_byte_at
        )

    def waited_s(self, now: float) -> float:
        """Returns the seconds until the response began, or until now."""
        began_at = now if self.first_byte_at is None else self.first_byte_at
        return began_at - self.started_at

    def describe(self, now: float) -> str:
        """Returns a text: how much of an incomplete response arrived, when."""
        waited_s = now - self.started_at
        if self.first_byte_at is None:
            text = f"nothing in {waited_s:.3f} s"
        else:
            silent_s = now - self.last_byte_at
            text = (
                f"{self.received} bytes in {waited_s:.3f} s, "
                f"the last {silent_s:.3f} s ago"
            )
        if self.extended_s > _TIMER_SLACK_S:
            text += f", {self.extended_s:.3f} s past its time-out"
        return text
