"""What entries tell each other of their work at the engines."""

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.rollout import Rollout

__all__ = ["EngineShare", "LoadReport"]


class EngineShare(msgspec.Struct, frozen=True, array_like=True):
    """One entry's work at one engine.

    Attributes:
      reading: prompt tokens sent that have brought no first event yet, by
        priority, 0 first.
      held: tokens of memory that its running requests take.
      running: how many those are.
    """

    endpoint: EndpointId
    reading: tuple[int, ...]
    held: int
    running: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """One entry's work at all engines.

    Attributes:
      entry: names one start of the sender.
      number: counts its reports; an older one that arrives late is dropped.
      rollout: the newest it knows, while that is news.
    """

    entry: str
    number: int
    engines: tuple[EngineShare, ...]
    rollout: Rollout | None = None
