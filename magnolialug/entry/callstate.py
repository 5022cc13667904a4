"""Progress of a call, for the log lines of calls that end early."""

import enum

import msgspec

__all__ = ["CallState", "Phase"]


class Phase(enum.Enum):
    """What a call waits for.

    UNPLACED: an endpoint.
    READING: the first piece of its answer; its prompt is queued or being read.
    WRITING: the rest of its answer.
    """

    UNPLACED = "unplaced"
    READING = "reading"
    WRITING = "writing"


class CallState(msgspec.Struct, frozen=True):
    """The progress of a call.

    Attributes:
      silent_s: time since the endpoint's last byte, or since the request was
        sent.
    """

    phase: Phase
    silent_s: float
