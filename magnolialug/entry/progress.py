"""What a caller has had so far, and how attempts and calls end."""

import msgspec

from magnolialug.policy.retry import Ending
from magnolialug.result import Failure
from magnolialug.wire.messages import Done

__all__ = ["Ended", "Progress", "Served"]


class Progress(msgspec.Struct):
    """What the caller has had so far, over all attempts.

    Attributes:
      seq: the last piece or event that was delivered.
      text: the pieces, where an attempt may need them to go on.
      first_at: when the first one was delivered.
    """

    seq: int = 0
    text: list[str] = msgspec.field(default_factory=list)
    first_at: float | None = None


class Ended(msgspec.Struct, frozen=True):
    """How an attempt ended without a whole answer."""

    ending: Ending
    failure: Failure


class Served(msgspec.Struct, frozen=True):
    """A whole answer: what was delivered and what it took.

    Attributes:
      done: the sidecar's word, None for an answer that has none.
    """

    done: Done | None
    pieces: int
    ttft_s: float
