"""Log lines as gateways write them, read back."""

from collections.abc import Iterable, Iterator

import msgspec

from magnolialug.jsoninput import UNREADABLE

__all__ = ["read_records", "time_of"]


def read_records(lines: Iterable[str]) -> Iterator[dict]:
    """Returns the record of each line that is one, in the lines' order.

    A collector may put a time and a machine in front of each line.
    """
    for line in lines:
        record = _record(line[line.find("{") :])
        if record:
            yield record


def _record(text: str) -> dict:
    try:
        record = msgspec.json.decode(text)
    except UNREADABLE:
        return {}
    return record if isinstance(record, dict) else {}


def time_of(record: dict) -> float:
    """Returns when a line was written, in seconds."""
    return float(record.get("at", 0.0))
