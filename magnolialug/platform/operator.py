"""The operator's configuration and orders, as they lie in the store."""

import re
from collections.abc import Collection
from typing import Any

import msgspec

from magnolialug.config.routing import (
    CacheStore,
    CallerLimits,
    EngineTraits,
    Route,
    RoutedService,
    RouteTeam,
    RouteType,
    Routing,
    Share,
)
from magnolialug.ids import ServiceName, TeamId, ZoneId
from magnolialug.jsoninput import UNREADABLE, Count, Name, decode_json
from magnolialug.result import Code, Failure, failed

__all__ = [
    "CONFIG_KEY",
    "EVACUATION_PREFIX",
    "OPERATOR_PREFIX",
    "WEIGHTS_PREFIX",
    "NamedWeights",
    "read_evacuation",
    "read_routing",
    "read_weights",
]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
EVACUATION_PREFIX = "op/evacuate/"

_FORMS = {
    "idempotent": RouteType.IDEMPOTENT,
    "non_idempotent": RouteType.NON_IDEMPOTENT,
    "streaming": RouteType.STREAMING,
}
_MS = 0.001
_PORT = re.compile(r"[0-9]{1,5}")
_PORTS = range(1, 65536)
_CONTROL = re.compile(r"[\x00-\x1f\x7f-\x9f]")


class _Split(msgspec.Struct):
    service: str
    weight: float


class _WireRoute(msgspec.Struct, rename="camel"):
    """One row of `routes`; `path_prefix` is the prefix of the URL path."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    target_gap_ms: float = 0.0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    priority: int = 1
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False


class _WireEngine(msgspec.Struct, rename="camel"):
    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
    max_in_flight: int = 1
    managed: bool = False


class _WireService(msgspec.Struct, rename="camel"):
    """One row of `services`; with `kv_store_addr` it is a cache store."""

    name: str
    health_path: str = "/healthz"
    max_connections: int = 64
    engine: _WireEngine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity_tokens: int = 0
    link_mbps: float = 0.0
    max_in_flight: int = 1
    managed: bool = False
    first_ms: float = msgspec.field(name="first_ms", default=0.0)
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _WireTeam(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False


class _WireLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class NamedWeights(msgspec.Struct, frozen=True):
    """The weights that the operator wants a model to have everywhere."""

    model: Name
    version: Count


def _route(row: _WireRoute) -> Route:
    shares = [
        Share(ServiceName(s.service), s.weight) for s in row.traffic_split
    ]
    if not shares:
        shares = [Share(ServiceName(row.service), 1.0)]
    if not any(share.weight > 0 for share in shares):
        raise ValueError("trafficSplit: expected a weight above 0")
    return Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.path_prefix,
        form=_FORMS[row.route_type],
        shares=tuple(share for share in shares if share.weight > 0),
        timeout_s=row.timeout_ms * _MS,
        target_s=row.target_latency_ms * _MS,
        gap_s=row.target_gap_ms * _MS,
        priority=row.priority,
        attempts=max(1, row.max_attempts),
        public=row.public,
        prompts=row.session_affinity,
        resumable=row.resumable,
    )


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not _PORT.fullmatch(port) or int(port) not in _PORTS:
        raise ValueError("kvStoreAddr: expected host:port")
    return host, int(port)


def _service(row: _WireService) -> RoutedService:
    engine = store = None
    if row.engine is not None:
        engine = EngineTraits(
            slots=row.engine.slots,
            memory_tokens=row.engine.kv_capacity_tokens,
            token_bytes=row.engine.kv_token_bytes,
            link_mbps=row.engine.link_mbps,
            polls=row.engine.max_in_flight,
            managed=row.engine.managed,
        )
    if row.kv_store_addr:
        store = CacheStore(
            address=_address(row.kv_store_addr),
            zone=ZoneId(row.zone),
            capacity_tokens=row.kv_capacity_tokens,
            link_mbps=row.link_mbps,
            first_s=row.first_ms * _MS,
            polls=row.max_in_flight,
            managed=row.managed,
        )
    return RoutedService(
        name=ServiceName(row.name),
        health_path=row.health_path,
        connections=row.max_connections,
        engine=engine,
        store=store,
        cold_start_s=row.cold_start_s,
        cold_per_s=row.cold_per_s,
    )


def _team(row: _WireTeam) -> RouteTeam:
    if _CONTROL.search(row.name):
        raise ValueError("name: expected no control characters")
    return RouteTeam(
        TeamId(row.name), tuple(row.api_keys), row.priority, row.isolated
    )


def _limits(row: _WireLimits) -> CallerLimits:
    return CallerLimits(
        header_bytes=row.max_header_bytes,
        body_bytes=row.max_body_bytes,
        header_s=row.header_timeout_ms * _MS,
        idle_s=row.idle_timeout_ms * _MS,
    )


def _rows(
    table: dict[str, Any], field: str, form: type, make, problems: list[Failure]
) -> list:
    """Returns the good rows of a list; a bad one becomes a problem."""
    made = []
    rows = table.get(field) or []
    if not isinstance(rows, list):
        where = f"{CONFIG_KEY}: {field}"
        problems.append(
            failed(Code.BAD_CONFIG_VALUE, "must be a list", where, rows)
        )
        return made
    for number, row in enumerate(rows):
        try:
            made.append(make(msgspec.convert(row, form)))
        except (KeyError, OverflowError, *UNREADABLE) as exc:
            name = row.get("name", number) if isinstance(row, dict) else number
            where = f"{CONFIG_KEY}: {field}[{name}]"
            problems.append(failed(Code.BAD_CONFIG_VALUE, str(exc), where, row))
    return made


def read_routing(value: bytes) -> tuple[Routing, list[Failure]] | Failure:
    """Returns the configuration in a store value, and what is wrong with it.

    Fields that are not known are passed over. A malformed row is left out
    and reported, so that the others stay in force.
    """
    table = decode_json(
        value, dict[str, Any], Code.BAD_CONFIG_VALUE, CONFIG_KEY
    )
    if isinstance(table, Failure):
        return table
    try:
        version = msgspec.convert(table.get("version"), Count)
    except msgspec.ValidationError as exc:
        return failed(Code.BAD_CONFIG_VALUE, str(exc), f"{CONFIG_KEY}: version")
    problems: list[Failure] = []
    routes = _rows(table, "routes", _WireRoute, _route, problems)
    services = _rows(table, "services", _WireService, _service, problems)
    teams = _rows(table, "tenants", _WireTeam, _team, problems)
    limits = _rows(
        {"limits": [table.get("limits") or {}]},
        "limits",
        _WireLimits,
        _limits,
        problems,
    )
    routing = Routing(
        version=version,
        routes=tuple(routes),
        services={service.name: service for service in services},
        teams=tuple(teams),
        limits=limits[0] if limits else CallerLimits(),
    )
    return routing, problems


def read_weights(key: str, value: bytes) -> NamedWeights | Failure:
    """Returns the named weights in a store value."""
    return decode_json(value, NamedWeights, Code.BAD_CONFIG_VALUE, key)


def read_evacuation(
    key: str, value: bytes, zones: Collection[str]
) -> ZoneId | Failure:
    """Returns the availability zone that a key names.

    Args:
      value: an object; it has no fields yet.
      zones: the names of the zones that exist.
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    if zone not in zones:
        known = ", ".join(sorted(zones))
        reason = f"must be one of the availability zones {known}"
        return failed(Code.BAD_EVACUATION, reason, key, zone)
    found = decode_json(value, dict[str, Any], Code.BAD_EVACUATION, key)
    return found if isinstance(found, Failure) else ZoneId(zone)
