"""What entries and the homes of endpoints tell each other.

Each is one datagram. Datagrams get lost and overtake each other: shares are
repeated while there is work, questions have a timeout, and a prompt that
waits says so again.
"""

import enum

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.prompt import Part
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import EndpointState, Placement, WorkShare

__all__ = [
    "Ask",
    "AskedEndpoint",
    "Told",
    "Turn",
    "TurnWord",
    "Unwait",
    "Wait",
    "Work",
]


class Work(msgspec.Struct, frozen=True, array_like=True, tag="work"):
    """An entry's work at endpoints that have the same home.

    Attributes:
      entry: names one start of the sender.
      number: counts its messages; an older one that arrives late is dropped.
      rollout: the newest it knows, while that is news.
    """

    entry: str
    number: int
    shares: tuple[WorkShare, ...]
    placements: tuple[Placement, ...] = ()
    rollout: Rollout | None = None


class AskedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that is asked about.

    Attributes:
      salt: under which the prompt's parts would be found there.
    """

    endpoint: EndpointId
    salt: str = ""


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks a home what its endpoints have to do.

    Attributes:
      parts: of the prompt that is to be placed.
      rollout: the number of the newest rollout that the sender knows.
    """

    entry: str
    number: int
    endpoints: tuple[AskedEndpoint, ...]
    parts: tuple[Part, ...] = ()
    rollout: int = 0


class Told(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """The answer to an Ask.

    Attributes:
      number: that of the question.
      rollout: one that is newer than the one the asker knows.
    """

    number: int
    states: tuple[EndpointState, ...]
    rollout: Rollout | None = None


class Wait(msgspec.Struct, frozen=True, array_like=True, tag="wait"):
    """A prompt waits until an engine has memory for it; repeated meanwhile.

    Attributes:
      number: names the prompt among the sender's.
      tokens: of memory that it will take.
      unread: tokens that the engine will have to read.
      target_ms: time left until its first event is late, may be negative.
      ends_ms: time left until it is of no use to let it go.
      ahead_ms: it goes only where less than this is to be read first.
      lists: on how many lists it is.
      first: whether nobody overtakes it on this one.
    """

    entry: str
    number: int
    endpoint: EndpointId
    priority: int
    tokens: int
    unread: int
    target_ms: int
    ends_ms: int
    ahead_ms: int
    lists: int
    first: bool


class TurnWord(enum.Enum):
    """What a home says to a prompt that waits.

    QUEUED: it is on the list.
    GRANTED: it may go to the engine; the memory is kept for a moment.
    VAIN: it is on the list, but its turn will not come in time.
    GONE: the engine takes no work.
    """

    QUEUED = "q"
    GRANTED = "g"
    VAIN = "v"
    GONE = "x"


class Turn(msgspec.Struct, frozen=True, array_like=True, tag="turn"):
    """A home's word to a prompt that waits.

    Attributes:
      after_ms: with VAIN, when it may come back.
    """

    number: int
    endpoint: EndpointId
    word: TurnWord
    after_ms: int = 0


class Unwait(msgspec.Struct, frozen=True, array_like=True, tag="unwait"):
    """A prompt waits no longer; what was promised to it is free again."""

    entry: str
    number: int
