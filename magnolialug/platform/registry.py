"""Endpoints as they register themselves in the platform's store."""

import msgspec

from magnolialug.ids import EndpointId, ServiceName, ZoneId
from magnolialug.policy.listed import Listed
from magnolialug.result import Code, Failure, failed

__all__ = ["REGISTRY_PREFIX", "endpoint_id_of", "read_listed"]

REGISTRY_PREFIX = "servers/"
_MS = 0.001


class _WireModel(msgspec.Struct):
    name: str
    version: int = 0


class _WireEntry(msgspec.Struct, rename="camel"):
    """The value of `servers/ID`.

    Attributes:
      version: of the endpoint's software; its weights stand in `models`.
      sequence: counts the heartbeats.
    """

    service: str
    address: str
    zone: str
    version: str = ""
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0.0
    sequence: int = 0
    models: list[_WireModel] = []


def endpoint_id_of(key: str) -> EndpointId:
    """Returns the id in a registry key."""
    return EndpointId(key.removeprefix(REGISTRY_PREFIX))


def read_listed(key: str, value: bytes) -> Listed | Failure:
    """Returns the endpoint in a store value."""
    try:
        row = msgspec.json.decode(value, type=_WireEntry)
    except msgspec.MsgspecError as exc:
        return failed(Code.BAD_ENTRY, str(exc), key, value[:80])
    host, _, port = row.address.rpartition(":")
    if not host or not port.isdecimal():
        return failed(Code.BAD_ENTRY, "must be host:port", key, row.address)
    return Listed(
        endpoint=endpoint_id_of(key),
        service=ServiceName(row.service),
        address=(host, int(port)),
        zone=ZoneId(row.zone),
        slots=row.slots,
        leaving=row.state != "ready",
        cold_s=row.cold_remaining_ms * _MS,
        beat=row.sequence,
        weights={model.name: model.version for model in row.models},
    )
