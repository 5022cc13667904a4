"""What entries tell each other of their work at the endpoints."""

from collections.abc import Iterable, Sequence

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.prompt import Part

__all__ = ["EndpointState", "Placement", "WorkShare", "summed"]


class WorkShare(msgspec.Struct, frozen=True, array_like=True):
    """One entry's work at one endpoint.

    Attributes:
      reading: prompt tokens sent that have brought no first event yet, by
        priority, 0 first.
      held: tokens of memory that its running requests take.
      running: how many those are.
      heard_ms: time since this entry had the endpoint's last byte.
      oldest_ms: time since the oldest of these requests was sent.
      born_ms: the start of the endpoint that it is at, 0 if not known.
      weights: the newest version that it is known to have, by model.
      least: the oldest version that it can have, where that is not known.
      cold_ms: for how much longer this entry knows it to be cold, from what the
        key-value service tells and not from what others tell: told in a
        circle, the time would never end.
    """

    endpoint: EndpointId
    reading: tuple[int, ...]
    held: int
    running: int
    heard_ms: int = 0
    oldest_ms: int = 0
    born_ms: int = 0
    weights: dict[str, int] = {}
    least: dict[str, int] = {}
    cold_ms: int = 0


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """The shared parts of one prompt that was sent to an engine.

    Attributes:
      parts: in the prompt's order.
      born_ms: the start of the engine that it was sent to, 0 if not known.
    """

    endpoint: EndpointId
    salt: str
    parts: tuple[Part, ...]
    born_ms: int = 0


class EndpointState(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint has to do for all entries but the one that asks.

    Attributes:
      reading: as in a WorkShare, summed.
      held: tokens of memory taken or promised.
      running: requests under way.
      found: how many of the asked prompt's first parts the engine holds.
      silent: whether nobody who has work there has heard of it for too long.
      waiting: prompts that wait for its memory.
      born_ms: the start that this is known of, 0 if not known.
      weights: the newest version that anybody knows it to have, by model.
      least: the oldest version that it can have, where that is not known.
      cold_ms: for how much longer anybody knows it to be cold.
    """

    endpoint: EndpointId
    reading: tuple[int, ...]
    held: int
    running: int
    found: int = 0
    silent: bool = False
    waiting: int = 0
    born_ms: int = 0
    weights: dict[str, int] = {}
    least: dict[str, int] = {}
    cold_ms: int = 0


def summed(rows: Iterable[Sequence[int]]) -> tuple[int, ...]:
    """Returns the sums by place of rows of unequal length."""
    total: list[int] = []
    for row in rows:
        total += [0] * (len(row) - len(total))
        for place, tokens in enumerate(row):
            total[place] += tokens
    return tuple(total)
