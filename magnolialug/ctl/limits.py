"""The request limits that stand, from the log lines of gateways."""

from collections.abc import Iterable

import msgspec

from magnolialug.ctl.records import read_records, time_of
from magnolialug.events import Event
from magnolialug.ids import EndpointId

__all__ = ["StandingLimit", "standing_limits"]


class StandingLimit(msgspec.Struct, frozen=True):
    """A limit, as the newest line of any gateway tells it.

    Attributes:
      per_s: requests per second from all gateways together.
      vm: the gateway that wrote the line.
      source: who received the answer: "answer" for that gateway, "entry" for
        another one.
      known_s: time between the answer and the newest line of the logs.
    """

    per_s: float
    vm: str
    source: str
    known_s: float


def standing_limits(lines: Iterable[str]) -> dict[EndpointId, StandingLimit]:
    """Returns the limits that stand at the end of the logs.

    Args:
      lines: log lines as `--log_format=json` writes them, of any gateways.
    """
    newest: dict[EndpointId, dict] = {}
    end = 0.0
    for record in read_records(lines):
        end = max(end, time_of(record))
        if record.get("event") in _EVENTS:
            endpoint = EndpointId(record.get("endpoint", ""))
            before = newest.get(endpoint)
            if before is None or _answered_at(record) >= _answered_at(before):
                newest[endpoint] = record
    return {
        endpoint: StandingLimit(
            record.get("per_s", 0.0),
            record.get("vm", ""),
            record.get("source", ""),
            end - _answered_at(record),
        )
        for endpoint, record in newest.items()
        if record["event"] == Event.ENDPOINT_LIMITED.value
    }


_EVENTS = frozenset(
    (Event.ENDPOINT_LIMITED.value, Event.ENDPOINT_UNLIMITED.value)
)


def _answered_at(record: dict) -> float:
    """Returns when the answer arrived that a line tells of."""
    return time_of(record) - record.get("age_s", 0.0)
