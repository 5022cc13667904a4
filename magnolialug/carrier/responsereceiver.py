"""Interface of response receivers, and the ways an exchange can end."""

import enum
from typing import Protocol

from magnolialug.carrier.reader import Head

__all__ = ["End", "ResponseReceiver"]


class End(enum.Enum):
    """How an exchange ended.

    Only UNSENT proves that the endpoint received nothing.
    """

    COMPLETE = "whole"
    UNSENT = "unsent"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "garbage"
    SILENT = "silent"
    DROPPED = "dropped"


class ResponseReceiver(Protocol):
    """Receives one response as it arrives, in calls from the reactor."""

    def on_head(self, head: Head) -> None:
        """Receives the status line and headers."""

    def on_data(self, data: bytes) -> None:
        """Receives a piece of the body."""

    def on_end(self, end: End) -> None:
        """Called once, as the last call, with how the exchange ended."""
