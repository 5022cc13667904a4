"""Messages between entries and the owners of stores, a datagram each.

The tags stay as they are: entries of two releases talk to each other during a
rolling upgrade.
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
    """A part of a prompt, and the store that is asked about it."""

    store: ServiceName
    salt: str
    part: Part


class PartQuery(msgspec.Struct, frozen=True, array_like=True, tag="parts?"):
    """Asks an owner what to do with some parts."""

    number: int
    parts: tuple[QueriedPart, ...]


class PartState(msgspec.Struct, frozen=True, array_like=True):
    """What is to be done with one part.

    Attributes:
      until_ms: a fetch must have ended by then, on the servers' clock.
      reader: the engine that reads it and will save it, "" for none.
    """

    store: ServiceName
    salt: str
    name: str
    word: PartStatus
    until_ms: int = 0
    reader: EndpointId = EndpointId("")


class PartReply(msgspec.Struct, frozen=True, array_like=True, tag="parts"):
    """The answer to an PartQuery."""

    number: int
    states: tuple[PartState, ...]


class SaveNotice(msgspec.Struct, frozen=True, array_like=True, tag="save"):
    """An engine has been sent a request that asks for parts to be saved."""

    reader: EndpointId
    parts: tuple[QueriedPart, ...]


class SaveCancelled(msgspec.Struct, frozen=True, array_like=True, tag="unsave"):
    """The request that asked for parts to be saved did not run."""

    reader: EndpointId
    parts: tuple[QueriedPart, ...]
