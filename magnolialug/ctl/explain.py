"""Tells from JSON log lines how a request was decided."""

from collections.abc import Iterable

from magnolialug.ctl.records import read_records, time_of
from magnolialug.events import Event

__all__ = ["explain_request"]

_HIDDEN = frozenset({"at", "vm", "event", "name", "request", "costs"})
# What the process came to believe this long before the request's first line
# can have decided it: a suspicion lasts for seconds, a lapse as long.
_BEFORE_S = 8.0
_AFTER_S = 0.5
# An endpoint that broke off and has crashed is listed anew within this time,
# by which one tells a crash from a cut path.
_LEARNED_S = 5.0
_BELIEFS = frozenset(
    event.value
    for event in Event
    if 1100 <= event.value < 2000 or 4000 <= event.value < 5000
)


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns the story of a request, one line an event.

    First come the request's own lines, then what kept new work from other
    endpoints at that time, what its processes came to believe around it of the
    key-value service, the stores and the configuration, and what any process
    learned of the endpoints it tried.

    Args:
      lines: log lines as `--log_format=json` writes them, of any processes.
      request_id: as the caller sent it, or got it in X-Request-Id.
    """
    records = list(read_records(lines))
    own = [r for r in records if r.get("request") == request_id]
    own.sort(key=time_of)
    if not own:
        return []
    story = [_told(record) for record in own]
    passed_over = _passed_over(records, own)
    story += _section("what kept work from other endpoints:", passed_over)
    believed = [r for r in _believed(records, own) if r not in passed_over]
    story += _section("what the process believed:", believed)
    story += _section("what was learned of its endpoints:", _met(records, own))
    return story


def _section(title: str, records: list[dict]) -> list[str]:
    if not records:
        return []
    told = [f"  {_told(record)}" for record in sorted(records, key=time_of)]
    return [title, *told]


def _passed_over(records: list[dict], own: list[dict]) -> list[dict]:
    """Returns what kept its processes from endpoints that they did not try."""
    vms = {record.get("vm") for record in own}
    tried = {record["endpoint"] for record in own if "endpoint" in record}
    first, last = time_of(own[0]), time_of(own[-1])
    standing: dict[tuple, dict] = {}
    for record in sorted(records, key=time_of):
        vm, event = record.get("vm"), record.get("event")
        if vm not in vms or time_of(record) > last:
            continue
        if event == Event.STARTED.value:
            standing = {key: r for key, r in standing.items() if key[0] != vm}
        elif record.get("endpoint") not in tried:
            _note_standing(standing, record, first)
    return list(standing.values())


def _note_standing(standing: dict, record: dict, first: float) -> None:
    """Notes what begins or ends with a line, by machine, kind and name."""
    vm, event = record.get("vm"), record.get("event")
    if event in _BEGINNINGS:
        kind, field = _BEGINNINGS[event]
        standing[vm, kind, record.get(field)] = record
    elif _is_resting_at(record, first):
        standing[vm, "rest", record.get("endpoint")] = record
    elif event in _ENDS:
        for kind, field in _ENDS[event]:
            standing.pop((vm, kind, record.get(field)), None)
    elif _is_cold_at(record, first):
        standing[vm, "endpoint", record.get("endpoint")] = record


# Kind of what begins with an event, and the field that names it.
_BEGINNINGS = {
    Event.ZONE_EVACUATED.value: ("zone", "zone"),
    Event.ENDPOINT_LIMITED.value: ("limit", "endpoint"),
    Event.ENDPOINT_LEAVING.value: ("leaving", "endpoint"),
}
# The same of what ends with an event.
_ENDS = {
    Event.ZONE_RETURNED.value: [("zone", "zone")],
    Event.ENDPOINT_UNLIMITED.value: [("limit", "endpoint")],
    Event.ENDPOINT_GONE.value: [("leaving", "endpoint")],
    Event.ENDPOINT_RESTARTED.value: [
        ("leaving", "endpoint"),
        ("rest", "endpoint"),
    ],
}


def _is_resting_at(record: dict, at: float) -> bool:
    is_resting = record.get("event") == Event.ENDPOINT_RESTING.value
    return is_resting and time_of(record) + record.get("rest_s", 0.0) >= at


def _is_cold_at(record: dict, at: float) -> bool:
    is_cold = record.get("event") == Event.ENDPOINT_COLD.value
    return is_cold and time_of(record) + record.get("left_s", 0.0) >= at


def _believed(records: list[dict], own: list[dict]) -> list[dict]:
    vms = {record.get("vm") for record in own}
    first, last = time_of(own[0]), time_of(own[-1])
    return [
        record
        for record in records
        if _is_belief(record)
        and "endpoint" not in record
        and record.get("vm") in vms
        and first - _BEFORE_S <= time_of(record) <= last + _AFTER_S
    ]


def _met(records: list[dict], own: list[dict]) -> list[dict]:
    tried = {record["endpoint"] for record in own if "endpoint" in record}
    first, last = time_of(own[0]), time_of(own[-1])
    return [
        record
        for record in records
        if _is_belief(record)
        and record.get("endpoint") in tried
        and first - _BEFORE_S <= time_of(record) <= last + _LEARNED_S
    ]


def _is_belief(record: dict) -> bool:
    return record.get("event") in _BELIEFS and "request" not in record


def _told(record: dict) -> str:
    fields = ", ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _HIDDEN
    )
    where = f" at {record['vm']}" if record.get("vm") else ""
    text = (
        f"{time_of(record):.3f}{where}: {record.get('event')}"
        f" {record.get('name')}: {fields}"
    )
    if "gap_after" in record:
        text += f"\n    {_longest_pause(record)}"
    for row in record.get("costs", ()):
        text += f"\n    {_cost(row)}"
    return text


def _longest_pause(record: dict) -> str:
    """Returns an answer's longest pause, and what its route allows."""
    after, events = record["gap_after"], record.get("events")
    where = f"{after} of {events}" if events else f"{after}"
    text = f"longest pause {record.get('longest_gap_s')} s after event {where}"
    allowed_s = record.get("gap_s")
    return f"{text}; {allowed_s} s is on time" if allowed_s else text


def _cost(row: list) -> str:
    """Returns one compared endpoint of either placement."""
    if len(row) == 4:
        endpoint, source, ttft_s, cost = row
        return (
            f"{endpoint}: cache from {source}, first word in {ttft_s} s,"
            f" cost {cost}"
        )
    endpoint, cost, sound = row
    return f"{endpoint}: cost {cost} s{'' if sound else ', not sound'}"
