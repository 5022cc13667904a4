"""Decides whether to fetch or to save each shared part of a prompt."""

import enum
from collections.abc import Mapping

import msgspec

from magnolialug.ids import EndpointId, ServiceName
from magnolialug.policy.storeindex import PartKey, PartStatus

__all__ = ["MissReason", "PartPlan", "PartReport", "plan_part"]


class MissReason(enum.Enum):
    """Why a part is not read from a store.

    NO_CONTACT: the store's last reply is too old, or its owner sent no
      report.
    SAVING: an engine is still saving it.
    REPLACED: it belongs to weights that are being replaced, and no store
      holds it completely.
    NO_ROOM: no store holds it, and none has room.
    NOT_WRITABLE: no store holds it, and none accepts writes at present.
    NEW: no store is known to hold it; the request saves it.
    """

    NO_CONTACT = "unheard"
    SAVING = "saving"
    REPLACED = "replaced"
    NO_ROOM = "no room"
    NOT_WRITABLE = "closed"
    NEW = "new"


class PartReport(msgspec.Struct, frozen=True):
    """What the owner of a store reports about a part.

    Attributes:
      until_ms: deadline for the end of a fetch, on the servers' clock.
      reader: the engine that prefills it and will save it, "" for none.
      clock_ahead_s: the servers' clock minus this entry's, None if not known.
    """

    store: ServiceName
    status: PartStatus
    until_ms: int = 0
    reader: EndpointId = EndpointId("")
    clock_ahead_s: float | None = None


class PartPlan(msgspec.Struct, frozen=True):
    """What to do with one part of a prompt.

    Attributes:
      fetch: the store to fetch it from, None if none holds it.
      save: the store to save it to, None for none.
      miss: why it is not fetched, None if it is.
      until_ms: when a fetch that has not ended is discarded.
      clock_ahead_s: the clock of that time minus this entry's, None if not
        known.
    """

    fetch: ServiceName | None = None
    save: ServiceName | None = None
    miss: MissReason | None = None
    until_ms: int = 0
    clock_ahead_s: float | None = None


_MISSES = {
    PartStatus.NO_CONTACT: MissReason.NO_CONTACT,
    PartStatus.SAVING: MissReason.SAVING,
    PartStatus.FULL: MissReason.NO_ROOM,
    PartStatus.NOT_WRITABLE: MissReason.NOT_WRITABLE,
}


def plan_part(
    key: PartKey, stored: Mapping[PartKey, PartReport], may_save: bool
) -> PartPlan:
    """Returns what to do with a part.

    Args:
      stored: the reports of the owners of stores.
      may_save: whether new parts may be saved for these weights.
    """
    reported = stored.get(key)
    if reported is None:
        return PartPlan(miss=MissReason.NO_CONTACT)
    if reported.status is PartStatus.HELD:
        return PartPlan(
            fetch=reported.store,
            until_ms=reported.until_ms,
            clock_ahead_s=reported.clock_ahead_s,
        )
    if reported.status is not PartStatus.ROOM:
        return PartPlan(miss=_MISSES[reported.status])
    if not may_save:
        return PartPlan(miss=MissReason.REPLACED)
    return PartPlan(save=reported.store, miss=MissReason.NEW)
