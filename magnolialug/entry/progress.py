"""Delivered output of a call, and the results of attempts and calls."""

import msgspec

from magnolialug.carrier.reader import Framing
from magnolialug.ids import EndpointId
from magnolialug.policy.retry import Ending
from magnolialug.result import Failure
from magnolialug.wire.messages import Done

__all__ = ["AnswerEnd", "Ended", "Progress", "Served"]


class Progress(msgspec.Struct):
    """The output delivered to the caller so far, over all attempts.

    Attributes:
      seq: the number of the last delivered piece or event.
      text: the delivered pieces, kept where an attempt may need them to resume.
      chars: their length.
      first_at: when the first piece was delivered, None before that.
    """

    seq: int = 0
    text: list[str] = msgspec.field(default_factory=list)
    chars: int = 0
    first_at: float | None = None


class Ended(msgspec.Struct, frozen=True):
    """The result of attempts that ended without a complete answer.

    Attributes:
      sent: the number of endpoints that the request was sent to, without those
        at whose address another start has answered.
    """

    ending: Ending
    failure: Failure
    sent: int = 1


class AnswerEnd(msgspec.Struct, frozen=True):
    """How a complete answer of an endpoint has ended.

    Attributes:
      framing: what told its end.
      connections: how many connections to the endpoint were left.
    """

    endpoint: EndpointId
    framing: Framing | None
    connections: int


class Served(msgspec.Struct, frozen=True):
    """The result of a complete answer.

    Attributes:
      done: the sidecar's final message, None if the answer has none.
      end: how the endpoint's answer has ended; None for an answer of a sidecar.
    """

    done: Done | None
    pieces: int
    ttft_s: float
    end: AnswerEnd | None = None
