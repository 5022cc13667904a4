"""What to do with each shared part of a prompt."""

import enum
from collections.abc import Mapping

import msgspec

from magnolialug.ids import EndpointId, ServiceName
from magnolialug.policy.storeindex import PartKey, PartStatus

__all__ = ["Miss", "PartPlan", "Stored", "plan_of"]


class Miss(enum.Enum):
    """Why a part is not read from a store.

    UNHEARD: a store holds it whose last word is too old, or its owner says
      nothing.
    SAVING: it is being saved, which is not done yet.
    REPLACED: it is of weights that are being replaced, and was not whole.
    NO_ROOM: no store has it, and none has room.
    CLOSED: no store has it, and none may be written to just now.
    NEW: no store is known to have it; it is saved now.
    """

    UNHEARD = "unheard"
    SAVING = "saving"
    REPLACED = "replaced"
    NO_ROOM = "no room"
    CLOSED = "closed"
    NEW = "new"


class Stored(msgspec.Struct, frozen=True):
    """What the owner of a store has told of a part.

    Attributes:
      until_ms: a fetch must have ended by then, on the servers' clock.
      reader: the engine that reads it and will save it, "" for none.
    """

    store: ServiceName
    word: PartStatus
    until_ms: int = 0
    reader: EndpointId = EndpointId("")


class PartPlan(msgspec.Struct, frozen=True):
    """What to do with one part of a prompt.

    Attributes:
      fetch: the store that holds it, None if none does.
      save: the store that is to keep it, None for none.
      miss: why it is not fetched, None if it is.
      until_ms: when a fetch is to be thrown away.
    """

    fetch: ServiceName | None = None
    save: ServiceName | None = None
    miss: Miss | None = None
    until_ms: int = 0


_MISSES = {
    PartStatus.UNHEARD: Miss.UNHEARD,
    PartStatus.SAVING: Miss.SAVING,
    PartStatus.FULL: Miss.NO_ROOM,
    PartStatus.CLOSED: Miss.CLOSED,
}


def plan_of(
    key: PartKey, stored: Mapping[PartKey, Stored], may_save: bool
) -> PartPlan:
    """Returns what to do with a part.

    Args:
      stored: what the owners of stores have told.
      may_save: whether parts of these weights are still saved.
    """
    told = stored.get(key)
    if told is None:
        return PartPlan(miss=Miss.UNHEARD)
    if told.word is PartStatus.HELD:
        return PartPlan(fetch=told.store, until_ms=told.until_ms)
    if told.word is not PartStatus.ROOM:
        return PartPlan(miss=_MISSES[told.word])
    if not may_save:
        return PartPlan(miss=Miss.REPLACED)
    return PartPlan(save=told.store, miss=Miss.NEW)
