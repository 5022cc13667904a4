"""Endpoints as they register themselves in the platform's store."""

import ipaddress

import msgspec

from magnolialug.ids import EndpointId, ServiceName, SoftwareVersion, ZoneId
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.result import Code, Failure, failed

__all__ = ["REGISTRY_PREFIX", "endpoint_id_of", "read_listed"]

REGISTRY_PREFIX = "servers/"
_MS = 0.001
_IS_LEAVING = {"ready": False, "draining": True}
_PORTS = range(1, 65536)


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
    version: str
    slots: int
    state: str
    cold_remaining_ms: float
    sequence: int
    models: list[_WireModel] = []
    born: int = 0


def endpoint_id_of(key: str) -> EndpointId:
    """Returns the id in a registry key."""
    return EndpointId(key.removeprefix(REGISTRY_PREFIX))


def read_listed(key: str, value: bytes) -> RegisteredEndpoint | Failure:
    """Returns the endpoint in a store value.

    Others than endpoints can write there too. What lacks a field, or has one
    of another type or with a value that means nothing, names no endpoint.
    """
    try:
        row = msgspec.json.decode(value, type=_WireEntry)
    except msgspec.MsgspecError as exc:
        return failed(Code.BAD_ENTRY, str(exc), key, value[:80])
    host, _, port = row.address.rpartition(":")
    if not _is_ip(host) or not port.isdecimal() or int(port) not in _PORTS:
        return failed(Code.BAD_ENTRY, "must be host:port", key, row.address)
    if row.state not in _IS_LEAVING:
        return failed(Code.BAD_ENTRY, "unknown state", key, row.state)
    if row.slots < 1:
        return failed(Code.BAD_ENTRY, "must be above 0", key, str(row.slots))
    return RegisteredEndpoint(
        endpoint=endpoint_id_of(key),
        service=ServiceName(row.service),
        address=(host, int(port)),
        zone=ZoneId(row.zone),
        slots=row.slots,
        leaving=_IS_LEAVING[row.state],
        cold_s=row.cold_remaining_ms * _MS,
        beat=row.sequence,
        weights={model.name: model.version for model in row.models},
        born_ms=row.born,
        software=SoftwareVersion(row.version),
    )


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
