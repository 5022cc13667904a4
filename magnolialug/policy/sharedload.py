"""Messages in which entries report their work at the endpoints."""

from collections.abc import Iterable, Sequence

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.enginepace import EnginePace
from magnolialug.policy.limitnotice import ReportedNotice
from magnolialug.policy.prompt import Part

__all__ = [
    "EndpointState",
    "Placement",
    "WorkShare",
    "shortest_gap_ms",
    "sum_by_priority",
]


class WorkShare(msgspec.Struct, frozen=True, array_like=True):
    """One entry's work at one endpoint.

    Attributes:
      pending_prefill: prompt tokens of requests without a first event yet,
        by priority, 0 first.
      held: tokens of memory that its running requests take.
      running: number of its running requests.
      last_contact_ms: time since the endpoint's last byte reached this entry.
      oldest_ms: time since the oldest of these requests was sent.
      born_ms: the start of the endpoint that the work is at, 0 if not known.
      weights: the newest version that it is known to have, by model.
      min_weights: the oldest version that it can have, by model, where the
        version is not known.
      cold_ms: remaining time for which this entry knows it to be cold, from
        the key-value service only. If reports of other entries counted too,
        entries would extend the time for each other without end.
      notice: what is known of its request limit, None if it never had one.
      sent: all requests that this entry has sent.
      recently_sent: those of the last second.
      connections: that this entry has to it, idle ones included.
      writing: its running streams whose first event has arrived and whose
        route names the longest pause.
      gap_ms: the shortest pause between events that any of its running
        streams allows, 0 if none names one.
      pace: what this entry has measured lately of this start, None if nothing.
    """

    endpoint: EndpointId
    pending_prefill: tuple[int, ...]
    held: int
    running: int
    last_contact_ms: int = 0
    oldest_ms: int = 0
    born_ms: int = 0
    weights: dict[str, int] = {}
    min_weights: dict[str, int] = {}
    cold_ms: int = 0
    notice: ReportedNotice | None = None
    sent: int = 0
    recently_sent: int = 0
    connections: int = 0
    writing: int = 0
    gap_ms: int = 0
    pace: EnginePace | None = None


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """The shared parts of one prompt that was sent to an engine.

    Attributes:
      parts: the parts in the prompt's order.
      born_ms: the start of the engine that it was sent to, 0 if not known.
    """

    endpoint: EndpointId
    salt: str
    parts: tuple[Part, ...]
    born_ms: int = 0


class EndpointState(msgspec.Struct, frozen=True, array_like=True):
    """Load of an endpoint from all entries but the one that asks.

    Attributes:
      pending_prefill: as in a WorkShare, summed over entries.
      held: tokens of memory in use or reserved.
      running: requests in progress.
      cached_parts: how many leading parts of the queried prompt the engine
        has cached.
      silent: whether no entry with work there has received data from it for
        too long.
      waiting: prompts that wait for its memory.
      born_ms: the start that the state is about, 0 if not known.
      weights: the newest version that any entry knows it to have, by model.
      min_weights: the oldest version that it can have, by model, where the
        version is not known.
      cold_ms: remaining time for which any entry knows it to be cold.
      notice: what any entry knows of its request limit, None if it never had
        one.
      send_wait_ms: with a limit, the time until the entry that asks may send
        a request; 0 is a permit.
      connections: that the entries have to it, idle ones included.
      leaving: whether an answer to any entry has said that it leaves.
      writing: running streams whose first event has arrived and whose route
        names the longest pause.
      gap_ms: the shortest pause between events that any running stream allows,
        0 if none names one.
      pace: what all entries have measured of this start, None if too little.
    """

    endpoint: EndpointId
    pending_prefill: tuple[int, ...]
    held: int
    running: int
    cached_parts: int = 0
    silent: bool = False
    waiting: int = 0
    born_ms: int = 0
    weights: dict[str, int] = {}
    min_weights: dict[str, int] = {}
    cold_ms: int = 0
    notice: ReportedNotice | None = None
    send_wait_ms: int = 0
    connections: int = 0
    leaving: bool = False
    writing: int = 0
    gap_ms: int = 0
    pace: EnginePace | None = None


def sum_by_priority(rows: Iterable[Sequence[int]]) -> tuple[int, ...]:
    """Returns the sums by priority of rows of different lengths."""
    total: list[int] = []
    for row in rows:
        total += [0] * (len(row) - len(total))
        for place, tokens in enumerate(row):
            total[place] += tokens
    return tuple(total)


def shortest_gap_ms(gaps: Iterable[int]) -> int:
    """Returns the shortest pause that is named, 0 if none is."""
    return min(filter(None, gaps), default=0)
