"""Tells from JSON log lines how a request was decided."""

from collections.abc import Iterable

import msgspec

from magnolialug.events import Event

__all__ = ["explain_request"]

_HIDDEN = frozenset({"at", "vm", "event", "name", "request", "costs"})
# What the process came to believe this long before the request's first line
# can have decided it: a suspicion lasts for seconds, a lapse as long.
_BEFORE_S = 8.0
_AFTER_S = 0.5
_BELIEFS = frozenset(
    event.value
    for event in Event
    if 1100 <= event.value < 2000 or 4000 <= event.value < 5000
)


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns the story of a request, one line an event.

    First come the request's own lines, then what its process came to believe
    around that time of the endpoints that it tried, of the key-value service
    and of the configuration.

    Args:
      lines: log lines as `--log_format=json` writes them, of any processes.
      request_id: as the caller sent it, or got it in X-Request-Id.
    """
    records = [record for line in lines if (record := _record(line))]
    own = [r for r in records if r.get("request") == request_id]
    own.sort(key=_at)
    if not own:
        return []
    story = [_told(record) for record in own]
    beliefs = sorted(_around(records, own), key=_at)
    if beliefs:
        story.append("what the process believed:")
        story += [f"  {_told(record)}" for record in beliefs]
    return story


def _around(records: list[dict], own: list[dict]) -> list[dict]:
    vms = {record.get("vm") for record in own}
    tried = {r["endpoint"] for r in own if "endpoint" in r}
    first, last = _at(own[0]), _at(own[-1])
    return [
        record
        for record in records
        if record.get("event") in _BELIEFS
        and record.get("vm") in vms
        and "request" not in record
        and first - _BEFORE_S <= _at(record) <= last + _AFTER_S
        and record.get("endpoint", next(iter(tried), "")) in (tried or {""})
    ]


def _at(record: dict) -> float:
    return float(record.get("at", 0.0))


def _record(line: str) -> dict:
    try:
        record = msgspec.json.decode(line)
    except msgspec.DecodeError:
        return {}
    return record if isinstance(record, dict) else {}


def _told(record: dict) -> str:
    fields = ", ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _HIDDEN
    )
    where = f" at {record['vm']}" if record.get("vm") else ""
    text = (
        f"{_at(record):.3f}{where}: {record.get('event')}"
        f" {record.get('name')}: {fields}"
    )
    for row in record.get("costs", ()):
        text += f"\n    {_cost(row)}"
    return text


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
