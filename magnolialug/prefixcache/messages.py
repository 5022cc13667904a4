"""Messages between entries and the owners of stores, one datagram each.

The tags must not change: during a rolling upgrade, entries of two releases
exchange these messages.
"""

import msgspec

from magnolialug.ids import EndpointId, ServiceName
from magnolialug.policy.prompt import Part
from magnolialug.policy.storeindex import PartStatus

__all__ = [
    "PartQuery",
    "QueriedPart",
    "SaveCancelled",
    "PartState",
    "SaveNotice",
    "PartReply",
]


class QueriedPart(msgspec.Struct, frozen=True, array_like=True):
    """A prompt part and the store that a query or a save is about."""

    store: ServiceName
    cache_namespace: str
    part: Part


class PartQuery(msgspec.Struct, frozen=True, array_like=True, tag="parts?"):
    """Queries an owner for the status of parts."""

    number: int
    parts: tuple[QueriedPart, ...]


class PartState(msgspec.Struct, frozen=True, array_like=True):
    """The status of one part.

    Attributes:
      until_ms: deadline for the end of a fetch, on the servers' clock.
      reader: the engine that prefills it and will save it, "" for none.
      clock_ms: the servers' clock when the reply is sent, 0 if not known.
    """

    store: ServiceName
    cache_namespace: str
    name: str
    status: PartStatus
    until_ms: int = 0
    reader: EndpointId = EndpointId("")
    clock_ms: int = 0


class PartReply(msgspec.Struct, frozen=True, array_like=True, tag="parts"):
    """The reply to a PartQuery."""

    number: int
    states: tuple[PartState, ...]


class SaveNotice(msgspec.Struct, frozen=True, array_like=True, tag="save"):
    """An engine was sent a request that asks it to save parts."""

    reader: EndpointId
    parts: tuple[QueriedPart, ...]


class SaveCancelled(msgspec.Struct, frozen=True, array_like=True, tag="unsave"):
    """The request that asked an engine to save parts did not run."""

    reader: EndpointId
    parts: tuple[QueriedPart, ...]
