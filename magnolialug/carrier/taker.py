"""Who takes a response, and how an exchange can end."""

import enum
from typing import Protocol

from magnolialug.carrier.reader import Head

__all__ = ["End", "Taker"]


class End(enum.Enum):
    """How the bytes of one exchange ended.

    UNSENT is the only one that proves that the endpoint saw nothing.
    """

    WHOLE = "whole"
    UNSENT = "unsent"
    RESET = "reset"
    CLOSED = "closed"
    GARBAGE = "garbage"
    SILENT = "silent"
    DROPPED = "dropped"


class Taker(Protocol):
    """Takes one response as it arrives; calls come from the reactor."""

    def on_head(self, head: Head) -> None:
        """Takes the status line and headers."""

    def on_data(self, data: bytes) -> None:
        """Takes a piece of the body."""

    def on_end(self, end: End) -> None:
        """Learns how the exchange ended; nothing follows."""
