"""A registered endpoint as the registry lists it."""

import msgspec

from magnolialug.ids import EndpointId, ServiceName, SoftwareVersion, ZoneId

__all__ = ["UNKNOWN_SOFTWARE", "RegisteredEndpoint"]

# The version of a start that was noticed before its registry entry arrived.
UNKNOWN_SOFTWARE = SoftwareVersion("")


class RegisteredEndpoint(msgspec.Struct, frozen=True):
    """One entry of the endpoint registry.

    Attributes:
      endpoint: its id; an endpoint that restarts may keep its id.
      leaving: whether it has announced that it takes no new work.
      cold_s: remaining time for which it is cold after its start.
      beat: sequence number of its newest heartbeat.
      weights: the version of each model that it has loaded.
      born_ms: its start time by its own clock, in Unix milliseconds; 0 if it
        is not given. It distinguishes two starts under the same id.
      software: the version of its software, compared as a whole within one
        service.
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
    software: SoftwareVersion = UNKNOWN_SOFTWARE
