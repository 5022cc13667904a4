"""Snapshot of the evacuated availability zones."""

import msgspec

from magnolialug.ids import ZoneId

__all__ = ["EvacuatedZones"]


class EvacuatedZones(msgspec.Struct, frozen=True, array_like=True):
    """All evacuated zones as of one revision.

    Attributes:
      revision: revision of the key-value service that the snapshot reflects.
    """

    zones: tuple[ZoneId, ...] = ()
    revision: int = 0
