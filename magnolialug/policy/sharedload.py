"""What entries tell each other of their work at the engines."""

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.prompt import Part
from magnolialug.policy.rollout import Rollout

__all__ = ["EngineShare", "LoadReport", "Placement"]


class EngineShare(msgspec.Struct, frozen=True, array_like=True):
    """One entry's work at one engine.

    Attributes:
      reading: prompt tokens sent that have brought no first event yet, by
        priority, 0 first.
      held: tokens of memory that its running requests take.
      running: how many those are.
      born_ms: the start of the engine that it is at, 0 if not known.
    """

    endpoint: EndpointId
    reading: tuple[int, ...]
    held: int
    running: int
    born_ms: int = 0


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


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """One entry's work at all engines.

    Attributes:
      entry: names one start of the sender.
      number: counts its reports; an older one that arrives late is dropped.
      rollout: the newest it knows, while that is news.
      placements: made since the report before. A lost one is not repeated:
        an engine that holds a part is then not preferred for it.
    """

    entry: str
    number: int
    engines: tuple[EngineShare, ...]
    rollout: Rollout | None = None
    placements: tuple[Placement, ...] = ()
