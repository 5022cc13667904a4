"""What entries and the homes of stores tell each other, a datagram each."""

import msgspec

from magnolialug.ids import EndpointId, ServiceName
from magnolialug.policy.prompt import Part
from magnolialug.policy.storebook import PartWord

__all__ = [
    "AskParts",
    "AskedPart",
    "CancelSave",
    "PartState",
    "Save",
    "ToldParts",
]


class AskedPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt, and the store that is asked about it."""

    store: ServiceName
    salt: str
    part: Part


class AskParts(msgspec.Struct, frozen=True, array_like=True, tag="parts?"):
    """Asks a home what to do with some parts."""

    number: int
    parts: tuple[AskedPart, ...]


class PartState(msgspec.Struct, frozen=True, array_like=True):
    """What is to be done with one part.

    Attributes:
      until_ms: a fetch must have ended by then, on the servers' clock.
      reader: the engine that reads it and will save it, "" for none.
    """

    store: ServiceName
    salt: str
    name: str
    word: PartWord
    until_ms: int = 0
    reader: EndpointId = EndpointId("")


class ToldParts(msgspec.Struct, frozen=True, array_like=True, tag="parts"):
    """The answer to an AskParts."""

    number: int
    states: tuple[PartState, ...]


class Save(msgspec.Struct, frozen=True, array_like=True, tag="save"):
    """An engine has been sent a request that asks for parts to be saved."""

    reader: EndpointId
    parts: tuple[AskedPart, ...]


class CancelSave(msgspec.Struct, frozen=True, array_like=True, tag="unsave"):
    """The request that asked for parts to be saved did not run."""

    reader: EndpointId
    parts: tuple[AskedPart, ...]
