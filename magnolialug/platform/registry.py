"""Endpoints as they register themselves in the platform's store."""

import ipaddress
import re

import msgspec

from magnolialug.ids import EndpointId, ServiceName, SoftwareVersion, ZoneId
from magnolialug.jsoninput import Count, Name, decode_json
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.result import Code, Failure, failed

__all__ = ["REGISTRY_PREFIX", "endpoint_id_of", "read_listed"]

REGISTRY_PREFIX = "servers/"
_MS = 0.001
_IS_LEAVING = {"ready": False, "draining": True}
_PORTS = range(1, 65536)
_PORT = re.compile(r"[0-9]{1,5}")
# What a header can carry as one word: ids of endpoints go into requests.
_WORD = re.compile(r"[\x21-\x7e\xa1-\xff]{1,200}")


class _WireModel(msgspec.Struct):
    name: Name
    version: Count = 0


class _WireEntry(msgspec.Struct, rename="camel"):
    """The value of `servers/ID`.

    Attributes:
      version: of the endpoint's software; its weights stand in `models`.
      sequence: counts the heartbeats.
    """

    service: Name
    address: Name
    zone: Name
    version: Name
    slots: Count
    state: str
    cold_remaining_ms: float
    sequence: Count
    models: list[_WireModel] = []
    born: Count = 0


def endpoint_id_of(key: str) -> EndpointId:
    """Returns the id in a registry key."""
    return EndpointId(key.removeprefix(REGISTRY_PREFIX))


def read_listed(key: str, value: bytes) -> RegisteredEndpoint | Failure:
    """Returns the endpoint in a store value.

    Others than endpoints can write there too. What lacks a field, or has one
    of another type or with a value that means nothing, names no endpoint.
    """
    row = decode_json(value, _WireEntry, Code.BAD_ENTRY, key)
    if isinstance(row, Failure):
        return row
    if not _WORD.fullmatch(endpoint_id_of(key)):
        return failed(Code.BAD_ENTRY, "the id must be one word", key)
    host, _, port = row.address.rpartition(":")
    if not _is_ip(host) or not _is_port(port):
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
    # The scope of an IPv6 address names an interface of the writer's machine.
    return "%" not in host


def _is_port(text: str) -> bool:
    return _PORT.fullmatch(text) is not None and int(text) in _PORTS
