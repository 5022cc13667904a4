"""How far the response to one call has come."""

from collections.abc import Callable

import msgspec

__all__ = ["Progress"]


class Progress(msgspec.Struct):
    """What has arrived of a response; times are the reactor's, in seconds.

    Attributes:
      asked_at: when the call began.
      begun_at: when the response began to arrive, None before.
      heard_at: when the latest bytes of it arrived, None before.
      received: bytes of its body that have arrived.
      whole: whether all of it has arrived.
      on_begin: is called when the response begins to arrive.
    """

    asked_at: float = 0.0
    begun_at: float | None = None
    heard_at: float | None = None
    received: int = 0
    whole: bool = False
    on_begin: Callable[[], None] | None = None

    def begin(self, now: float) -> None:
        """Records that a call begins."""
        self.asked_at = now
        self.begun_at = self.heard_at = None
        self.received = 0
        self.whole = False

    def hear(self, now: float, size: int) -> None:
        """Records that bytes have arrived."""
        begins = self.begun_at is None
        if begins:
            self.begun_at = now
        self.heard_at = now
        self.received += size
        if begins and self.on_begin is not None:
            self.on_begin()

    @property
    def is_arriving(self) -> bool:
        """Whether a part of the response has arrived, and not all of it."""
        return self.begun_at is not None and not self.whole

    @property
    def arrival_s(self) -> float:
        """How long the response has been arriving."""
        return 0.0 if self.begun_at is None else self.heard_at - self.begun_at

    def describe(self, now: float) -> str:
        """Returns what had arrived of a response that did not become whole."""
        waited_s = now - self.asked_at
        if self.begun_at is None:
            return f"nothing in {waited_s:.3f} s"
        silent_s = now - self.heard_at
        return (
            f"{self.received} bytes in {waited_s:.3f} s, "
            f"the last {silent_s:.3f} s ago"
        )
