"""Lists the registered endpoints, with what keeps new work from each."""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from magnolialug.ctl.limits import StandingLimit
from magnolialug.ctl.records import read_records, time_of
from magnolialug.ctl.rests import StandingRest
from magnolialug.events import Event
from magnolialug.ids import EndpointId, ZoneId
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.platform.operator import EVACUATION_PREFIX
from magnolialug.platform.registry import REGISTRY_PREFIX, read_listed
from magnolialug.policy.endpointnotice import NoticeSource
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.result import Failure

__all__ = ["KnownLeaving", "endpoint_lines", "known_leaving"]


class KnownLeaving(msgspec.Struct, frozen=True):
    """That an endpoint leaves, as the first line of any gateway tells it.

    Attributes:
      vm: the gateway that wrote the line.
      source: who received the answer: "answer" for that gateway, "entry" for
        another one.
      known_s: time between that line and the newest line of the logs.
    """

    vm: str
    source: str
    known_s: float


def known_leaving(lines: Iterable[str]) -> dict[EndpointId, KnownLeaving]:
    """Returns the endpoints whose answers have said that they leave.

    Args:
      lines: log lines as `--log_format=json` writes them, of any gateways.
    """
    records = sorted(read_records(lines), key=time_of)
    first: dict[EndpointId, dict] = {}
    for record in records:
        endpoint = EndpointId(record.get("endpoint", ""))
        if record.get("event") == Event.ENDPOINT_RESTARTED.value:
            first.pop(endpoint, None)
        elif _is_notice(record):
            first.setdefault(endpoint, record)
    return {
        endpoint: KnownLeaving(
            record.get("vm", ""),
            record.get("source", ""),
            time_of(records[-1]) - time_of(record),
        )
        for endpoint, record in first.items()
    }


def _is_notice(record: dict) -> bool:
    """Whether a line says that an answer has told that an endpoint leaves."""
    is_leaving = record.get("event") == Event.ENDPOINT_LEAVING.value
    return is_leaving and record.get("source") in _BY_ANSWER


_BY_ANSWER = frozenset(
    source.value
    for source in NoticeSource
    if source is not NoticeSource.REGISTRY
)


async def endpoint_lines(
    kv: Kv,
    limits: Mapping[EndpointId, StandingLimit],
    rests: Mapping[EndpointId, StandingRest],
    leaving: Mapping[EndpointId, KnownLeaving],
) -> list[str] | Failure:
    """Returns a line for each evacuated zone, then one for each endpoint.

    Args:
      limits: the request limits that stand.
      rests: the rests that stand.
      leaving: the endpoints whose answers have said that they leave.
    """
    orders = await kv.scan(EVACUATION_PREFIX)
    if isinstance(orders, Failure):
        return orders
    entries = await kv.scan(REGISTRY_PREFIX)
    if isinstance(entries, Failure):
        return entries
    zones = {ZoneId(o.key.removeprefix(EVACUATION_PREFIX)) for o in orders}
    lines = [f"zone {zone} evacuated" for zone in sorted(zones)]
    return lines + sorted(
        _line(entry, zones, limits, rests, leaving) for entry in entries
    )


def _line(
    entry: KvEntry,
    evacuated: Collection[ZoneId],
    limits: Mapping[EndpointId, StandingLimit],
    rests: Mapping[EndpointId, StandingRest],
    leaving: Mapping[EndpointId, KnownLeaving],
) -> str:
    listed = read_listed(entry.key, entry.value)
    if isinstance(listed, Failure):
        return f"{entry.key} malformed: {listed.reason}"
    host, port = listed.address
    endpoint = listed.endpoint
    state = _state(
        listed,
        evacuated,
        limits.get(endpoint),
        rests.get(endpoint),
        leaving.get(endpoint),
    )
    return (
        f"{listed.zone} {listed.service} {endpoint} {host}:{port}"
        f" {listed.software} {state}"
    )


def _state(
    listed: RegisteredEndpoint,
    evacuated: Collection[ZoneId],
    limit: StandingLimit | None,
    rest: StandingRest | None,
    leaving: KnownLeaving | None,
) -> str:
    if listed.leaving:
        return "leaving"
    if leaving is not None:
        return (
            f"leaving, known for {leaving.known_s:.1f} s to {leaving.vm} by"
            f" {leaving.source}"
        )
    if listed.zone in evacuated:
        return "evacuated"
    states = []
    if rest is not None:
        states.append(
            f"resting for {rest.left_s:.1f} s more, as asked of"
            f" {' '.join(rest.vms)}"
        )
    if listed.cold_s > 0:
        states.append(f"cold for {listed.cold_s:.1f} s at its last change")
    if limit is not None:
        states.append(
            f"limited to {limit.per_s:g} requests/s, known for"
            f" {limit.known_s:.1f} s to {limit.vm} by {limit.source}"
        )
    return ", ".join(states) or "up"
