"""How far a call has come, for the log lines of those that end early."""

import enum

import msgspec

__all__ = ["CallState", "Phase"]


class Phase(enum.Enum):
    """What a call waits for.

    UNPLACED: an endpoint.
    READING: the first piece of its answer; its prompt is queued or read.
    WRITING: the rest of its answer.
    """

    UNPLACED = "unplaced"
    READING = "reading"
    WRITING = "writing"


class CallState(msgspec.Struct, frozen=True):
    """How far a call has come.

    Attributes:
      silent_s: time since the endpoint's last byte, or since it was asked.
    """

    phase: Phase
    silent_s: float
