"""The evacuated availability zones as of one moment."""

import msgspec

from magnolialug.ids import ZoneId

__all__ = ["EvacuatedZones"]


class EvacuatedZones(msgspec.Struct, frozen=True, array_like=True):
    """All evacuated zones.

    Attributes:
      revision: of the key-value service, up to which this is known.
    """

    zones: tuple[ZoneId, ...] = ()
    revision: int = 0
