"""The settings file that the platform writes for each process."""

import os
import tomllib
from typing import Any

import msgspec

from magnolialug.carrier.pool import Address
from magnolialug.ids import ZoneId
from magnolialug.result import Code, Failure, failed

__all__ = ["Bounds", "Settings", "StoreRates", "read_settings"]

_ENV = "MAGNOLIALUG_SETTINGS"
# For settings that do not say it.
_DEFAULT_MEMORY_MB = 150.0


class Bounds(msgspec.Struct, frozen=True):
    """The times and shares that the platform holds its processes to.

    Attributes:
      drain_s: within this, a leaving endpoint must get no more work.
      grace_s: between the signal to stop and the kill.
      config_s: within this, a configuration must be in force.
      retry_ratio: retries allowed for each request to a service.
      retry_extra: retries allowed besides, in one window of all entries.
      retry_window_s: the window in which retries are counted.
      lease_s: two holders of orders may not alternate faster than this.
      thaw_s: grace after a suspension in which late orders are excused.
      weights_s: within this, an engine must have newly named weights.
    """

    drain_s: float
    grace_s: float
    config_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    lease_s: float
    thaw_s: float
    weights_s: float


class StoreRates(msgspec.Struct, frozen=True):
    """The platform's key-value service: where it is, what it allows."""

    address: Address
    reads_per_s: float
    writes_per_s: float
    ttl_min_s: float


class Settings(msgspec.Struct, frozen=True):
    """What a process is told about itself.

    Attributes:
      vm: the name of the machine.
      callers: where callers connect, None for a role that serves none.
      ready: where the balancer asks whether the process is ready.
      first_start: whether the whole system starts for the first time.
      internal_port: where processes of the system may listen for each
        other, the first of the range.
      heartbeat_s: how often an endpoint renews its entry.
      cores: how much processor time this machine has.
      memory_mb: a process that takes more is killed.
      descriptors: how many a process may have, files among them; None for as
        many as the kernel allows.
    """

    vm: str
    zone: ZoneId
    region: str
    host: str
    zones: dict[str, str]
    callers: Address | None
    ready: Address | None
    first_start: bool
    internal_port: int
    heartbeat_s: float
    bounds: Bounds
    store: StoreRates
    cores: float = 1.0
    memory_mb: float = _DEFAULT_MEMORY_MB
    descriptors: int | None = None


class _FieldError(Exception):
    """A field is missing or has the wrong form."""

    def __init__(self, field: str, reason: str, value: object = None):
        super().__init__(reason)
        self.failure = failed(
            Code.BAD_SETTINGS, reason, field, "" if value is None else value
        )


def _get(table: dict[str, Any], path: str, form: type | tuple[type, ...]):
    """Returns the value at a dotted path, checked for its type."""
    value: Any = table
    for part in path.split("."):
        if not isinstance(value, dict) or part not in value:
            raise _FieldError(path, "the field is missing")
        value = value[part]
    if not isinstance(value, form) or (
        isinstance(value, bool) and form is not bool
    ):
        raise _FieldError(path, "the field has the wrong type", value)
    return value


def _number(table: dict[str, Any], path: str, scale: float = 1.0) -> float:
    value = _get(table, path, (int, float))
    if value < 0:
        raise _FieldError(path, "must not be negative", value)
    return value * scale


def _limit(table: dict[str, Any], name: str, default):
    """Returns a limit of the process, above 0 if there is one."""
    if name not in _get(table, "limits", dict):
        return default
    value = _number(table, f"limits.{name}")
    if not value:
        raise _FieldError(f"limits.{name}", "must be above 0", value)
    return value


def _address(table: dict[str, Any], path: str) -> Address:
    text = _get(table, path, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise _FieldError(path, "must be host:port", text)
    return host, int(port)


def _listening(table: dict[str, Any], name: str) -> Address | None:
    found = _get(table, "bindAddresses", dict)
    return _address(table, f"bindAddresses.{name}") if name in found else None


def _first_port(table: dict[str, Any]) -> int:
    ports = _get(table, "internalPortRange", list)
    if not ports or not isinstance(ports[0], int):
        raise _FieldError("internalPortRange", "must be two ports", ports)
    return ports[0]


def _bounds(table: dict[str, Any]) -> Bounds:
    ms = 0.001
    return Bounds(
        drain_s=_number(table, "bounds.drainMs", ms),
        grace_s=_number(table, "bounds.graceS"),
        config_s=_number(table, "bounds.configApplyMs", ms),
        retry_ratio=_number(table, "bounds.retryBudgetRatio"),
        retry_extra=_number(table, "bounds.retryBudgetExtra"),
        retry_window_s=_number(table, "bounds.budgetWindowS"),
        lease_s=_number(table, "bounds.leaseMs", ms),
        thaw_s=_number(table, "bounds.thawSlackMs", ms),
        weights_s=_number(table, "bounds.versionMs", ms),
    )


def _settings(table: dict[str, Any]) -> Settings:
    return Settings(
        vm=_get(table, "nodeName", str),
        zone=ZoneId(_get(table, "zone", str)),
        region=_get(table, "region", str),
        host=_get(table, "ipAddress", str),
        zones=_get(table, "zones", dict),
        callers=_listening(table, "front"),
        ready=_listening(table, "ready"),
        first_start=_get(table, "bootstrap", bool),
        internal_port=_first_port(table),
        heartbeat_s=_number(table, "heartbeatMs", 0.001),
        cores=_number(table, "limits.cpuShare")
        * _number(table, "limits.cpuCores"),
        memory_mb=_limit(table, "memoryMb", _DEFAULT_MEMORY_MB),
        descriptors=_limit(table, "fileDescriptors", None),
        bounds=_bounds(table),
        store=StoreRates(
            address=_address(table, "platform.address"),
            reads_per_s=_number(table, "platform.readsPerS"),
            writes_per_s=_number(table, "platform.writesPerS"),
            ttl_min_s=_number(table, "platform.ttlMinMs", 0.001),
        ),
    )


def read_settings(path: str = "") -> Settings | Failure:
    """Returns the settings, or a failure that names file, field and value.

    Args:
      path: the file; from the environment when empty.
    """
    path = path or os.environ.get(_ENV, "")
    try:
        with open(path, "rb") as file:
            return _settings(tomllib.load(file))
    except OSError as exc:
        return failed(Code.BAD_SETTINGS, str(exc), path or _ENV)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return failed(Code.BAD_SETTINGS, str(exc), path)
    except _FieldError as exc:
        bad = exc.failure
        return msgspec.structs.replace(bad, field=f"{path}: {bad.field}")
