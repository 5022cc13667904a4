"""An endpoint as the registry lists it."""

import msgspec

from magnolialug.ids import EndpointId, ServiceName, ZoneId

__all__ = ["Listed"]


class Listed(msgspec.Struct, frozen=True):
    """One row of the registry.

    Attributes:
      endpoint: its id; one that starts again may keep it.
      leaving: whether it has said that it takes no new work.
      cold_s: how much longer it is cold after its start.
      beat: counts its heartbeats.
      weights: the version of each model that it has loaded.
      born_ms: when it was started, by its own clock in Unix milliseconds; 0
        if it does not say. Two starts under one id differ in it.
    """

    endpoint: EndpointId
    service: ServiceName
    address: tuple[str, int]
    zone: ZoneId
    slots: int
    leaving: bool = False
    cold_s: float = 0.0
    beat: int = 0
    weights: dict[str, int] = {}
    born_ms: int = 0
