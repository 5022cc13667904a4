"""Messages between entries and the owners of endpoints.

Each is one datagram. Datagrams get lost and reordered: reports are repeated
while there is work, queries have a timeout, and waiting prompts renew their
places.

The tags stay as they are: entries of two releases talk to each other during a
rolling upgrade.
"""

import enum

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.prompt import Part
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import EndpointState, Placement, WorkShare

__all__ = [
    "Known",
    "LoadQuery",
    "News",
    "QueriedEndpoint",
    "LoadReply",
    "AdmissionReply",
    "AdmissionState",
    "Dequeue",
    "Enqueue",
    "LoadReport",
]


class Known(msgspec.Struct, frozen=True):
    """Which news an entry has.

    Attributes:
      rollout: the number of the newest rollout.
      evacuated: the revision up to which it knows the evacuated zones.
    """

    rollout: int = 0
    evacuated: int = 0


class News(msgspec.Struct, frozen=True):
    """What the key-value service announces; None for nothing new."""

    rollout: Rollout | None = None
    evacuated: EvacuatedZones | None = None


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="work"):
    """An entry's work at endpoints that have the same owner.

    Attributes:
      entry: names one start of the sender.
      number: counts its messages; an older one that arrives late is dropped.
      rollout: the newest it knows, while that is news.
      evacuated: the zones that it knows of, while that is news.
    """

    entry: str
    number: int
    shares: tuple[WorkShare, ...]
    placements: tuple[Placement, ...] = ()
    rollout: Rollout | None = None
    evacuated: EvacuatedZones | None = None


class QueriedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that is queried.

    Attributes:
      salt: under which the prompt's parts would be found there.
    """

    endpoint: EndpointId
    salt: str = ""


class LoadQuery(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Queries an owner for the load of its endpoints.

    Attributes:
      parts: of the prompt that is to be placed.
      rollout: the number of the newest rollout that the sender knows.
      evacuated: the revision of the evacuated zones that it knows.
    """

    entry: str
    number: int
    endpoints: tuple[QueriedEndpoint, ...]
    parts: tuple[Part, ...] = ()
    rollout: int = 0
    evacuated: int = 0


class LoadReply(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """The reply to a LoadQuery.

    Attributes:
      number: that of the query.
      rollout: one that is newer than the one the client knows.
      evacuated: zones as of a later revision than the client knows.
    """

    number: int
    states: tuple[EndpointState, ...]
    rollout: Rollout | None = None
    evacuated: EvacuatedZones | None = None


class Enqueue(msgspec.Struct, frozen=True, array_like=True, tag="wait"):
    """Adds a prompt to the queue of an engine, or renews its place there.

    Attributes:
      number: names the prompt among the sender's.
      tokens: of memory that it will take.
      unread: tokens that the engine will have to read.
      target_ms: time left until its first event is late, may be negative.
      ends_ms: time left until a grant is of no use.
      ahead_ms: it is admitted only where less than this is to be read first.
      lists: in how many queues it is.
      first: whether no other overtakes it in this one.
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


class AdmissionState(enum.Enum):
    """The state of a prompt in an admission queue.

    QUEUED: it waits.
    GRANTED: it may go to the engine, which reserves its memory for a moment.
    HOPELESS: it waits, but a grant will not come in time.
    GONE: the engine accepts no work.
    """

    QUEUED = "q"
    GRANTED = "g"
    HOPELESS = "v"
    GONE = "x"


class AdmissionReply(msgspec.Struct, frozen=True, array_like=True, tag="turn"):
    """An owner's reply about a waiting prompt.

    Attributes:
      after_ms: with HOPELESS, when it may come back.
    """

    number: int
    endpoint: EndpointId
    state: AdmissionState
    after_ms: int = 0


class Dequeue(msgspec.Struct, frozen=True, array_like=True, tag="unwait"):
    """Removes a prompt from all queues, and frees its reservations."""

    entry: str
    number: int
