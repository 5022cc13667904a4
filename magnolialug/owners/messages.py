"""Messages between entries and the owners of endpoints.

Each message is one datagram. Datagrams can be lost or reordered, so reports are
repeated while there is work, queries have a timeout, and waiting prompts renew
their places.

The tags must not change, because entries of two releases exchange messages
during a rolling upgrade.
"""

import enum

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.admissionlead import Claimant, LeadReason
from magnolialug.policy.endpointnotice import LeavingEndpoint
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.limitnotice import ReportedNotice
from magnolialug.policy.prompt import Part
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import EndpointState, Placement, WorkShare
from magnolialug.policy.waitledger import FlowStanding, WaitReport

__all__ = [
    "KnownVersions",
    "LoadQuery",
    "Announcements",
    "QueriedEndpoint",
    "LoadReply",
    "AdmissionReply",
    "AdmissionState",
    "Dequeue",
    "Enqueue",
    "LoadReport",
]


class KnownVersions(msgspec.Struct, frozen=True):
    """The versions of the announcements that an entry has.

    Attributes:
      rollout: the number of the newest rollout.
      evacuated: the revision of the evacuated zones.
    """

    rollout: int = 0
    evacuated: int = 0


class Announcements(msgspec.Struct, frozen=True):
    """What entries tell all others; None or empty where nothing is new.

    Attributes:
      rollout: a rollout that the key-value service has announced.
      evacuated: the evacuated zones, by the key-value service.
      leaving: endpoints that have said in answers that they leave.
    """

    rollout: Rollout | None = None
    evacuated: EvacuatedZones | None = None
    leaving: tuple[LeavingEndpoint, ...] = ()


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="work"):
    """An entry's work at endpoints that have the same owner.

    Attributes:
      entry: identifies one start of the sender.
      number: counts the sender's messages; one that arrives after a newer one
        is dropped.
      rollout: the newest rollout that the sender knows, if received recently.
      evacuated: the evacuated zones, if they changed recently.
      leaving: endpoints that recently said in answers that they leave.
    """

    entry: str
    number: int
    shares: tuple[WorkShare, ...]
    placements: tuple[Placement, ...] = ()
    rollout: Rollout | None = None
    evacuated: EvacuatedZones | None = None
    leaving: tuple[LeavingEndpoint, ...] = ()


class QueriedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that is queried.

    Attributes:
      salt: the cache namespace of the prompt's parts.
      notice: what the sender knows of its request limit.
    """

    endpoint: EndpointId
    salt: str = ""
    notice: ReportedNotice | None = None


class LoadQuery(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Queries an owner for the load of its endpoints.

    Attributes:
      parts: the parts of the prompt to be placed.
      rollout: the number of the newest rollout that the sender knows.
      evacuated: the revision of the evacuated zones that the sender knows.
      priority: of the request to be placed, 0 is the most urgent.
      is_preview: whether nothing will be sent, so that the owner only reads.
      waits: reports to the receiver as the keeper of their flows.
    """

    entry: str
    number: int
    endpoints: tuple[QueriedEndpoint, ...]
    parts: tuple[Part, ...] = ()
    rollout: int = 0
    evacuated: int = 0
    priority: int = 0
    is_preview: bool = False
    waits: tuple[WaitReport, ...] = ()


class LoadReply(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """The reply to a LoadQuery.

    Attributes:
      number: the number of the query.
      rollout: a rollout newer than the one in the query, if any.
      evacuated: the evacuated zones, if their revision is later than the one in
        the query.
      delay_ms: the delay of the sender's event loop.
      standings: of the flows that the query reports waits of.
    """

    number: int
    states: tuple[EndpointState, ...]
    rollout: Rollout | None = None
    evacuated: EvacuatedZones | None = None
    delay_ms: int = 0
    standings: tuple[FlowStanding, ...] = ()


class Enqueue(msgspec.Struct, frozen=True, array_like=True, tag="wait"):
    """Adds a prompt to the queue of an engine, or renews its place there.

    Attributes:
      number: identifies the prompt among those of the sender.
      tokens: memory that the prompt needs, in tokens.
      unread: prompt tokens that the engine has to prefill.
      target_ms: time left until its first event is late; may be negative.
      ends_ms: time left until a grant is useless.
      ahead_ms: it is admitted only by an engine with less than this time of
        prefill ahead of it.
      queue_count: the number of queues in which it waits.
      is_first_choice: whether no other prompt overtakes it in this queue.
      claimant: whose prompt it is, None where the configuration has no teams.
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
    queue_count: int
    is_first_choice: bool
    claimant: Claimant | None = None


class AdmissionState(enum.Enum):
    """The state of a prompt in an admission queue.

    QUEUED: the prompt waits.
    GRANTED: it may be sent to the engine; its memory is reserved for a short
      time.
    TOO_LATE: it waits, but cannot meet its deadline in this queue.
    GONE: the engine accepts no work.
    """

    QUEUED = "q"
    GRANTED = "g"
    TOO_LATE = "v"
    GONE = "x"


class AdmissionReply(msgspec.Struct, frozen=True, array_like=True, tag="turn"):
    """An owner's reply about a waiting prompt.

    Attributes:
      after_ms: with TOO_LATE, the time after which the caller may retry.
      lead_ms: how much earlier than by its due time the prompt is admitted.
      lead_reason: the largest part of that.
    """

    number: int
    endpoint: EndpointId
    state: AdmissionState
    after_ms: int = 0
    lead_ms: int = 0
    lead_reason: LeadReason = LeadReason.NONE


class Dequeue(msgspec.Struct, frozen=True, array_like=True, tag="unwait"):
    """Removes a prompt from all queues of an owner; frees its reservations."""

    entry: str
    number: int
