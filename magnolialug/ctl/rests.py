"""The rests that endpoints have asked for, from the log lines of gateways."""

from collections.abc import Iterable

import msgspec

from magnolialug.ctl.records import read_records, time_of
from magnolialug.events import Event
from magnolialug.ids import EndpointId

__all__ = ["StandingRest", "standing_rests"]


class StandingRest(msgspec.Struct, frozen=True):
    """The rest that an endpoint has asked some gateways for.

    Attributes:
      left_s: time between the newest line of the logs and the last end.
      vms: the gateways that hold requests back.
    """

    left_s: float
    vms: tuple[str, ...]


def standing_rests(lines: Iterable[str]) -> dict[EndpointId, StandingRest]:
    """Returns the rests that stand at the end of the logs.

    Args:
      lines: log lines as `--log_format=json` writes them, of any gateways.
    """
    records = sorted(read_records(lines), key=time_of)
    ends: dict[tuple[EndpointId, str], float] = {}
    for record in records:
        vm, event = record.get("vm", ""), record.get("event")
        key = EndpointId(record.get("endpoint", "")), vm
        if event == Event.ENDPOINT_RESTING.value:
            ends[key] = time_of(record) + record.get("rest_s", 0.0)
        elif event in _ENDS:
            ends.pop(key, None)
        elif event == Event.STARTED.value:
            ends = {row: end for row, end in ends.items() if row[1] != vm}
    now = time_of(records[-1]) if records else 0.0
    return _by_endpoint({row: end - now for row, end in ends.items()})


_ENDS = frozenset(
    (
        Event.ENDPOINT_RESTED.value,
        Event.ENDPOINT_RESTARTED.value,
        Event.ENDPOINT_GONE.value,
    )
)


def _by_endpoint(
    left_s: dict[tuple[EndpointId, str], float],
) -> dict[EndpointId, StandingRest]:
    """Returns the longest rest of each endpoint, with all its gateways."""
    rests: dict[EndpointId, StandingRest] = {}
    for (endpoint, vm), left in sorted(left_s.items()):
        if left <= 0:
            continue
        known = rests.get(endpoint, StandingRest(0.0, ()))
        rests[endpoint] = StandingRest(
            max(left, known.left_s), (*known.vms, vm)
        )
    return rests
